/* expect: fail; -DNOREDUCE -O3 */
#define COUNT_OLD_TERM
#define TERMS 4
#define NO_LOSS
#define TWO_IN_TURN
#include "election.inc"
