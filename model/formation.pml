/* expect: pass; -DNOREDUCE -O3 */
#include "formation.inc"
