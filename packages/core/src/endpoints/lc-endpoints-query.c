#include "lc-endpoint-table.h"

/* A load report older than this no longer limits the requests to its endpoint. */
#define MAX_LIMITING_REPORT_AGE (10 * LB_SEC)

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
lc_endpoint_cached_prompt_share (const LcEndpoint *endpoint,
                                 const uint64_t *prefix_hashes,
                                 size_t n_hashes,
                                 LbTime now)
{
  const LcEndpointEntry *entry = lc_endpoint_to_entry (endpoint);

  return lc_prefix_index_expected_cached_share (entry->table->prefix_index, prefix_hashes, n_hashes,
                                                &entry->cache, now);
}

int64_t
lc_endpoint_estimate_requests (const LcEndpoint *endpoint)
{
  const LcEndpoints *table = lc_endpoint_to_entry (endpoint)->table;

  return (int64_t)table->summaries[endpoint->slot].requests;
}

double
lc_endpoint_lasting_token_seconds (const LcEndpoint *endpoint)
{
  const LcEndpoints *table = lc_endpoint_to_entry (endpoint)->table;

  return (double)table->summaries[endpoint->slot].lasting_token_seconds;
}

double
lc_endpoint_group_lasting_token_seconds (const LcEndpoint *endpoint)
{
  const LcEndpointMember *member = &endpoint->member;
  const LcEndpointGroup *group
      = lc_endpoints_find_group (lc_endpoint_to_entry (endpoint)->table,
                                 (LcEndpointKind)member->kind, member->pool, member->service);

  return group ? group->median_lasting_token_seconds : 0;
}

double
lc_endpoint_present_slowdown (const LcEndpoint *endpoint, LbTime now)
{
  return lc_endpoint_condition_present_slowdown (&lc_endpoint_to_entry (endpoint)->condition, now);
}

LbTime
lc_endpoint_remaining_slowdown (const LcEndpoint *endpoint, LbTime now)
{
  return lc_endpoint_condition_remaining_slowdown (&lc_endpoint_to_entry (endpoint)->condition,
                                                   now);
}

double
lc_endpoint_expected_work_seconds (const LcEndpoint *endpoint, double units, LbTime now)
{
  const LcEndpointCondition *condition = &lc_endpoint_to_entry (endpoint)->condition;
  double lasting = lc_endpoint_lasting_token_seconds (endpoint);

  if (lasting <= 0)
    lasting = lc_endpoint_group_lasting_token_seconds (endpoint);
  return lc_endpoint_condition_stretch_seconds (condition, units * lasting, now);
}

/* A weight swap that fails halfway leaves weights of unknown version: the tokens of samples could
 * not be attributed to a weight version, and live callers would get answers from a half-loaded
 * model. The endpoint gets no requests until a load report measured after the swap was due states a
 * version. */
static bool
has_known_weight_version (const LcEndpointEntry *entry, LbTime now)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  if (endpoint->member.kind != LC_ENDPOINT_ENGINE)
    return true;
  if (entry->is_reported && endpoint->report.version == 0)
    return false;
  return !endpoint->swap_pending || now < endpoint->swap_until
         || endpoint->report.measured_at >= endpoint->swap_until;
}

/* A new instance does not know yet which endpoints are leaving, and its configuration may still
 * name them. An endpoint therefore gets requests only after a report or a reply: otherwise a new
 * instance would send requests to a leaving endpoint seconds after all other instances stopped. */
static bool
has_reported_or_replied (const LcEndpointEntry *entry)
{
  return entry->is_reported || entry->endpoint.last_reply_at > 0;
}

static bool
passes_full_admission_check (const LcEndpoint *endpoint, LbTime now)
{
  const LcEndpointEntry *entry = lc_endpoint_to_entry (endpoint);
  bool is_refusing = now < entry->refused_until
                     || (endpoint->member.reports_concurrency && endpoint->swap_pending
                         && now < endpoint->swap_until);

  return !is_refusing && has_reported_or_replied (entry) && has_known_weight_version (entry, now)
         && lc_breaker_allows_request (&entry->breaker, now);
}

/* Rejects endpoints that are leaving, have an open breaker, serve unknown weights or are full.
 * Samples must not use the live reserve. Reads the entry only if needs_full_check is set, because a
 * routing decision may scan 600 summaries. */
bool
lc_endpoint_summary_can_accept (const LcEndpointSummary *summary,
                                LcRequestKind kind,
                                double live_reserve,
                                LbTime reports_valid_since,
                                LbTime now)
{
  float share = kind == LC_KIND_SAMPLE ? 1 - (float)live_reserve : 1;
  float held = 0;

  if (summary->is_excluded || (float)summary->in_flight >= summary->concurrency_limit * share)
    return false;
  if (summary->needs_full_check && !passes_full_admission_check (summary->endpoint, now))
    return false;
  if (summary->reported_at == LC_NEVER_REPORTED)
    return true;
  if (summary->reported_at < reports_valid_since)
    return false;
  if (now - summary->reported_at > MAX_LIMITING_REPORT_AGE)
    return true;
  if (kind == LC_KIND_SAMPLE && summary->needs_full_check)
    held = (float)lc_endpoint_to_entry (summary->endpoint)->held_slots;
  return summary->requests + held < summary->capacity * share;
}

bool
lc_endpoint_can_accept (const LcEndpoint *endpoint,
                        LcRequestKind kind,
                        double live_reserve,
                        LbTime now)
{
  const LcEndpoints *table = lc_endpoint_to_entry (endpoint)->table;

  return lc_endpoint_summary_can_accept (&table->summaries[endpoint->slot], kind, live_reserve,
                                         lc_endpoints_reports_valid_since (table, now), now);
}
