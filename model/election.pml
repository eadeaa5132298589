/* expect: pass; -DNOREDUCE -O3 */
#include "election.inc"
