/* Records how fast endpoints work: the pace of their streams and the duration of their requests. */

#include "lc-endpoint-table.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <math.h>
#include <stdlib.h>

/* The pace of an endpoint without streams is discarded after this time, so that a slow endpoint is
 * tried again: engines are slow for five to ten seconds at a time. */
#define MAX_PACE_AGE (4 * LB_SEC)
#define MIN_PACE_DIFFERENCE 0.1 /* relative to the group's median */
/* The endpoints of a group are uneven if the slowest takes this many times as long as the fastest.
 * Among equal endpoints, the paces of a few hundred milliseconds differ by less. */
#define MIN_UNEVEN_RATIO 1.3
/* Used share of an engine's slots for which its lasting time per token holds. */
#define REFERENCE_FILL 0.5
/* Largest time per token, as a multiple of the lasting one, from which the effect of the fill is
 * estimated. */
#define MAX_FITTED_SLOWDOWN 1.6
#define MIN_FITTED_WINDOWS 50 /* for an estimate of the effect of the fill */
#define PACE_REVIEW_INTERVAL (500 * LB_MSEC)

LcEndpointGroup *
lc_endpoint_entry_find_group (const LcEndpointEntry *entry)
{
  const LcEndpointMember *member = &entry->endpoint.member;

  return lc_endpoints_find_group (entry->table, (LcEndpointKind)member->kind, member->pool,
                                  member->service);
}

/* Returns the seconds per token at the fastest endpoint of the group; 0: not known. */
static double
find_fastest_token_seconds (const LcEndpointEntry *entry, const LcEndpointGroup *group)
{
  double fastest = 0;

  for (size_t i = 0; i < group->n_slots; i++)
    {
      const LcEndpointEntry *other
          = lc_endpoint_to_entry (entry->table->summaries[group->slots[i]].endpoint);
      double seconds
          = other->stream_pace_at > 0 ? lc_stream_pace_token_seconds (&other->stream_pace) : 0;
      if (seconds > 0 && (fastest == 0 || seconds < fastest))
        fastest = seconds;
    }
  return fastest;
}

static void
reset_stream_pace (LcEndpointEntry *entry, double token_seconds, LbTime now)
{
  entry->stream_pace = (LcStreamPace){ 0 };
  entry->stream_pace_at = 0;
  entry->single_stream_token_seconds = token_seconds;
  lc_endpoint_entry_refresh_public_state (entry, now);
}

/* Discards outdated stream paces of the group. A slow engine gets no requests while other engines
 * have capacity, so if its old pace were kept, its recovery would never be noticed. */
static void
discard_outdated_group_paces (LcEndpointEntry *entry, LcEndpointGroup *group, LbTime now)
{
  double fastest = 0;

  if (now < group->next_pace_review_at)
    return;
  group->next_pace_review_at = now + PACE_REVIEW_INTERVAL;
  fastest = find_fastest_token_seconds (entry, group);
  group->fastest_token_seconds = fastest;
  for (size_t i = 0; fastest > 0 && i < group->n_slots; i++)
    {
      LcEndpointEntry *other
          = lc_endpoint_to_entry (entry->table->summaries[group->slots[i]].endpoint);
      if (other->stream_pace_at > 0 && now - other->stream_pace_at > MAX_PACE_AGE)
        reset_stream_pace (other, fastest, now);
    }
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static LcLastingPaces
summarise_paces (double *values, size_t n)
{
  if (n == 0)
    return (LcLastingPaces){ 0 };
  qsort (values, n, sizeof *values, compare_doubles);
  return (LcLastingPaces){ .n_known = n,
                           .lowest = values[0],
                           .median = (values[(n - 1) / 2] + values[n / 2]) / 2,
                           .highest = values[n - 1] };
}

static LcLastingPaces
summarise_group_paces (const LcEndpoints *endpoints, const LcEndpointGroup *group)
{
  double *values = LB_NEW_ARRAY (double, group->n_slots);
  LcLastingPaces paces;
  size_t n = 0;

  for (size_t i = 0; i < group->n_slots; i++)
    {
      const LcEndpointSummary *summary = &endpoints->summaries[group->slots[i]];

      if (!summary->is_excluded && summary->lasting_token_seconds > 0)
        values[n++] = (double)summary->lasting_token_seconds;
    }
  paces = summarise_paces (values, n);
  free (values);
  return paces;
}

LcLastingPaces
lc_endpoints_summarise_lasting_paces (const LcEndpoints *endpoints, LcEndpointKind kind)
{
  double *values = LB_NEW_ARRAY (double, endpoints->n_entries);
  size_t n = 0;

  for (size_t i = 0; i < endpoints->n_entries; i++)
    {
      const LcEndpoint *endpoint = &endpoints->entries[i]->endpoint;
      double lasting = lc_endpoint_lasting_token_seconds (endpoint);

      if ((LcEndpointKind)endpoint->member.kind == kind && !endpoint->leaving && lasting > 0)
        values[n++] = lasting;
    }

  LcLastingPaces paces = summarise_paces (values, n);

  free (values);
  return paces;
}

static void
update_group_median_if_due (LcEndpointEntry *entry, LcEndpointGroup *group, LbTime now)
{
  LcLastingPaces paces;

  if (now < group->next_median_update_at)
    return;
  paces = summarise_group_paces (entry->table, group);
  group->next_median_update_at = now + PACE_REVIEW_INTERVAL;
  group->median_lasting_token_seconds = paces.median;
  group->is_uneven = paces.highest > MIN_UNEVEN_RATIO * paces.lowest;
}

static double
estimate_fill (const LcEndpointEntry *entry)
{
  const LcEndpointSummary *summary = &entry->table->summaries[entry->endpoint.slot];

  return fmin (1, (double)(summary->requests * summary->inverse_capacity));
}

/* Returns the time per token at an engine with this fill, relative to the time at REFERENCE_FILL.
 */
static double
get_load_factor (const LcEndpointGroup *group, double fill)
{
  return (1 + group->stream_slowdown * fill) / (1 + group->stream_slowdown * REFERENCE_FILL);
}

/* Records the time per token of a window, as a multiple of the lasting one. Values during a
 * slowdown are left out, since they would hide the effect of the fill. */
static void
update_stream_cost (LcEndpointGroup *group, double fill, double relative_token_seconds)
{
  if (relative_token_seconds > MAX_FITTED_SLOWDOWN)
    return;
  lc_batch_cost_add_report (&group->stream_cost, fill, relative_token_seconds);
  if (group->stream_cost.n_reports >= MIN_FITTED_WINDOWS)
    group->stream_slowdown = lc_batch_cost_full_batch_slowdown (&group->stream_cost);
}

static void
update_engine_condition (
    LcEndpointEntry *entry, LcEndpointGroup *group, int64_t tokens, LbTime interval, LbTime now)
{
  LcEndpointCondition *condition = &entry->condition;
  double fill = estimate_fill (entry);
  double load_factor = get_load_factor (group, fill);
  double loaded_token_seconds = 0;

  /* An engine that reports the token rate of its streams needs no estimate. */
  if (!lb_switch_is_on (LB_SWITCH_CONDITION) || entry->endpoint.report.tokens_per_second > 0)
    return;
  loaded_token_seconds
      = lc_endpoint_condition_add_tokens (condition, tokens, interval, load_factor, now);
  if (loaded_token_seconds > 0 && condition->lasting_seconds > 0)
    update_stream_cost (group, fill, loaded_token_seconds / condition->lasting_seconds);
  lc_endpoint_condition_set_present_token_seconds (
      condition, lc_stream_pace_token_seconds (&entry->stream_pace) / load_factor, now);
  update_group_median_if_due (entry, group, now);
}

/* Records the duration of a request to a plain service, which sends no tokens. */
void
lc_endpoint_entry_record_service_duration (LcEndpointEntry *entry, LbTime took, LbTime now)
{
  if (!lb_switch_is_on (LB_SWITCH_CONDITION) || entry->endpoint.member.kind != LC_ENDPOINT_SERVICE)
    return;
  lc_endpoint_condition_add_request (&entry->condition, took, now);
  update_group_median_if_due (entry, lc_endpoint_entry_find_group (entry), now);
}

/* Detects an engine that becomes slow while its generations still run. The duration of completed
 * requests shows a slowdown several seconds later, and until then the engine would get as many new
 * requests as before. */
void
lc_endpoint_tokens_received (LcEndpoint *endpoint, int64_t tokens, LbTime interval, LbTime now)
{
  LcEndpointEntry *entry = lc_endpoint_to_entry (endpoint);
  LcEndpointGroup *group = NULL;
  double seconds = 0;

  if (tokens > 0)
    endpoint->last_reply_at = now;
  if (!lb_switch_is_on (LB_SWITCH_PACE))
    return;
  group = lc_endpoint_entry_find_group (entry);
  lc_stream_pace_add_tokens (&entry->stream_pace, tokens, interval);
  entry->stream_pace_at = now;
  seconds = lc_stream_pace_token_seconds (&entry->stream_pace);
  update_engine_condition (entry, group, tokens, interval, now);
  discard_outdated_group_paces (entry, group, now);
  if (seconds == 0 || endpoint->report.tokens_per_second > 0)
    return;
  entry->single_stream_token_seconds = seconds;
  lc_endpoint_entry_refresh_public_state (entry, now);
}

void
lc_endpoint_entry_record_work_time (LcEndpointEntry *entry, int64_t percent, LbTime measured_at)
{
  if (lb_switch_is_on (LB_SWITCH_CONDITION))
    lc_endpoint_condition_add_work_time (&entry->condition, percent, measured_at);
}

void
lc_endpoint_work_time_reported (LcEndpoint *endpoint, int64_t percent, LbTime measured_at)
{
  lc_endpoint_entry_record_work_time (lc_endpoint_to_entry (endpoint), percent, measured_at);
}

/* Returns the endpoint's lasting seconds per unit of work. A difference of less than
 * MIN_PACE_DIFFERENCE from the group's median may be noise; it would make all instances prefer the
 * same endpoints among equal ones. */
static double
get_lasting_unit_seconds (const LcEndpointSummary *summary, const LcEndpointGroup *group)
{
  double lasting = (double)summary->lasting_token_seconds;
  double median = group->median_lasting_token_seconds;

  if (lasting <= 0 || fabs (lasting - median) < MIN_PACE_DIFFERENCE * median)
    return median;
  return lasting;
}

double
lc_endpoint_summary_expected_seconds (const LcEndpointSummary *summary,
                                      const LcEndpointGroup *group,
                                      double units,
                                      LbTime now)
{
  double seconds = units * get_lasting_unit_seconds (summary, group);

  if (summary->reports_pace || !summary->is_slowed)
    return summary->reports_pace ? 0 : seconds;
  return lc_endpoint_condition_stretch_seconds (
      &lc_endpoint_to_entry (summary->endpoint)->condition, seconds, now);
}
