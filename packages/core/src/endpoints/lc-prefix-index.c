#include "lc-prefix-index.h"

#include "lb-alloc.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#define MAX_PREFIXES 65536
#define MAX_HOLDERS_PER_PREFIX 16
/* Confidence that an engine caches the prefix of a request sent to the engine while no cache event
 * confirms it: the engine may not have kept the prefix. */
#define UNCONFIRMED_PREFIX_CONFIDENCE 0.95
#define CONFIDENCE_HALF_LIFE_SECONDS 300.0
/* Decay of the confidence per missed cache event. On average, every second event evicts one of
 * about a hundred prefixes. */
#define DECAY_PER_MISSED_EVENT 0.005

typedef struct
{
  LbTime at;          /* time of the last request or cache event for the prefix */
  float missed_decay; /* value of LcEndpointCache.missed_decay when the holder was added; the decay
                         counts from there */
  uint32_t slot;
  uint32_t epoch;
  bool is_confirmed; /* a cache event stated that the endpoint holds the prefix */
} Holder;

typedef struct
{
  uint64_t hash;
  UT_hash_handle hh;
  LbLink recency;
  uint32_t n_holders;
  Holder holders[MAX_HOLDERS_PER_PREFIX];
} Prefix;

struct LcPrefixIndex
{
  Prefix *prefixes;
  LbList by_recency; /* prefixes, least recently used first */
};

LcPrefixIndex *
lc_prefix_index_new (void)
{
  LcPrefixIndex *index = LB_NEW (LcPrefixIndex);

  lb_list_init (&index->by_recency);
  return index;
}

static void
remove_prefix (LcPrefixIndex *index, Prefix *prefix)
{
  HASH_DEL (index->prefixes, prefix);
  lb_list_remove (&index->by_recency, &prefix->recency);
  free (prefix);
}

void
lc_prefix_index_free (LcPrefixIndex *index)
{
  if (!index)
    return;
  HASH_CLEAR (hh, index->prefixes);
  LB_LIST_FOREACH (&index->by_recency, Prefix, recency, prefix)
  free (prefix);
  free (index);
}

static Prefix *
find_prefix (const LcPrefixIndex *index, uint64_t hash)
{
  Prefix *prefix = NULL;

  HASH_FIND (hh, index->prefixes, &hash, sizeof hash, prefix);
  return prefix;
}

static Prefix *
find_or_add_recent_prefix (LcPrefixIndex *index, uint64_t hash)
{
  Prefix *prefix = find_prefix (index, hash);

  if (prefix)
    {
      lb_list_remove (&index->by_recency, &prefix->recency);
      lb_list_append (&index->by_recency, &prefix->recency);
      return prefix;
    }
  prefix = LB_LIST_FIRST (&index->by_recency, Prefix, recency);
  if (prefix && index->by_recency.length >= MAX_PREFIXES)
    remove_prefix (index, prefix);
  prefix = LB_NEW (Prefix);
  prefix->hash = hash;
  HASH_ADD (hh, index->prefixes, hash, sizeof prefix->hash, prefix);
  lb_list_append (&index->by_recency, &prefix->recency);
  return prefix;
}

static Holder *
find_holder (Prefix *prefix, const LcEndpointCache *cache)
{
  for (uint32_t i = 0; i < prefix->n_holders; i++)
    if (prefix->holders[i].slot == cache->slot)
      return &prefix->holders[i];
  return NULL;
}

static Holder *
find_oldest_holder (Prefix *prefix)
{
  Holder *oldest = &prefix->holders[0];

  for (uint32_t i = 1; i < prefix->n_holders; i++)
    if (prefix->holders[i].at < oldest->at)
      oldest = &prefix->holders[i];
  return oldest;
}

static void
add_holder (LcPrefixIndex *index,
            const LcEndpointCache *cache,
            uint64_t hash,
            bool is_confirmed,
            LbTime now)
{
  Prefix *prefix = find_or_add_recent_prefix (index, hash);
  Holder *holder = find_holder (prefix, cache);

  if (!holder)
    holder = prefix->n_holders < MAX_HOLDERS_PER_PREFIX ? &prefix->holders[prefix->n_holders++]
                                                        : find_oldest_holder (prefix);
  *holder = (Holder){ .at = now,
                      .missed_decay = (float)cache->missed_decay,
                      .slot = cache->slot,
                      .epoch = cache->epoch,
                      .is_confirmed = is_confirmed };
}

static void
remove_holder (LcPrefixIndex *index, const LcEndpointCache *cache, uint64_t hash)
{
  Prefix *prefix = find_prefix (index, hash);
  Holder *holder = prefix ? find_holder (prefix, cache) : NULL;

  if (!holder)
    return;
  *holder = prefix->holders[--prefix->n_holders];
  if (prefix->n_holders == 0)
    remove_prefix (index, prefix);
}

/* A missed event may have evicted any of the cache's prefixes, so it lowers the confidence in all
 * of the prefixes. An event that arrives after one with a higher sequence number was already
 * counted as missed and is ignored: applied out of order, it could restore a prefix that was
 * evicted. */
void
lc_prefix_index_apply_cache_event (LcPrefixIndex *index,
                                   LcEndpointCache *cache,
                                   uint64_t sequence,
                                   bool stored,
                                   uint64_t prefix,
                                   LbTime now)
{
  if (sequence <= cache->last_sequence)
    return;
  if (cache->last_sequence > 0)
    cache->missed_decay += DECAY_PER_MISSED_EVENT * (double)(sequence - cache->last_sequence - 1);
  cache->last_sequence = sequence;
  if (stored)
    add_holder (index, cache, prefix, true, now);
  else
    remove_holder (index, cache, prefix);
}

void
lc_prefix_index_add_sent_prefix (LcPrefixIndex *index,
                                 const LcEndpointCache *cache,
                                 uint64_t prefix,
                                 LbTime now)
{
  Prefix *found = find_prefix (index, prefix);
  Holder *holder = found ? find_holder (found, cache) : NULL;
  bool is_confirmed = holder && holder->epoch == cache->epoch && holder->is_confirmed;

  add_holder (index, cache, prefix, is_confirmed, now);
}

static double
compute_holder_confidence (const Holder *holder, const LcEndpointCache *cache, LbTime now)
{
  double age = (double)(now - holder->at) / LB_SEC;

  return (holder->is_confirmed ? 1 : UNCONFIRMED_PREFIX_CONFIDENCE)
         * exp ((double)holder->missed_decay - cache->missed_decay
                - age * M_LN2 / CONFIDENCE_HALF_LIFE_SECONDS);
}

size_t
lc_prefix_index_find_cached_shares (const LcPrefixIndex *index,
                                    const uint64_t *prefixes,
                                    size_t n_prefixes,
                                    const LcEndpointCache *const *caches,
                                    size_t n_caches,
                                    LbTime now,
                                    LcCachedShare *shares,
                                    size_t max)
{
  size_t n = 0;

  for (size_t i = n_prefixes; i-- > 0;)
    {
      const Prefix *prefix = find_prefix (index, prefixes[i]);

      for (uint32_t j = 0; prefix && j < prefix->n_holders && n < max; j++)
        {
          const Holder *holder = &prefix->holders[j];
          const LcEndpointCache *cache = holder->slot < n_caches ? caches[holder->slot] : NULL;

          if (!cache || cache->epoch != holder->epoch)
            continue;
          shares[n++] = (LcCachedShare){ .slot = holder->slot,
                                         .share = compute_holder_confidence (holder, cache, now)
                                                  * (double)(i + 1) / (double)n_prefixes };
        }
    }
  return n;
}

double
lc_prefix_index_expected_cached_share (const LcPrefixIndex *index,
                                       const uint64_t *prefixes,
                                       size_t n_prefixes,
                                       const LcEndpointCache *cache,
                                       LbTime now)
{
  double best = 0;

  for (size_t i = n_prefixes; i-- > 0;)
    {
      Prefix *prefix = find_prefix (index, prefixes[i]);
      const Holder *holder = prefix ? find_holder (prefix, cache) : NULL;

      if (holder && holder->epoch == cache->epoch)
        best = fmax (best, compute_holder_confidence (holder, cache, now) * (double)(i + 1)
                               / (double)n_prefixes);
    }
  return best;
}
