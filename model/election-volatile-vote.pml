/* expect: fail; -DNOREDUCE -O3 */
#define VOLATILE_VOTE
#include "election.inc"
