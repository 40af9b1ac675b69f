#include "lc-dispatch-private.h"

#include "lc-endpoint-table.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-switch.h"

#include <string.h>

/* Maximum number of waiting requests that one round of sending may skip because no endpoint can
 * take them; bounds the cost of a round while the pool is full. */
#define MAX_SKIPPED_REQUESTS_PER_ROUND 16
/* A pool whose queue has not been empty for this time is saturated. The texts of a step arrive
 * together and fill the queue for a shorter time if the pool can serve the step in time; with a
 * shorter limit, such texts would use slow engines needlessly. With a longer one, slots of slow
 * engines would stay unused for that time in a saturated pool. */
#define MIN_BACKLOG_TIME LB_SEC
/* Longest wait of a call for a pool whose circuit breakers are all open. */
#define MAX_BLOCKED_WAIT (200 * LB_MSEC)
/* A sample's hedge timer that expires later than this shows that this instance was paused. */
#define MAX_TIMER_LATENESS (300 * LB_MSEC)
/* Delay before a postponed hedge is tried again. */
#define HEDGE_RETRY_DELAY (100 * LB_MSEC)
/* Longest time that a pool's requests wait for a current load report: slightly more than the
 * interval at which loads are polled. */
#define MAX_POOL_HOLD_TIME (1200 * LB_MSEC)

static LbMetric requests_awaiting_faster
    = LB_COUNTER_INIT ("lentilspindle_requests_awaiting_faster_total",
                       NULL,
                       "Requests that waited for a faster endpoint although a slower one was free");

static const LcEndpointGroup *
find_endpoint_group (const LcDispatch *dispatch, const LcPoolState *pool)
{
  LcEndpointKind kind = pool->kind == LC_POOL_SERVICE ? LC_ENDPOINT_SERVICE : LC_ENDPOINT_ENGINE;

  return lc_endpoints_find_group (dispatch->endpoints, kind, pool->name, pool->service);
}

/* Returns the earliest time at which the circuit breaker of any endpoint of the pool admits a
 * request: 0 for now, LB_TIME_NEVER if no endpoint serves the pool. */
LbTime
lc_dispatch_earliest_pool_availability (LcDispatch *dispatch, const LcPoolState *pool)
{
  const LcEndpointGroup *group = find_endpoint_group (dispatch, pool);
  LbTime available_at = LB_TIME_NEVER;

  if (!pool->configured || !group)
    return LB_TIME_NEVER;
  for (size_t i = 0; i < group->n_slots; i++)
    {
      const LcEndpointSummary *summary = &dispatch->endpoints->summaries[group->slots[i]];

      if (summary->is_excluded)
        continue;
      if (summary->endpoint->breaker != LC_BREAKER_OPEN)
        return 0;
      if (summary->endpoint->breaker_open_until < available_at)
        available_at = summary->endpoint->breaker_open_until;
    }
  return available_at;
}

/* Whether a request may wait for a pool whose circuit breakers admit nothing before available_at.
 * Calls may wait only briefly, because they would otherwise pile up and reach the first recovered
 * endpoint all at once; their callers get a retry hint instead. Samples may wait, since no client
 * waits for them. */
bool
lc_dispatch_may_wait_for_pool (LcRequestKind kind,
                               LbTime available_at,
                               LbTime start_deadline,
                               LbTime now)
{
  if (available_at == LB_TIME_NEVER || available_at > start_deadline)
    return false;
  return kind == LC_KIND_SAMPLE || available_at <= now + MAX_BLOCKED_WAIT;
}

void
lc_dispatch_enqueue (LcDispatch *dispatch, LcRequest *request)
{
  LcQueueKey key = lc_request_make_queue_key (request);

  request->state = LC_STATE_WAITING;
  lc_queue_push (request->pool->queue, &key, &request->queue_entry);
  lc_dispatch_reschedule_request_timer (dispatch, request);
}

/* Returns the earliest time at which a load report may have been measured to count as current. An
 * instance that was paused or partitioned, or has just started, may not know that an endpoint is
 * leaving and would send it work seconds after it had to stop. A current report proves that the
 * endpoint was not leaving shortly before. */
static LbTime
compute_oldest_current_load_report_time (const LcDispatch *dispatch, LbTime now)
{
  LbTime max_age = dispatch->settings.max_report_age;

  return max_age < now ? now - max_age : 0;
}

static bool
has_current_load_report (const LcDispatch *dispatch, const LcPoolState *pool, LbTime since)
{
  const LcEndpointGroup *group = find_endpoint_group (dispatch, pool);

  for (size_t i = 0; group && i < group->n_slots; i++)
    {
      const LcEndpointSummary *summary = &dispatch->endpoints->summaries[group->slots[i]];

      if (!summary->is_excluded && summary->reported_at >= since)
        return true;
    }
  return false;
}

/* Returns an empty decision while a pool with only outdated load reports waits for a current one.
 * After a pause of this instance, reports arrive within milliseconds. After MAX_POOL_HOLD_TIME
 * without one, the decision on outdated reports is used. An endpoint that never reported is used at
 * once: the endpoint table has already excluded it until its first reply. */
static LcRouteDecision
wait_for_report_or_use_decision (LcPoolState *pool, const LcRouteDecision *outdated, LbTime now)
{
  if (!lc_endpoint_to_entry (outdated->endpoint)->is_reported)
    return *outdated;
  if (pool->held_since == 0)
    pool->held_since = now;
  if (now - pool->held_since >= MAX_POOL_HOLD_TIME)
    return *outdated;
  return (LcRouteDecision){ .reason = "view-too-old" };
}

/* Returns the number of requests that are assumed to use slots of faster endpoints before the
 * request that is placed now. If a round has skipped as many requests as it may and this one waits
 * too, the round ends, and no request behind it is offered the free slots. In a saturated pool,
 * where the work that these slots don't do is never made up for, the request waits only if it is
 * expected to end earlier even behind the whole queue. */
static size_t
count_requests_ahead_for_faster (const LcPoolState *pool, LbTime now)
{
  bool is_limit_reached = pool->n_skipped >= MAX_SKIPPED_REQUESTS_PER_ROUND;
  bool is_saturated = pool->backlog_since > 0 && now - pool->backlog_since >= MIN_BACKLOG_TIME;

  return is_limit_reached && is_saturated ? lc_queue_length (pool->queue) : pool->n_awaiting_faster;
}

/* Chooses among the endpoints with current load reports, even if all of them are full. Chooses
 * among endpoints with outdated reports only if no endpoint has a current one. */
static LcRouteDecision
route_request (LcDispatch *dispatch, const LcRequest *request, bool avoid_tried, LbTime now)
{
  LcRouteQuery query
      = lc_request_make_route_query (request, dispatch->settings.data_centre, avoid_tried);

  query.n_waiting_ahead = count_requests_ahead_for_faster (request->pool, now);
  query.reported_since = compute_oldest_current_load_report_time (dispatch, now);

  LcRouteDecision decision
      = lc_router_choose_endpoint (dispatch->router, dispatch->endpoints, &query, now);

  if (decision.endpoint)
    request->pool->held_since = 0;
  if (decision.endpoint || has_current_load_report (dispatch, request->pool, query.reported_since))
    return decision;
  query.reported_since = 0;
  decision = lc_router_choose_endpoint (dispatch->router, dispatch->endpoints, &query, now);
  return decision.endpoint ? wait_for_report_or_use_decision (request->pool, &decision, now)
                           : decision;
}

static bool
awaits_faster_endpoint (const LcRouteDecision *decision)
{
  return !decision->endpoint && strcmp (decision->reason, LC_ROUTE_AWAITS_FASTER) == 0;
}

static LcRouteDecision
choose_endpoint (LcDispatch *dispatch, const LcRequest *request, LbTime now)
{
  LcRouteDecision decision = route_request (dispatch, request, true, now);

  if (decision.endpoint || request->n_tried == 0 || awaits_faster_endpoint (&decision))
    return decision;
  return route_request (dispatch, request, false, now);
}

/* Last check before any attempt is sent, whether first attempt, retry, hedge or resumed stream. A
 * leaving endpoint gets no attempt, even if a policy chooses it by mistake. A non-repeatable call
 * gets no second attempt if the first may have run. */
static bool
may_send_attempt (LcDispatch *dispatch, const LcRequest *request, const LcEndpoint *endpoint)
{
  bool is_first = lb_list_is_empty (&request->attempts) && !request->may_have_run;

  return lc_dispatch_check_invariant (dispatch, !endpoint->leaving, "no-new-work-to-leaving",
                                      request->id)
         && lc_dispatch_check_invariant (dispatch,
                                         lc_pool_state_has_endpoint (request->pool,
                                                                     &endpoint->member),
                                         "only-endpoints-of-the-service", request->id)
         && lc_dispatch_check_invariant (dispatch, request->repeatable || is_first, "at-most-once",
                                         request->id);
}

static void
send_attempt (LcDispatch *dispatch,
              LcRequest *request,
              const LcRouteDecision *decision,
              LbTime now,
              LbList *actions)
{
  LcEndpoint *endpoint = decision->endpoint;
  LcAttempt *attempt = lc_request_add_attempt (request, endpoint->member.name, now);
  LcAction *action = lc_action_new (LC_ACTION_SEND, request->id, actions);
  size_t n_hashes = request->n_prefix_hashes;

  request->state = LC_STATE_RUNNING;
  action->attempt = attempt->number;
  action->resume_at = attempt->next_offset;
  action->decision = *decision;
  if (request->awaits_faster_since > 0)
    action->decision.waited_for_faster = now - request->awaits_faster_since;
  request->awaits_faster_since = 0;
  LB_COPY (action->endpoint, endpoint->member.name);
  LB_COPY (action->address, endpoint->member.address);
  lc_pool_state_record_attempt_start (request->pool, request->kind, now);
  lc_endpoint_request_sent (endpoint, request->kind,
                            n_hashes ? request->prefix_hashes[n_hashes - 1] : 0, now);
  lc_dispatch_reschedule_request_timer (dispatch, request);
}

static bool
has_endpoint_constraints (const LcRequest *request)
{
  return request->min_version > 0 || request->n_avoid > 0;
}

/* Whether it is worth trying to place a newly queued request. If the queue's first request accepts
 * any endpoint and still waits, no endpoint has capacity for the new one either. */
bool
lc_dispatch_should_try_placement (const LcRequest *request)
{
  const LcQueueEntry *first = lc_queue_peek (request->pool->queue);

  const LcRequest *first_request = LB_CONTAINER (first, LcRequest, queue_entry);

  return first_request == request || has_endpoint_constraints (first_request)
         || first_request->awaits_faster_since > 0;
}

/* Fails a waiting request whose content was quarantined after the request had been admitted. */
static void
fail_quarantined_request (
    LcDispatch *dispatch, LcRequest *request, LbTime until, LbTime now, LbList *actions)
{
  LbErrorCode error = request->may_have_run ? request->last_error : LB_ERROR_QUARANTINED;

  lc_dispatch_fail_request (dispatch, request, error, until - now, now, actions);
}

/* Takes a request from the queue and sends the request to the chosen endpoint, or fails the request
 * if it must not be sent. */
static void
place_request (LcDispatch *dispatch,
               LcRequest *request,
               const LcRouteDecision *decision,
               LbTime now,
               LbList *actions)
{
  const char *endpoint = decision->endpoint->member.name;
  LbTime quarantined_until
      = lc_dispatch_find_quarantine_end (dispatch, request->content, request->is_owed, now);

  lc_queue_dequeue (request->pool->queue, &request->queue_entry);
  if (quarantined_until > 0)
    {
      fail_quarantined_request (dispatch, request, quarantined_until, now, actions);
      return;
    }
  if (!may_send_attempt (dispatch, request, decision->endpoint))
    {
      lc_dispatch_fail_request (dispatch, request, LB_ERROR_INVARIANT, 0, now, actions);
      return;
    }
  if (request->retry_charged && !lc_retry_budgets_allow_retry (dispatch->budgets, endpoint))
    {
      lc_dispatch_fail_request (dispatch, request, request->last_error, 0, now, actions);
      return;
    }
  if (request->retry_charged)
    lc_retry_budgets_charge_retry (dispatch->budgets, endpoint);
  request->retry_charged = false;
  send_attempt (dispatch, request, decision, now, actions);
}

static bool
can_take_request_now (LcDispatch *dispatch,
                      const LcRequest *request,
                      const LcEndpoint *endpoint,
                      LbTime now)
{
  LbTime oldest_report = compute_oldest_current_load_report_time (dispatch, now);

  return lc_pool_state_has_endpoint (request->pool, &endpoint->member)
         && endpoint->report.version >= request->min_version
         && endpoint->report.measured_at >= oldest_report
         && lc_endpoint_can_accept (endpoint, request->kind, request->pool->live_reserve, now);
}

/* The requests that wait could not use the free slot when the endpoint's state last changed, so
 * this request does not overtake them. */
bool
lc_dispatch_send_to_preferred_endpoint (
    LcDispatch *dispatch, LcRequest *request, const char *name, LbTime now, LbList *actions)
{
  LcEndpoint *endpoint = name[0] ? lc_endpoints_find (dispatch->endpoints, name) : NULL;
  LcRouteDecision decision
      = { .endpoint = endpoint, .reason = "chosen-for-move", .n_candidates = 1 };

  if (!endpoint || !can_take_request_now (dispatch, request, endpoint, now))
    return false;
  place_request (dispatch, request, &decision, now, actions);
  return true;
}

/* Fails the waiting requests that may not wait until the pool is available again. */
static void
fail_blocked_requests (LcDispatch *dispatch, LcPoolState *pool, LbTime now, LbList *actions)
{
  LcQueueEntry *entry = NULL;

  if (lc_queue_length (pool->queue) == 0)
    return;

  LbTime available_at = lc_dispatch_earliest_pool_availability (dispatch, pool);

  while ((entry = lc_queue_peek (pool->queue)))
    {
      LcRequest *request = LB_CONTAINER (entry, LcRequest, queue_entry);
      LbErrorCode error = request->may_have_run ? request->last_error : LB_ERROR_NO_ENDPOINT;

      if (lc_dispatch_may_wait_for_pool (request->kind, available_at, LB_TIME_NEVER, now))
        return;
      lc_dispatch_fail_request (dispatch, request, error, 0, now, actions);
    }
}

static bool
may_skip_request (const LcRequest *request, const LcRouteDecision *decision)
{
  return has_endpoint_constraints (request) || awaits_faster_endpoint (decision);
}

static void
skip_request (LcPoolState *pool, LcRequest *request, const LcRouteDecision *decision, LbTime now)
{
  lc_queue_defer (pool->queue, &request->queue_entry);
  pool->n_skipped++;
  if (!awaits_faster_endpoint (decision))
    return;
  pool->n_awaiting_faster++;
  if (request->awaits_faster_since > 0)
    return;
  request->awaits_faster_since = now;
  lb_metric_add (&requests_awaiting_faster, 1);
}

static void
update_backlog_start (LcPoolState *pool, LbTime now)
{
  if (lc_queue_length (pool->queue) == 0)
    pool->backlog_since = 0;
  else if (pool->backlog_since == 0)
    pool->backlog_since = now;
}

/* Sends as many waiting requests of the pool as its endpoints can take. Skips requests without an
 * endpoint only if their constraints may be the reason, or if they wait for a faster endpoint;
 * otherwise the pool is full. */
void
lc_dispatch_send_waiting_requests (LcDispatch *dispatch,
                                   LcPoolState *pool,
                                   LbTime now,
                                   LbList *actions)
{
  LcQueueEntry *entry = NULL;

  pool->n_skipped = pool->n_awaiting_faster = 0;
  lc_dispatch_expire_move_holds (dispatch, now);
  while ((entry = lc_queue_peek (pool->queue)))
    {
      LcRequest *request = LB_CONTAINER (entry, LcRequest, queue_entry);
      LcRouteDecision decision = choose_endpoint (dispatch, request, now);

      if (decision.endpoint && lc_queue_length (pool->queue) >= 2
          && lc_dispatch_is_too_late_to_start (request, now))
        lc_dispatch_refuse_late_call (dispatch, request, now, actions);
      else if (decision.endpoint)
        place_request (dispatch, request, &decision, now, actions);
      else if (may_skip_request (request, &decision)
               && pool->n_skipped < MAX_SKIPPED_REQUESTS_PER_ROUND)
        skip_request (pool, request, &decision, now);
      else
        break;
    }
  pool->n_skipped = pool->n_awaiting_faster = 0;
  lc_queue_restore_deferred (pool->queue);
  update_backlog_start (pool, now);
  fail_blocked_requests (dispatch, pool, now, actions);
}

void
lc_dispatch_send_waiting_requests_of_all_pools (LcDispatch *dispatch, LbTime now, LbList *actions)
{
  LcPoolState *next = NULL;

  dispatch->polled_at = now;
  for (int kind = 0; kind < LC_N_POOL_KINDS; kind++)
    for (LcPoolState *pool = dispatch->pools[kind]; pool; pool = next)
      {
        next = pool->hh.next;
        lc_dispatch_send_waiting_requests (dispatch, pool, now, actions);
        lc_dispatch_review_waiting_calls (dispatch, pool, now, actions);
      }
}

/* Whether the retry budgets allow a hedge. Hedges of samples are not charged, because a sample is
 * hedged once, and the hedge uses one idle slot until either engine starts. If these hedges were
 * charged, the first three of many samples that hang at an unresponsive engine would exhaust the
 * budget. */
static bool
is_hedge_allowed (LcDispatch *dispatch, const LcRequest *request, const LcEndpoint *endpoint)
{
  const char *name = endpoint->member.name;

  return request->kind == LC_KIND_SAMPLE
         || (lc_retry_budgets_allow_retry (dispatch->budgets, request->caller)
             && lc_retry_budgets_allow_retry (dispatch->budgets, name));
}

static void
charge_hedge_to_retry_budgets (LcDispatch *dispatch,
                               const LcRequest *request,
                               const LcEndpoint *endpoint)
{
  if (request->kind == LC_KIND_SAMPLE)
    return;
  lc_retry_budgets_charge_retry (dispatch->budgets, request->caller);
  lc_retry_budgets_charge_retry (dispatch->budgets, endpoint->member.name);
}

static void
postpone_hedge (LcDispatch *dispatch, LcRequest *request, const LcAttempt *attempt, LbTime now)
{
  request->hedged = false;
  request->hedge_after = now - attempt->sent_at + HEDGE_RETRY_DELAY;
  lc_dispatch_reschedule_request_timer (dispatch, request);
}

/* Sends a second attempt of a repeatable request that has not received a piece. Postpones the hedge
 * of a sample if the timer expires late, because this instance was then paused, and the first
 * pieces of hundreds of samples may be waiting unread. */
void
lc_dispatch_try_hedge (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  const LcAttempt *attempt = LB_LIST_FIRST (&request->attempts, LcAttempt, link);
  LbTime due = request->timer_due;

  /* The average time to the first piece, and so the due time, may have changed since the timer was
   * set. */
  lc_dispatch_reschedule_request_timer (dispatch, request);
  if (!attempt || request->timer_due > now)
    return;
  if (lc_dispatch_find_quarantine_end (dispatch, request->content, request->is_owed, now) > 0)
    {
      postpone_hedge (dispatch, request, attempt, now);
      return;
    }
  if (request->kind == LC_KIND_SAMPLE && now - due > MAX_TIMER_LATENESS)
    {
      postpone_hedge (dispatch, request, attempt, now);
      return;
    }
  request->hedged = true;
  lc_request_add_tried_endpoint (request, attempt->endpoint);

  LcRouteDecision decision = route_request (dispatch, request, true, now);
  const LcEndpoint *endpoint = decision.endpoint;

  if (!endpoint || strcmp (endpoint->member.name, attempt->endpoint) == 0)
    {
      postpone_hedge (dispatch, request, attempt, now);
      return;
    }
  if (is_hedge_allowed (dispatch, request, endpoint)
      && may_send_attempt (dispatch, request, endpoint))
    {
      charge_hedge_to_retry_budgets (dispatch, request, endpoint);
      send_attempt (dispatch, request, &decision, now, actions);
    }
  lc_dispatch_reschedule_request_timer (dispatch, request);
}
