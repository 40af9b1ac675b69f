#include "lc-prefix-index.h"

#include "lb-alloc.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#define MAX_PREFIXES 65536
#define MAX_HOLDERS 16
#define CONFIDENCE_SENT 0.95 /* our request went there; the engine may not have kept it */
#define HALF_LIFE_SECONDS 300.0
#define LOSS_PER_MISSED_EVENT 0.005 /* every second one evicts one of about a hundred */

typedef struct
{
  LbTime at;
  float lost; /* of the endpoint when this was learnt */
  uint32_t slot;
  uint32_t epoch;
  bool confirmed; /* by a cache event */
} Holder;

typedef struct
{
  uint64_t hash;
  UT_hash_handle hh;
  LbLink recency;
  uint32_t n_holders;
  Holder holders[MAX_HOLDERS];
} Prefix;

struct LcPrefixIndex
{
  Prefix *prefixes;
  LbList recent; /* least recent first */
};

LcPrefixIndex *
lc_prefix_index_new (void)
{
  LcPrefixIndex *belief = LB_NEW (LcPrefixIndex);

  lb_list_init (&belief->recent);
  return belief;
}

static void
remove_prefix (LcPrefixIndex *belief, Prefix *prefix)
{
  HASH_DEL (belief->prefixes, prefix);
  lb_list_remove (&belief->recent, &prefix->recency);
  free (prefix);
}

void
lc_prefix_index_free (LcPrefixIndex *belief)
{
  if (!belief)
    return;
  HASH_CLEAR (hh, belief->prefixes);
  LB_LIST_FOREACH (&belief->recent, Prefix, recency, prefix)
  free (prefix);
  free (belief);
}

static Prefix *
find (const LcPrefixIndex *belief, uint64_t hash)
{
  Prefix *prefix = NULL;

  HASH_FIND (hh, belief->prefixes, &hash, sizeof hash, prefix);
  return prefix;
}

static Prefix *
find_or_add (LcPrefixIndex *belief, uint64_t hash)
{
  Prefix *prefix = find (belief, hash);

  if (prefix)
    {
      lb_list_remove (&belief->recent, &prefix->recency);
      lb_list_append (&belief->recent, &prefix->recency);
      return prefix;
    }
  prefix = LB_LIST_FIRST (&belief->recent, Prefix, recency);
  if (prefix && belief->recent.length >= MAX_PREFIXES)
    remove_prefix (belief, prefix);
  prefix = LB_NEW (Prefix);
  prefix->hash = hash;
  HASH_ADD (hh, belief->prefixes, hash, sizeof prefix->hash, prefix);
  lb_list_append (&belief->recent, &prefix->recency);
  return prefix;
}

static Holder *
find_holder (Prefix *prefix, const LcEndpointCache *view)
{
  for (uint32_t i = 0; i < prefix->n_holders; i++)
    if (prefix->holders[i].slot == view->slot)
      return &prefix->holders[i];
  return NULL;
}

static Holder *
oldest_holder (Prefix *prefix)
{
  Holder *oldest = &prefix->holders[0];

  for (uint32_t i = 1; i < prefix->n_holders; i++)
    if (prefix->holders[i].at < oldest->at)
      oldest = &prefix->holders[i];
  return oldest;
}

static void
learn (
    LcPrefixIndex *belief, const LcEndpointCache *view, uint64_t hash, bool confirmed, LbTime now)
{
  Prefix *prefix = find_or_add (belief, hash);
  Holder *holder = find_holder (prefix, view);

  if (!holder)
    holder = prefix->n_holders < MAX_HOLDERS ? &prefix->holders[prefix->n_holders++]
                                             : oldest_holder (prefix);
  *holder = (Holder){ .at = now,
                      .lost = (float)view->lost,
                      .slot = view->slot,
                      .epoch = view->epoch,
                      .confirmed = confirmed };
}

static void
forget (LcPrefixIndex *belief, const LcEndpointCache *view, uint64_t hash)
{
  Prefix *prefix = find (belief, hash);
  Holder *holder = prefix ? find_holder (prefix, view) : NULL;

  if (!holder)
    return;
  *holder = prefix->holders[--prefix->n_holders];
  if (prefix->n_holders == 0)
    remove_prefix (belief, prefix);
}

/* An event that was missed may have been the eviction of anything believed so far: all of it loses
 * some weight. An event that comes after a later one was counted as missed and is ignored, since
 * applying it out of order could turn an eviction back into a stored prefix. */
void
lc_prefix_index_apply_event (LcPrefixIndex *belief,
                             LcEndpointCache *view,
                             uint64_t sequence,
                             bool stored,
                             uint64_t prefix,
                             LbTime now)
{
  if (sequence <= view->last_sequence)
    return;
  if (view->last_sequence > 0)
    view->lost += LOSS_PER_MISSED_EVENT * (double)(sequence - view->last_sequence - 1);
  view->last_sequence = sequence;
  if (stored)
    learn (belief, view, prefix, true, now);
  else
    forget (belief, view, prefix);
}

void
lc_prefix_index_add_sent (LcPrefixIndex *belief,
                          const LcEndpointCache *view,
                          uint64_t prefix,
                          LbTime now)
{
  Prefix *known = find (belief, prefix);
  Holder *holder = known ? find_holder (known, view) : NULL;
  bool confirmed = holder && holder->epoch == view->epoch && holder->confirmed;

  learn (belief, view, prefix, confirmed, now);
}

static double
confidence (const Holder *holder, const LcEndpointCache *view, LbTime now)
{
  double age = (double)(now - holder->at) / LB_SEC;

  return (holder->confirmed ? 1 : CONFIDENCE_SENT)
         * exp ((double)holder->lost - view->lost - age * M_LN2 / HALF_LIFE_SECONDS);
}

/* Views are by slot; a slot without an endpoint is NULL. */
size_t
lc_prefix_index_find_shares (const LcPrefixIndex *belief,
                             const uint64_t *prefixes,
                             size_t n_prefixes,
                             const LcEndpointCache *const *views,
                             size_t n_views,
                             LbTime now,
                             LcCachedShare *shares,
                             size_t max)
{
  size_t n = 0;

  for (size_t i = n_prefixes; i-- > 0;)
    {
      const Prefix *prefix = find (belief, prefixes[i]);

      for (uint32_t j = 0; prefix && j < prefix->n_holders && n < max; j++)
        {
          const Holder *holder = &prefix->holders[j];
          const LcEndpointCache *view = holder->slot < n_views ? views[holder->slot] : NULL;

          if (!view || view->epoch != holder->epoch)
            continue;
          shares[n++] = (LcCachedShare){ .slot = holder->slot,
                                         .share = confidence (holder, view, now) * (double)(i + 1)
                                                  / (double)n_prefixes };
        }
    }
  return n;
}

double
lc_prefix_index_share (const LcPrefixIndex *belief,
                       const uint64_t *prefixes,
                       size_t n_prefixes,
                       const LcEndpointCache *view,
                       LbTime now)
{
  double best = 0;

  for (size_t i = n_prefixes; i-- > 0;)
    {
      Prefix *prefix = find (belief, prefixes[i]);
      const Holder *holder = prefix ? find_holder (prefix, view) : NULL;

      if (holder && holder->epoch == view->epoch)
        best = fmax (best, confidence (holder, view, now) * (double)(i + 1) / (double)n_prefixes);
    }
  return best;
}
