#include "lc-endpoint-table.h"

#include <string.h>

void
lc_entry_void_belief (LcEntry *entry)
{
  entry->cache.epoch = ++entry->table->last_epoch;
  entry->cache.last_sequence = 0;
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
         || (endpoint->member.kind == LC_ENDPOINT_ENGINE && endpoint->report.version == 0);
}

void
lc_entry_summarise (LcEntry *entry)
{
  const LcEndpoint *endpoint = &entry->endpoint;

  entry->table->summaries[endpoint->slot] = (LcSummary){
    .endpoint = &entry->endpoint,
    .reported_at = entry->is_reported ? endpoint->report.at : LC_NEVER_REPORTED,
    .version = endpoint->report.version,
    .size = (float)entry->concurrency.most,
    .places_inverse = 1 / (float)entry->concurrency.most,
    .limit = (float)entry->concurrency.limit,
    .load = (float)load_if_all_act_alike (entry),
    .others = (float)others_by_report (entry),
    .slot = endpoint->slot,
    .live_since = (int32_t)entry->live_since_report,
    .in_flight = (int32_t)endpoint->in_flight,
    .data_centre = (int16_t)entry->data_centre,
    .alone_token_seconds = (float)entry->alone_token_seconds,
    .is_out = endpoint->leaving || entry->retired,
    .is_special = is_special (entry),
  };
}

/* Makes what the parts of an entry decided readable in its endpoint and its summary. */
void
lc_entry_publish (LcEntry *entry, LbTime now)
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
  lc_entry_summarise (entry);
}

/* What was learnt of the process behind the endpoint does not hold for the next one. */
void
lc_entry_forget_process (LcEntry *entry)
{
  entry->endpoint.swap_pending = false;
  memset (&entry->breaker, 0, sizeof entry->breaker);
  lc_concurrency_init (&entry->concurrency, entry->endpoint.member.concurrency);
  lc_entry_void_belief (entry);
}
