#include "bench-fleet.h"

#include "lb-alloc.h"

#include <stdio.h>
#include <xxhash.h>

LcResourceSet
bench_make_engine_resource_set (int n_engines)
{
  LcResourceSet set = { .endpoints = LB_NEW_ARRAY (LcEndpointMember, n_engines),
                        .n_endpoints = (size_t)n_engines };

  for (int i = 0; i < n_engines; i++)
    {
      LcEndpointMember *member = &set.endpoints[i];

      member->kind = LC_ENDPOINT_ENGINE;
      member->concurrency = BENCH_ENGINE_CONCURRENCY;
      snprintf (member->name, sizeof member->name, "engine-%d", i);
      LB_COPY (member->pool, "reader");
      snprintf (member->data_centre, sizeof member->data_centre, "hall-%c", 'a' + i % 3);
    }
  return set;
}

uint64_t
bench_hash_pair (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };

  return XXH3_64bits (pair, sizeof pair);
}
