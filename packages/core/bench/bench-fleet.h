#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

#include "lc-resources.h"

#define BENCH_CONCURRENCY 32

/* Makes engines engine-0, engine-1, ... of pool "reader" in three data centres; the caller frees
 * set.endpoints. */
LcResourceSet bench_fleet_make (int n);
uint64_t bench_hash (uint64_t a, uint64_t b);

#endif
