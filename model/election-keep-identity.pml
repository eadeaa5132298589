/* expect: fail; -DNOREDUCE -O3 */
#define KEEP_IDENTITY
#include "election.inc"
