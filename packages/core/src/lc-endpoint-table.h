#ifndef LC_ENDPOINT_TABLE_H
#define LC_ENDPOINT_TABLE_H

#include "lc-breaker.h"
#include "lc-endpoints.h"

#include <uthash.h>

/* What the table keeps of an endpoint beside the part that policies and the node read. */
typedef struct
{
  LcEndpoint endpoint; /* first, so that one can be cast to the other */
  LcEndpoints *table;
  UT_hash_handle hh; /* by name */
  bool retired;      /* no longer in the configuration; kept while requests of ours run there */
  LcBreaker breaker;
  LbTime swap_since;
} LcEntry;

struct LcEndpoints
{
  LcEntry *by_name;
  LcEntry **entries; /* by slot; no holes */
  size_t n_entries;
  size_t capacity;
  int64_t peers; /* instances that route by the same reports, this one included */
};

static inline LcEntry *
lc_entry (const LcEndpoint *endpoint)
{
  return (LcEntry *)endpoint;
}

#endif
