/* expect: fail; -DNOREDUCE -O3 */
#define NO_COMPARE
#include "formation.inc"
