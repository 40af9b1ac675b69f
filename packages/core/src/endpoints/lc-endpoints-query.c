#include "lc-endpoint-table.h"

#define REPORT_TRUSTED_FOR (10 * LB_SEC)

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
lc_endpoint_cached_share (const LcEndpoint *endpoint,
                          const uint64_t *prefix_hashes,
                          size_t n_hashes,
                          LbTime now)
{
  const LcEndpointEntry *entry = lc_endpoint_entry (endpoint);

  return lc_prefix_index_share (entry->table->prefix_index, prefix_hashes, n_hashes, &entry->cache,
                                now);
}

/* A swap that fails partway leaves weights that nobody can name: samples would come back unlabelled
 * and live callers would get answers of a half-loaded model. The endpoint is out until a report
 * that was measured after the swap was due states a version. */
static bool
weights_are_known (const LcEndpointEntry *entry, LbTime now)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  if (endpoint->member.kind != LC_ENDPOINT_ENGINE)
    return true;
  if (entry->is_reported && endpoint->report.version == 0)
    return false;
  return !endpoint->swap_pending || now < endpoint->swap_until
         || endpoint->report.measured_at >= endpoint->swap_until;
}

/* A fresh instance has heard of no endpoint that is leaving; its configuration may still name it,
 * and the first request would go there seconds after all others stopped. So an endpoint is heard
 * before it gets work. */
static bool
is_heard (const LcEndpointEntry *entry)
{
  return entry->is_reported || entry->endpoint.last_reply_at > 0;
}

static bool
special_may_take (const LcEndpoint *endpoint, LbTime now)
{
  const LcEndpointEntry *entry = lc_endpoint_entry (endpoint);
  bool refuses = now < entry->refused_until
                 || (endpoint->member.reports_concurrency && endpoint->swap_pending
                     && now < endpoint->swap_until);

  return !refuses && is_heard (entry) && weights_are_known (entry, now)
         && endpoint->in_flight < lc_breaker_max_in_flight (&entry->breaker, now);
}

/* Leaving, open breaker, unknown weights and full endpoints take nothing; samples leave the live
 * reserve free. Reads no entry unless something is special, so that 600 of them stay unread. */
bool
lc_endpoint_summary_can_accept (const LcEndpointSummary *summary,
                                LcRequestKind kind,
                                double live_reserve,
                                LbTime reports_valid_since,
                                LbTime now)
{
  float share = kind == LC_KIND_SAMPLE ? 1 - (float)live_reserve : 1;

  if (summary->is_excluded || (float)summary->in_flight >= summary->concurrency_limit * share)
    return false;
  if (summary->needs_full_check && !special_may_take (summary->endpoint, now))
    return false;
  if (summary->reported_at == LC_NEVER_REPORTED)
    return true;
  if (summary->reported_at < reports_valid_since)
    return false;
  if (now - summary->reported_at > REPORT_TRUSTED_FOR)
    return true;
  return summary->requests < summary->capacity * share;
}

bool
lc_endpoint_can_accept (const LcEndpoint *endpoint,
                        LcRequestKind kind,
                        double live_reserve,
                        LbTime now)
{
  const LcEndpoints *table = lc_endpoint_entry (endpoint)->table;

  return lc_endpoint_summary_can_accept (&table->summaries[endpoint->slot], kind, live_reserve,
                                         lc_endpoints_reports_valid_since (table, now), now);
}
