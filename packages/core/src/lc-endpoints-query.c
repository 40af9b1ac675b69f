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
lc_endpoints_prefix_share (const LcEndpoint *endpoint,
                           const uint64_t *prefix_hashes,
                           size_t n_hashes,
                           LbTime now)
{
  const LcEntry *entry = lc_entry (endpoint);

  return lc_prefix_belief_share (entry->table->belief, prefix_hashes, n_hashes, &entry->cache, now);
}

int64_t
lc_entry_others (const LcEntry *entry)
{
  const LcLoadReport *report = &entry->endpoint.report;
  int64_t others = report->running + report->waiting - entry->in_flight_at_report;

  return others > 0 ? others : 0;
}

/* A swap that fails partway leaves weights that nobody can name: samples would come back unlabelled
 * and live callers would get answers of a half-loaded model. The endpoint is out until a report
 * that was measured after the swap was due states a version. */
bool
lc_entry_weights_are_known (const LcEntry *entry, LbTime now)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  if (endpoint->member.kind != LC_ENDPOINT_ENGINE)
    return true;
  if (endpoint->report.incarnation[0] && endpoint->report.version == 0)
    return false;
  return !endpoint->swap_pending || now < endpoint->swap_until
         || endpoint->report.at >= endpoint->swap_until;
}

/* What the endpoint may hold by the last report, counting what we sent since as if each of the
 * instances that saw the same report had sent as much. Without the factor all instances fill the
 * same free place at once. */
static double
load_if_all_act_alike (const LcEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;
  int64_t grown = endpoint->in_flight - entry->in_flight_at_report;
  int64_t factor = grown > 0 ? entry->table->peers : 1;

  return (double)(endpoint->report.running + endpoint->report.waiting + grown * factor);
}

static bool
has_room (const LcEntry *entry, double share, LbTime now)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  if ((double)endpoint->in_flight >= entry->concurrency.limit * share)
    return false;
  if (!endpoint->report.incarnation[0] || now - endpoint->report.at > REPORT_TRUSTED_FOR)
    return true;
  return load_if_all_act_alike (entry) < entry->concurrency.most * share;
}

/* Leaving, open breaker, unknown weights and full endpoints take nothing; samples leave the live
 * reserve free. */
bool
lc_endpoint_may_take (const LcEndpoint *endpoint,
                      LcRequestKind kind,
                      double live_reserve,
                      LbTime now)
{
  const LcEntry *entry = lc_entry (endpoint);

  if (entry->retired || endpoint->leaving || !lc_entry_weights_are_known (entry, now))
    return false;
  if (endpoint->in_flight >= lc_breaker_allowance (&entry->breaker, now))
    return false;
  return has_room (entry, kind == LC_KIND_SAMPLE ? 1 - live_reserve : 1, now);
}
