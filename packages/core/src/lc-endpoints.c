#include "lc-endpoint-table.h"

#include "lb-alloc.h"

#include <string.h>

#define EWMA_WEIGHT 0.1

LcEndpoints *
lc_endpoints_new (void)
{
  LcEndpoints *endpoints = LB_NEW (LcEndpoints);

  endpoints->peers = 1;
  return endpoints;
}

static void
remove_entry (LcEndpoints *endpoints, LcEntry *entry)
{
  uint32_t slot = entry->endpoint.slot;

  HASH_DEL (endpoints->by_name, entry);
  endpoints->n_entries--;
  endpoints->entries[slot] = endpoints->entries[endpoints->n_entries];
  endpoints->entries[slot]->endpoint.slot = slot;
  free (entry);
}

void
lc_endpoints_free (LcEndpoints *endpoints)
{
  if (!endpoints)
    return;
  while (endpoints->n_entries > 0)
    remove_entry (endpoints, endpoints->entries[endpoints->n_entries - 1]);
  free (endpoints->entries);
  free (endpoints);
}

void
lc_endpoints_set_peers (LcEndpoints *endpoints, int64_t count)
{
  endpoints->peers = count > 1 ? count : 1;
}

static LcEntry *
find_entry (LcEndpoints *endpoints, const char *name)
{
  LcEntry *entry = NULL;

  HASH_FIND_STR (endpoints->by_name, name, entry);
  return entry;
}

static LcEntry *
add_entry (LcEndpoints *endpoints, const LcEndpointMember *member)
{
  LcEntry *entry = LB_NEW (LcEntry);

  if (endpoints->n_entries == endpoints->capacity)
    {
      endpoints->capacity = endpoints->capacity ? endpoints->capacity * 2 : 16;
      endpoints->entries
          = lb_realloc (endpoints->entries, endpoints->capacity * sizeof *endpoints->entries);
    }
  entry->table = endpoints;
  entry->endpoint.member = *member;
  entry->endpoint.slot = (uint32_t)endpoints->n_entries;
  entry->endpoint.concurrency_limit = (double)member->concurrency;
  endpoints->entries[endpoints->n_entries++] = entry;
  HASH_ADD_STR (endpoints->by_name, endpoint.member.name, entry);
  return entry;
}

static void
take_member (LcEndpoints *endpoints, const LcEndpointMember *member)
{
  LcEntry *entry = find_entry (endpoints, member->name);

  if (!entry)
    entry = add_entry (endpoints, member);
  entry->retired = false;
  entry->endpoint.member = *member;
  /* A later revision that no longer says leaving does not bring this incarnation back. */
  entry->endpoint.leaving = entry->endpoint.leaving || member->leaving;
}

static void
drop_retired (LcEndpoints *endpoints)
{
  for (size_t i = endpoints->n_entries; i-- > 0;)
    {
      LcEntry *entry = endpoints->entries[i];

      if (entry->retired && entry->endpoint.in_flight == 0)
        remove_entry (endpoints, entry);
    }
}

/* Brings the table in line with the set. An endpoint that the set no longer names takes no new
 * work; it is forgotten at the first later call that finds none of our requests there. */
void
lc_endpoints_configure (LcEndpoints *endpoints, const LcResourceSet *set, LbTime now)
{
  (void)now;
  for (size_t i = 0; i < endpoints->n_entries; i++)
    endpoints->entries[i]->retired = true;
  for (size_t i = 0; i < set->n_endpoints; i++)
    take_member (endpoints, &set->endpoints[i]);
  drop_retired (endpoints);
}

static void
begin_incarnation (LcEntry *entry)
{
  entry->endpoint.leaving = entry->endpoint.member.leaving;
  entry->endpoint.swap_pending = false;
  memset (&entry->breaker, 0, sizeof entry->breaker);
}

void
lc_endpoints_report (LcEndpoints *endpoints,
                     const char *name,
                     const LcLoadReport *report,
                     LbTime now)
{
  LcEntry *entry = find_entry (endpoints, name);

  if (!entry)
    return;

  LcEndpoint *endpoint = &entry->endpoint;
  const char *known = endpoint->report.incarnation;

  if (known[0] && strcmp (known, report->incarnation) != 0)
    begin_incarnation (entry);
  endpoint->leaving = endpoint->leaving || report->leaving;
  endpoint->last_reply = now;
  endpoint->report = *report;
  endpoint->sent_since_report = 0;
  if (report->version > 0 && report->at > entry->swap_since)
    endpoint->swap_pending = false;
}

bool
lc_endpoints_leaving (LcEndpoints *endpoints,
                      const char *name,
                      const char *incarnation,
                      LcLeavingSource source,
                      LbTime now)
{
  LcEntry *entry = find_entry (endpoints, name);

  (void)source;
  (void)now;
  if (!entry || entry->endpoint.leaving)
    return false;
  if (incarnation[0] && entry->endpoint.report.incarnation[0]
      && strcmp (incarnation, entry->endpoint.report.incarnation) != 0)
    return false;
  entry->endpoint.leaving = true;
  return true;
}

/* Until is when the new weights are expected to serve. */
void
lc_endpoints_swap (LcEndpoints *endpoints, const char *name, bool pending, LbTime until, LbTime now)
{
  LcEntry *entry = find_entry (endpoints, name);

  if (!entry)
    return;
  entry->endpoint.swap_pending = pending;
  entry->endpoint.swap_until = until;
  entry->swap_since = now;
}

void
lc_endpoints_cache_event (LcEndpoints *endpoints,
                          const char *name,
                          uint64_t sequence,
                          bool stored,
                          uint64_t prefix_hash,
                          LbTime now)
{
  (void)endpoints;
  (void)name;
  (void)sequence;
  (void)stored;
  (void)prefix_hash;
  (void)now;
}

void
lc_endpoints_sent (LcEndpoint *endpoint, LcRequestKind kind, uint64_t prefix_hash, LbTime now)
{
  (void)prefix_hash;
  (void)now;
  endpoint->in_flight++;
  endpoint->in_flight_rollout += kind == LC_KIND_SAMPLE;
  endpoint->sent_since_report++;
}

static void
ewma_add (double *mean, double sample)
{
  *mean = *mean > 0 ? *mean + EWMA_WEIGHT * (sample - *mean) : sample;
}

void
lc_endpoints_first_byte (LcEndpoint *endpoint, LbTime waited, LbTime now)
{
  endpoint->last_reply = now;
  ewma_add (&endpoint->ewma_first_byte_seconds, (double)waited / LB_SEC);
}

static void
publish_breaker (LcEntry *entry)
{
  entry->endpoint.breaker = entry->breaker.state;
  entry->endpoint.breaker_until = entry->breaker.until;
  entry->endpoint.consecutive_failures = entry->breaker.consecutive_failures;
}

void
lc_endpoints_ended (
    LcEndpoint *endpoint, LcRequestKind kind, bool ok, int64_t tokens, LbTime took, LbTime now)
{
  LcEntry *entry = lc_entry (endpoint);

  endpoint->in_flight--;
  endpoint->in_flight_rollout -= kind == LC_KIND_SAMPLE;
  if (ok)
    {
      endpoint->last_reply = now;
      lc_breaker_succeeded (&entry->breaker, now);
      if (tokens > 0)
        ewma_add (&endpoint->ewma_token_seconds, (double)took / LB_SEC / (double)tokens);
    }
  else
    lc_breaker_failed (&entry->breaker, now);
  publish_breaker (entry);
}

LcEndpoint *
lc_endpoints_find (LcEndpoints *endpoints, const char *name)
{
  LcEntry *entry = find_entry (endpoints, name);

  return entry ? &entry->endpoint : NULL;
}

size_t
lc_endpoints_count (const LcEndpoints *endpoints)
{
  return endpoints->n_entries;
}

LcEndpoint *
lc_endpoints_at (LcEndpoints *endpoints, size_t index)
{
  return &endpoints->entries[index]->endpoint;
}

double
lc_endpoints_prefix_share (const LcEndpoint *endpoint,
                           const uint64_t *prefix_hashes,
                           size_t n_hashes,
                           LbTime now)
{
  (void)endpoint;
  (void)prefix_hashes;
  (void)n_hashes;
  (void)now;
  return 0;
}

static bool
weights_are_known (const LcEndpoint *endpoint, LbTime now)
{
  if (endpoint->member.kind != LC_ENDPOINT_ENGINE)
    return true;
  if (endpoint->report.incarnation[0] && endpoint->report.version == 0)
    return false;
  return !endpoint->swap_pending || now < endpoint->swap_until;
}

/* Leaving, open breaker, unknown weights and full endpoints take nothing. */
bool
lc_endpoint_may_take (const LcEndpoint *endpoint,
                      LcRequestKind kind,
                      double live_reserve,
                      LbTime now)
{
  const LcEntry *entry = lc_entry (endpoint);
  double limit = endpoint->concurrency_limit;

  if (entry->retired || endpoint->leaving || !weights_are_known (endpoint, now))
    return false;
  if (endpoint->in_flight >= lc_breaker_allowance (&entry->breaker, now))
    return false;
  if (kind == LC_KIND_SAMPLE)
    limit *= 1 - live_reserve;
  return (double)endpoint->in_flight < limit;
}
