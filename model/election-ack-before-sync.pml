/* expect: fail; -DNOREDUCE -O3 */
#define ACK_BEFORE_SYNC
#include "election.inc"
