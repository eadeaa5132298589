/* expect: fail; -DNOREDUCE -O3 */
#define ANY_LOG_WINS
#include "election.inc"
