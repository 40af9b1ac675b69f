#include "lc-endpoint-table.h"

#include "lb-alloc.h"
#include "lb-log.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define EWMA_WEIGHT 0.1
#define DEFAULT_TOKEN_SECONDS 0.02
#define DEFAULT_DISTANCE (LB_MSEC / 2)

LcEndpoints *
lc_endpoints_new (void)
{
  LcEndpoints *endpoints = LB_NEW (LcEndpoints);

  endpoints->peers = 1;
  endpoints->distance = DEFAULT_DISTANCE;
  endpoints->belief = lc_prefix_belief_new ();
  return endpoints;
}

static void
clear_groups (LcEndpoints *endpoints)
{
  LcEndpointGroup *group = NULL;
  LcEndpointGroup *next = NULL;

  HASH_ITER (hh, endpoints->groups, group, next)
  {
    HASH_DEL (endpoints->groups, group);
    free (group->slots);
    free (group);
  }
}

void
lc_endpoints_free (LcEndpoints *endpoints)
{
  if (!endpoints)
    return;
  clear_groups (endpoints);
  HASH_CLEAR (hh, endpoints->by_name);
  for (size_t i = 0; i < endpoints->n_entries; i++)
    free (endpoints->entries[i]);
  free (endpoints->entries);
  free (endpoints->summaries);
  free (endpoints->views);
  free (endpoints->data_centres);
  lc_prefix_belief_free (endpoints->belief);
  free (endpoints);
}

/* One-way time between two data centres; within one it is taken to be 0. */
void
lc_endpoints_set_distance (LcEndpoints *endpoints, LbTime distance)
{
  endpoints->distance = distance;
}

static LcEntry *
find_entry (LcEndpoints *endpoints, const char *name)
{
  LcEntry *entry = NULL;

  HASH_FIND_STR (endpoints->by_name, name, entry);
  return entry;
}

static void
void_belief (LcEntry *entry)
{
  entry->cache.epoch = ++entry->table->last_epoch;
  entry->cache.last_sequence = 0;
}

static uint32_t
take_slot (LcEndpoints *endpoints, const LcCacheView *view)
{
  uint32_t slot = 0;

  while (slot < endpoints->n_slots && endpoints->views[slot])
    slot++;
  if (slot == endpoints->n_slots)
    {
      endpoints->n_slots = endpoints->n_slots ? endpoints->n_slots * 2 : 16;
      endpoints->views
          = lb_realloc (endpoints->views, endpoints->n_slots * sizeof *endpoints->views);
      endpoints->summaries
          = lb_realloc (endpoints->summaries, endpoints->n_slots * sizeof *endpoints->summaries);
      memset (endpoints->views + slot, 0, (endpoints->n_slots - slot) * sizeof *endpoints->views);
    }
  endpoints->views[slot] = view;
  return slot;
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
  entry->index = endpoints->n_entries;
  entry->endpoint.member = *member;
  entry->name_hash = XXH3_64bits (member->name, strlen (member->name));
  entry->cache.slot = take_slot (endpoints, &entry->cache);
  entry->endpoint.slot = entry->cache.slot;
  void_belief (entry);
  entry->alone_token_seconds = DEFAULT_TOKEN_SECONDS;
  lc_concurrency_init (&entry->concurrency, member->concurrency);
  endpoints->entries[endpoints->n_entries++] = entry;
  HASH_ADD_STR (endpoints->by_name, endpoint.member.name, entry);
  return entry;
}

static void
remove_entry (LcEndpoints *endpoints, LcEntry *entry)
{
  /* The analyzer does not know that the table holds the entry.
   * NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
  HASH_DEL (endpoints->by_name, entry);
  endpoints->views[entry->cache.slot] = NULL;
  endpoints->n_entries--;
  endpoints->entries[entry->index] = endpoints->entries[endpoints->n_entries];
  endpoints->entries[entry->index]->index = entry->index;
  free (entry);
}

static int64_t
others_by_report (const LcEntry *entry)
{
  const LcLoadReport *report = &entry->endpoint.report;
  int64_t others = report->running + report->waiting - entry->in_flight_at_report;

  return others > 0 ? others : 0;
}

/* What the endpoint may hold, counting what we sent since the report as if each of the instances
 * that saw the same report had sent as much. Without the factor all of them fill the same free
 * place at once, and the endpoint queues or refuses what another would have run. */
static int64_t
load_if_all_act_alike (const LcEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;
  int64_t grown = endpoint->in_flight - entry->in_flight_at_report;
  int64_t factor = grown > 0 ? entry->table->peers : 1;

  return endpoint->report.running + endpoint->report.waiting + grown * factor;
}

static bool
is_special (const LcEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  return endpoint->swap_pending || endpoint->breaker != LC_BREAKER_CLOSED
         || endpoint->report.version == 0;
}

static void
summarise (LcEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  entry->table->summaries[endpoint->slot] = (LcSummary){
    .endpoint = &entry->endpoint,
    .reported_at = entry->is_reported ? endpoint->report.at : LC_NEVER_REPORTED,
    .version = endpoint->report.version,
    .size = (float)entry->concurrency.most,
    .limit = (float)entry->concurrency.limit,
    .load = (float)load_if_all_act_alike (entry),
    .others = (float)others_by_report (entry),
    .slot = endpoint->slot,
    .live_since = (int32_t)entry->live_since_report,
    .in_flight = (int32_t)endpoint->in_flight,
    .data_centre = entry->data_centre,
    .alone_token_seconds = (float)entry->alone_token_seconds,
    .is_out = endpoint->leaving || entry->retired,
    .is_special = is_special (entry),
  };
}

void
lc_endpoints_set_peers (LcEndpoints *endpoints, int64_t count)
{
  endpoints->peers = count > 1 ? count : 1;
  for (size_t i = 0; i < endpoints->n_entries; i++)
    summarise (endpoints->entries[i]);
}

/* Makes what the parts of an entry decided readable in its endpoint and its summary. */
static void
publish (LcEntry *entry, LbTime now)
{
  LcEndpoint *endpoint = &entry->endpoint;
  bool leaving = endpoint->member.leaving || lc_leaving_is_left (&entry->leaving);

  if (leaving && !endpoint->leaving)
    endpoint->leaving_since = now;
  endpoint->leaving = leaving;
  endpoint->breaker = entry->breaker.state;
  endpoint->breaker_until = entry->breaker.until;
  endpoint->consecutive_failures = entry->breaker.consecutive_failures;
  endpoint->concurrency_limit = entry->concurrency.limit;
  summarise (entry);
}

/* What was learnt of the process behind the endpoint does not hold for the next one. */
static void
forget_process (LcEntry *entry)
{
  entry->endpoint.swap_pending = false;
  memset (&entry->breaker, 0, sizeof entry->breaker);
  lc_concurrency_init (&entry->concurrency, entry->endpoint.member.concurrency);
  void_belief (entry);
}

static void
take_member (LcEndpoints *endpoints, const LcEndpointMember *member)
{
  LcEntry *entry = find_entry (endpoints, member->name);

  if (!entry)
    entry = add_entry (endpoints, member);
  if (strcmp (entry->endpoint.member.address, member->address) != 0)
    {
      memset (&entry->endpoint.report, 0, sizeof entry->endpoint.report);
      entry->is_reported = false;
      lc_leaving_begin (&entry->leaving, "");
      forget_process (entry);
    }
  entry->retired = false;
  entry->endpoint.member = *member;
  lc_concurrency_resize (&entry->concurrency, member->concurrency);
  /* A later revision that no longer says leaving does not bring this incarnation back: some
   * instance may still read the earlier one, and work would go to an endpoint that is on its way
   * out. */
  if (member->leaving)
    lc_leaving_say (&entry->leaving, "");
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

static void
make_group_key (char *key, size_t size, LcEndpointKind kind, const char *pool)
{
  key[0] = kind == LC_ENDPOINT_ENGINE ? 'e' : 's';
  lb_strlcpy (key + 1, pool, size - 1);
}

LcEndpointGroup *
lc_endpoints_group (const LcEndpoints *endpoints, LcEndpointKind kind, const char *pool)
{
  LcEndpointGroup *group = NULL;
  char key[LB_NAME_MAX + 2];

  make_group_key (key, sizeof key, kind, pool);
  HASH_FIND_STR (endpoints->groups, key, group);
  return group;
}

static void
join_group (LcEndpoints *endpoints, LcEntry *entry)
{
  LcEndpointKind kind = (LcEndpointKind)entry->endpoint.member.kind;
  LcEndpointGroup *group = lc_endpoints_group (endpoints, kind, entry->endpoint.member.pool);

  if (!group)
    {
      group = LB_NEW (LcEndpointGroup);
      make_group_key (group->key, sizeof group->key, kind, entry->endpoint.member.pool);
      group->slowdown = lc_batch_cost_slowdown (&group->batch_cost);
      HASH_ADD_STR (endpoints->groups, key, group);
    }
  if (group->n_slots == group->capacity)
    {
      group->capacity = group->capacity ? group->capacity * 2 : 16;
      group->slots = lb_realloc (group->slots, group->capacity * sizeof *group->slots);
    }
  group->slots[group->n_slots++] = entry->endpoint.slot;
}

int
lc_endpoints_data_centre (const LcEndpoints *endpoints, const char *name)
{
  for (int i = 0; i < endpoints->n_data_centres; i++)
    if (strcmp (endpoints->data_centres[i], name) == 0)
      return i;
  return -1;
}

static int
add_data_centre (LcEndpoints *endpoints, const char *name)
{
  int known = lc_endpoints_data_centre (endpoints, name);

  if (known >= 0)
    return known;
  endpoints->data_centres
      = lb_realloc (endpoints->data_centres,
                    ((size_t)endpoints->n_data_centres + 1) * sizeof *endpoints->data_centres);
  LB_COPY (endpoints->data_centres[endpoints->n_data_centres], name);
  return endpoints->n_data_centres++;
}

static void
rebuild_groups (LcEndpoints *endpoints, LbTime now)
{
  LcEndpointGroup *group = NULL;
  LcEndpointGroup *next = NULL;

  HASH_ITER (hh, endpoints->groups, group, next)
  group->n_slots = 0;
  for (size_t i = 0; i < endpoints->n_entries; i++)
    {
      LcEntry *entry = endpoints->entries[i];

      entry->data_centre = add_data_centre (endpoints, entry->endpoint.member.data_centre);
      join_group (endpoints, entry);
      publish (entry, now);
    }
}

/* Brings the table in line with the set. An endpoint that the set no longer names takes no new
 * work; it is forgotten at the first later call that finds none of our requests there, so pointers
 * to it stay valid until then. */
void
lc_endpoints_configure (LcEndpoints *endpoints, const LcResourceSet *set, LbTime now)
{
  for (size_t i = 0; i < endpoints->n_entries; i++)
    endpoints->entries[i]->retired = true;
  for (size_t i = 0; i < set->n_endpoints; i++)
    take_member (endpoints, &set->endpoints[i]);
  drop_retired (endpoints);
  rebuild_groups (endpoints, now);
}

static void
end_swap_if_stated (LcEntry *entry)
{
  LcEndpoint *endpoint = &entry->endpoint;
  const LcLoadReport *report = &endpoint->report;

  if (report->version > 0 && report->version != entry->version_before_swap
      && report->at >= entry->swap_since)
    endpoint->swap_pending = false;
}

static LcEndpointGroup *
group_of (const LcEntry *entry)
{
  const LcEndpointMember *member = &entry->endpoint.member;

  return lc_endpoints_group (entry->table, (LcEndpointKind)member->kind, member->pool);
}

static void
learn_token_time (LcEntry *entry)
{
  const LcLoadReport *report = &entry->endpoint.report;
  LcEndpointGroup *group = group_of (entry);
  double fill = fmin (1, (double)report->running / entry->concurrency.most);

  if (report->tokens_per_second <= 0)
    return;
  lc_batch_cost_learn (&group->batch_cost, fill, 1 / report->tokens_per_second);
  group->slowdown = lc_batch_cost_slowdown (&group->batch_cost);
  entry->alone_token_seconds = 1 / report->tokens_per_second / (1 + group->slowdown * fill);
}

static void
take_report (LcEntry *entry, const LcLoadReport *report)
{
  LcEndpoint *endpoint = &entry->endpoint;
  char known[sizeof endpoint->report.incarnation];

  LB_COPY (known, endpoint->report.incarnation);
  if (known[0] && report->incarnation[0] && strcmp (known, report->incarnation) != 0)
    forget_process (entry);
  if (report->incarnation[0])
    lc_leaving_begin (&entry->leaving, report->incarnation);
  endpoint->report = *report;
  if (!report->incarnation[0])
    LB_COPY (endpoint->report.incarnation, known);
  entry->is_reported = true;
  endpoint->sent_since_report = lc_flight_log_sent_after (&entry->flights, report->at);
  entry->live_since_report = lc_flight_log_live_after (&entry->flights, report->at);
  entry->in_flight_at_report = lc_flight_log_in_flight_at (&entry->flights, report->at);
  learn_token_time (entry);
  end_swap_if_stated (entry);
}

/* Reports are ordered by when they were measured: one that comes after a later one is old and
 * changes nothing, but a "leaving" in it holds for its incarnation. */
void
lc_endpoints_report (LcEndpoints *endpoints,
                     const char *name,
                     const LcLoadReport *report,
                     LbTime now)
{
  LcEntry *entry = find_entry (endpoints, name);

  if (!entry)
    return;
  entry->endpoint.last_reply = now;
  if (!entry->is_reported || report->at >= entry->endpoint.report.at)
    take_report (entry, report);
  if (report->leaving)
    lc_leaving_say (&entry->leaving, report->incarnation);
  publish (entry, now);
}

static const char *const leaving_sources[] = {
  [LC_LEAVING_RESOURCE] = "resource",
  [LC_LEAVING_PLATFORM] = "platform",
  [LC_LEAVING_ENDPOINT] = "endpoint",
  [LC_LEAVING_PEER] = "peer",
};

/* The platform's list names no incarnation; pass "" with it, and call lc_endpoints_listed_live when
 * the list no longer says leaving. Peers always name the incarnation that they mean. */
bool
lc_endpoints_leaving (LcEndpoints *endpoints,
                      const char *name,
                      const char *incarnation,
                      LcLeavingSource source,
                      LbTime now)
{
  LcEntry *entry = find_entry (endpoints, name);
  bool was_leaving = entry && entry->endpoint.leaving;

  if (!entry)
    return false;
  if (source == LC_LEAVING_PLATFORM && incarnation[0] == '\0')
    lc_leaving_list (&entry->leaving, true);
  else
    lc_leaving_say (&entry->leaving, incarnation);
  publish (entry, now);
  if (was_leaving || !entry->endpoint.leaving)
    return false;
  lb_log (LB_LOG_INFO, "endpoint-leaving", LB_TEXT ("endpoint", name),
          LB_TEXT ("incarnation", entry->endpoint.report.incarnation),
          LB_TEXT ("source", leaving_sources[source]));
  return true;
}

/* The platform's list names the endpoint and does not say leaving. Takes back only a doubt about
 * which incarnation the list meant, never what was said of the present one. */
void
lc_endpoints_listed_live (LcEndpoints *endpoints, const char *name, LbTime now)
{
  LcEntry *entry = find_entry (endpoints, name);

  if (!entry)
    return;
  lc_leaving_list (&entry->leaving, false);
  publish (entry, now);
}

/* Until is when the new weights are expected to serve. */
void
lc_endpoints_swap (LcEndpoints *endpoints, const char *name, bool pending, LbTime until, LbTime now)
{
  LcEntry *entry = find_entry (endpoints, name);

  if (!entry)
    return;
  if (pending && !entry->endpoint.swap_pending)
    {
      entry->swap_since = now;
      entry->version_before_swap = entry->endpoint.report.version;
    }
  entry->endpoint.swap_pending = pending;
  entry->endpoint.swap_until = until;
  publish (entry, now);
}

void
lc_endpoints_cache_event (LcEndpoints *endpoints,
                          const char *name,
                          uint64_t sequence,
                          bool stored,
                          uint64_t prefix_hash,
                          LbTime now)
{
  LcEntry *entry = find_entry (endpoints, name);

  if (entry)
    lc_prefix_belief_event (endpoints->belief, &entry->cache, sequence, stored, prefix_hash, now);
}

/* Prefix_hash is that of the whole prompt; 0: none. */
void
lc_endpoints_sent (LcEndpoint *endpoint, LcRequestKind kind, uint64_t prefix_hash, LbTime now)
{
  LcEntry *entry = lc_entry (endpoint);

  endpoint->in_flight++;
  endpoint->in_flight_rollout += kind == LC_KIND_SAMPLE;
  endpoint->sent_since_report++;
  entry->live_since_report += kind != LC_KIND_SAMPLE;
  lc_flight_log_add (&entry->flights, endpoint->in_flight, true, kind != LC_KIND_SAMPLE, now);
  lc_breaker_sent (&entry->breaker, now);
  if (prefix_hash != 0)
    lc_prefix_belief_sent (entry->table->belief, &entry->cache, prefix_hash, now);
  publish (entry, now);
}

static void
ewma_add (double *mean, double sample)
{
  *mean = *mean > 0 ? *mean + EWMA_WEIGHT * (sample - *mean) : sample;
}

/* Waited is from the sending of the request to its first byte. */
void
lc_endpoints_first_byte (LcEndpoint *endpoint, LbTime waited, LbTime now)
{
  LcEntry *entry = lc_entry (endpoint);
  double seconds = (double)waited / LB_SEC;

  endpoint->last_reply = now;
  ewma_add (&endpoint->ewma_first_byte_seconds, seconds);
  lc_concurrency_first_byte (&entry->concurrency, seconds, endpoint->in_flight, now);
  publish (entry, now);
}

static void
learn_service_time (LcEntry *entry, int64_t tokens, LbTime took)
{
  ewma_add (&group_of (entry)->service_seconds, (double)took / LB_SEC);
  if (tokens == 0)
    return;
  ewma_add (&entry->endpoint.ewma_token_seconds, (double)took / LB_SEC / (double)tokens);
  if (entry->endpoint.report.tokens_per_second <= 0)
    entry->alone_token_seconds = entry->endpoint.ewma_token_seconds;
}

static void
count_out (LcEntry *entry, LcRequestKind kind, LbTime now)
{
  entry->endpoint.in_flight--;
  entry->endpoint.in_flight_rollout -= kind == LC_KIND_SAMPLE;
  lc_flight_log_add (&entry->flights, entry->endpoint.in_flight, false, false, now);
}

void
lc_endpoints_cancelled (LcEndpoint *endpoint, LcRequestKind kind, LbTime now)
{
  LcEntry *entry = lc_entry (endpoint);

  count_out (entry, kind, now);
  publish (entry, now);
}

void
lc_endpoints_ended (
    LcEndpoint *endpoint, LcRequestKind kind, bool ok, int64_t tokens, LbTime took, LbTime now)
{
  LcEntry *entry = lc_entry (endpoint);

  count_out (entry, kind, now);
  if (ok)
    {
      endpoint->last_reply = now;
      lc_breaker_succeeded (&entry->breaker, now - took);
      learn_service_time (entry, tokens, took);
    }
  else
    {
      lc_breaker_failed (&entry->breaker, now - took, now);
      lc_concurrency_failed (&entry->concurrency, now);
    }
  publish (entry, now);
}

LcEndpoint *
lc_endpoints_find (LcEndpoints *endpoints, const char *name)
{
  LcEntry *entry = find_entry (endpoints, name);

  return entry ? &entry->endpoint : NULL;
}
