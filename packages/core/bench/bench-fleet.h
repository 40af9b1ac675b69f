#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

#include "lc-resources.h"

#define BENCH_ENGINE_CONCURRENCY 32

/* Returns a resource set with engines named engine-0, engine-1, ... of the pool "reader", spread
 * over three data centres. The caller frees the set's array `endpoints`. */
LcResourceSet bench_make_engine_resource_set (int n_engines);
uint64_t bench_hash_pair (uint64_t a, uint64_t b);

#endif
