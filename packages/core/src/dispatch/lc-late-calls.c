#include "lc-dispatch-private.h"

#include "lb-counter.h"
#include "lb-log.h"
#include "lb-switch.h"
#include "lb-time.h"

/* A waiting call is refused only if it would be late even if its wait were this part of the
 * estimate. The estimate scatters, and endpoints that are slow for a moment recover, so a larger
 * part would refuse calls that can still be served. */
#define MIN_PART_OF_WAIT 0.6
/* Shortest time between two checks of the same call. */
#define MIN_LATE_CHECK_INTERVAL (20 * LB_MSEC)
/* Bounds the cost of a review; the next one follows after LC_DISPATCH_POLL_INTERVAL. */
#define MAX_REFUSALS_PER_REVIEW 64

static LbMetric refused_waiting_calls
    = LB_COUNTER_INIT ("lentilspindle_waiting_calls_refused_total",
                       NULL,
                       "Admitted calls that were refused as not run because they would be late");

/* Whether the request may be refused as "not run" because it would be late. */
static bool
may_refuse_waiting_request (const LcRequest *request)
{
  return lb_switch_is_on (LB_SWITCH_WAIT_ESTIMATE) && request->state == LC_STATE_WAITING
         && request->kind != LC_KIND_SAMPLE && !request->may_have_run
         && !lc_request_has_output (request);
}

/* Returns the latest start that lets the answer end by the deadline. */
static LbTime
compute_latest_useful_start (const LcRequest *request)
{
  return request->deadline
         - lc_wait_estimate_service_time (&request->pool->wait_estimate, request->kind,
                                          request->expected_tokens);
}

/* While no call runs, as before the first attempt after an outage, the observed service time is
 * outdated. */
bool
lc_dispatch_is_too_late_to_start (const LcRequest *request, LbTime now)
{
  return may_refuse_waiting_request (request) && request->deadline != LB_TIME_NEVER
         && request->pool->wait_estimate.running[request->kind] > 0
         && now >= compute_latest_useful_start (request);
}

/* Endpoints that have stopped answering are expected to need as long again until they answer, so a
 * call is late from half of the time between the last answer and its latest useful start on. Each
 * check halves the time that is left, so a call is checked only a few times. */
LbTime
lc_dispatch_next_late_check (const LcRequest *request)
{
  LbTime last_progress = request->pool->wait_estimate.last_progress_at;
  LbTime from
      = lb_time_later (lb_time_later (request->submitted, request->late_checked_at), last_progress);

  if (!may_refuse_waiting_request (request) || request->deadline == LB_TIME_NEVER)
    return LB_TIME_NEVER;
  return lb_time_later (from + (compute_latest_useful_start (request) - from) / 2,
                        request->late_checked_at + MIN_LATE_CHECK_INTERVAL);
}

static void
refuse_waiting_call (LcDispatch *dispatch,
                     LcRequest *request,
                     const LcWaitDecision *decision,
                     LbTime now,
                     LbList *actions)
{
  LbTime retry_after = lc_dispatch_compute_retry_after (dispatch, request->pool, decision, now);

  lb_metric_add (&refused_waiting_calls, 1);
  lb_log (LB_LOG_INFO, "waiting_call_refused", LB_INT ("request", request->id),
          LB_TEXT ("id", request->external_id), LB_TEXT ("pool", request->pool->name),
          LB_TEXT ("caller", request->flow), LB_INT ("waited_us", now - request->submitted),
          LB_INT ("wait_us", decision->wait), LB_INT ("service_us", decision->service),
          LB_INT ("left_us", decision->time_left == LB_TIME_NEVER ? -1 : decision->time_left),
          LB_REAL ("ahead", decision->n_ahead), LB_REAL ("rate", decision->rate),
          LB_INT ("retry_after_us", retry_after));
  lc_dispatch_fail_request (dispatch, request, LB_ERROR_OVERLOADED, retry_after, now, actions);
}

static LbTime
compute_time_until (LbTime at, LbTime now)
{
  return at == LB_TIME_NEVER ? LB_TIME_NEVER : at - now;
}

/* Decides whether a waiting request with n_ahead requests before it can be served in time. */
static LcWaitDecision
decide_wait_of_waiting_request (const LcRequest *request, double n_ahead, LbTime now)
{
  const LcWaitQuery query = { .kind = request->kind,
                              .n_ahead = n_ahead,
                              .is_admitted = true,
                              .expected_tokens = request->expected_tokens,
                              .time_to_start = compute_time_until (request->start_deadline, now),
                              .time_to_end = compute_time_until (request->deadline, now) };

  return lc_wait_estimate_decide (&request->pool->wait_estimate, &query, now);
}

void
lc_dispatch_refuse_late_call (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  LcWaitDecision decision = decide_wait_of_waiting_request (request, 0, now);

  decision.is_in_time = false;
  decision.service = lc_wait_estimate_service_time (&request->pool->wait_estimate, request->kind,
                                                    request->expected_tokens);
  refuse_waiting_call (dispatch, request, &decision, now, actions);
}

/* Decides whether a waiting call is expected to be served in time. The first call of the queue
 * stays until its latest useful start: once a slot is free, it shows whether unresponsive endpoints
 * have recovered. */
static LcWaitDecision
decide_wait_by_position (const LcRequest *request, LbTime now)
{
  const LcQueue *queue = request->pool->queue;
  double n_ahead = 0;

  if (lc_queue_peek (queue) != &request->queue_entry)
    n_ahead = lc_queue_estimate_sends_before (queue, &request->queue_entry);
  return decide_wait_of_waiting_request (request, n_ahead * MIN_PART_OF_WAIT, now);
}

void
lc_dispatch_check_late_call (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  if (lc_dispatch_is_too_late_to_start (request, now))
    {
      lc_dispatch_refuse_late_call (dispatch, request, now, actions);
      return;
    }

  const LcWaitDecision decision = decide_wait_by_position (request, now);

  if (!decision.is_in_time && may_refuse_waiting_request (request))
    {
      refuse_waiting_call (dispatch, request, &decision, now, actions);
      return;
    }
  request->late_checked_at = now;
  lc_dispatch_reschedule_request_timer (dispatch, request);
}

/* Refuses the call of the band that is expected to wait longest, if it would be late. Returns
 * whether it was refused. */
static bool
refuse_longest_wait_if_late (
    LcDispatch *dispatch, const LcPoolState *pool, size_t band_index, LbTime now, LbList *actions)
{
  double n_ahead = 0;
  LcQueueEntry *entry = lc_queue_find_longest_wait (pool->queue, band_index, &n_ahead);

  if (!entry)
    return false;

  LcRequest *request = LB_CONTAINER (entry, LcRequest, queue_entry);

  if (!may_refuse_waiting_request (request))
    return false;

  const LcWaitDecision decision
      = decide_wait_of_waiting_request (request, n_ahead * MIN_PART_OF_WAIT, now);

  if (decision.is_in_time)
    return false;
  refuse_waiting_call (dispatch, request, &decision, now, actions);
  return true;
}

/* Checks only the longest wait of each band: if that call would be served in time, so would those
 * before it, unless their deadlines are much earlier. Those are refused by
 * lc_dispatch_check_late_call. */
void
lc_dispatch_review_waiting_calls (LcDispatch *dispatch,
                                  const LcPoolState *pool,
                                  LbTime now,
                                  LbList *actions)
{
  int n_refused = 0;

  if (!lb_switch_is_on (LB_SWITCH_WAIT_ESTIMATE) || lc_queue_length (pool->queue) < 2)
    return;
  for (size_t i = 0; i < lc_queue_count_bands (pool->queue); i++)
    while (n_refused < MAX_REFUSALS_PER_REVIEW
           && refuse_longest_wait_if_late (dispatch, pool, i, now, actions))
      n_refused++;
}
