#include "lc-dispatch-private.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_ROUTING_POLICY "lentilspindle"
#define DEFAULT_MAX_LOAD_REPORT_AGE (2500 * LB_MSEC)
#define DEFAULT_QUEUE_LIMIT 4096
#define DRAIN_RETRY_AFTER (100 * LB_MSEC)

static LbMetric refused_requests = LB_COUNTER_INIT ("lentilspindle_requests_refused_total",
                                                    NULL,
                                                    "Requests that were not admitted");

/* Why a request was not admitted. */
typedef enum
{
  REFUSED_FOR_WAIT,        /* its answer would be late */
  REFUSED_FOR_QUEUE_LIMIT, /* the queue is full */
  REFUSED_FOR_ENDPOINTS,   /* no endpoint is available */
  REFUSED_FOR_DEADLINE,    /* its deadline had passed */
  REFUSED_FOR_OTHER,       /* draining, unknown pool, quarantined content, or a repeated id */
  N_REFUSAL_REASONS
} RefusalReason;

static const char *const refusal_reason_names[] = { [REFUSED_FOR_WAIT] = "wait",
                                                    [REFUSED_FOR_QUEUE_LIMIT] = "queue_limit",
                                                    [REFUSED_FOR_ENDPOINTS] = "no_endpoint",
                                                    [REFUSED_FOR_DEADLINE] = "deadline",
                                                    [REFUSED_FOR_OTHER] = "other" };

static const char *const kind_names[]
    = { [LC_KIND_LIVE] = "live", [LC_KIND_SERVICE] = "service", [LC_KIND_SAMPLE] = "sample" };

#define REFUSALS(kind, reason)                                                                     \
  LB_COUNTER_INIT ("lentilspindle_admission_refusals_total",                                       \
                   "kind=\"" kind "\",reason=\"" reason "\"",                                      \
                   "Requests that were not admitted, by kind and reason")
#define REFUSALS_OF_KIND(kind)                                                                     \
  {                                                                                                \
    REFUSALS (kind, "wait"), REFUSALS (kind, "queue_limit"), REFUSALS (kind, "no_endpoint"),       \
        REFUSALS (kind, "deadline"), REFUSALS (kind, "other")                                      \
  }
static LbMetric refusals[LC_N_KINDS][N_REFUSAL_REASONS]
    = { [LC_KIND_LIVE] = REFUSALS_OF_KIND ("live"),
        [LC_KIND_SERVICE] = REFUSALS_OF_KIND ("service"),
        [LC_KIND_SAMPLE] = REFUSALS_OF_KIND ("sample") };

/* Whether a new request is admitted, and why. */
typedef struct
{
  LbErrorCode error; /* LB_OK: the request is admitted */
  RefusalReason reason;
  LcWaitDecision wait; /* expected wait and the inputs that determined it */
} Admission;

static bool
is_timer_due_before (const LcHeapNode *a, const LcHeapNode *b)
{
  const LcRequest *first = LC_HEAP_ENTRY (a, LcRequest, timer_node);
  const LcRequest *second = LC_HEAP_ENTRY (b, LcRequest, timer_node);

  return first->timer_due != second->timer_due ? first->timer_due < second->timer_due
                                               : first->id < second->id;
}

/* Returns NULL if the settings name an unknown routing policy. */
LcDispatch *
lc_dispatch_new (const LcDispatchSettings *settings)
{
  const char *policy = settings->policy[0] ? settings->policy : DEFAULT_ROUTING_POLICY;
  LcRouter *router = lc_router_new (policy, settings->seed);

  if (!router)
    return NULL;

  LcDispatch *dispatch = LB_NEW (LcDispatch);

  dispatch->settings = *settings;
  if (settings->max_report_age == 0)
    dispatch->settings.max_report_age = DEFAULT_MAX_LOAD_REPORT_AGE;
  dispatch->router = router;
  dispatch->endpoints = lc_endpoints_new ();
  dispatch->budgets = lc_retry_budgets_new (settings->retry_budget);
  dispatch->quarantine = lc_quarantine_new ();
  dispatch->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (dispatch->random, settings->seed);
  lc_heap_init (&dispatch->timers, is_timer_due_before);
  return dispatch;
}

static void
free_requests (LcDispatch *dispatch)
{
  LcRequest *request = NULL;
  LcRequest *next = NULL;

  HASH_ITER (hh, dispatch->requests, request, next)
  {
    HASH_DELETE (hh, dispatch->requests, request);
    lc_queue_remove (request->pool->queue, &request->queue_entry);
    lc_request_free (request);
  }
}

static void
free_pools (LcPoolState *pools)
{
  LcPoolState *pool = NULL;
  LcPoolState *next = NULL;

  HASH_ITER (hh, pools, pool, next)
  {
    HASH_DELETE (hh, pools, pool);
    lc_pool_state_free (pool);
  }
}

void
lc_dispatch_free (LcDispatch *dispatch)
{
  if (!dispatch)
    return;
  free_requests (dispatch);
  for (int kind = 0; kind < LC_N_POOL_KINDS; kind++)
    free_pools (dispatch->pools[kind]);
  lc_heap_clear (&dispatch->timers);
  gsl_rng_free (dispatch->random);
  lc_retry_budgets_free (dispatch->budgets);
  lc_quarantine_free (dispatch->quarantine);
  lc_endpoints_free (dispatch->endpoints);
  lc_router_free (dispatch->router);
  free (dispatch);
}

/* service: service of the pool's engines; "": none, or a plain service. */
static LcPoolState *
find_pool (const LcDispatch *dispatch, LcPoolKind kind, const char *name, const char *service)
{
  LcPoolState *pool = NULL;
  char key[LC_POOL_KEY_SIZE];

  lc_pool_format_key (name, service, key);
  HASH_FIND_STR (dispatch->pools[kind], key, pool);
  return pool;
}

static LcPoolState *
find_or_add_configured_pool (LcDispatch *dispatch,
                             LcPoolKind kind,
                             const char *name,
                             const char *service)
{
  LcPoolState *pool = find_pool (dispatch, kind, name, service);

  if (!pool)
    {
      pool = lc_pool_state_new (kind, name, service);
      HASH_ADD_STR (dispatch->pools[kind], key, pool);
    }
  pool->configured = true;
  pool->queue_limit
      = dispatch->settings.queue_limit > 0 ? dispatch->settings.queue_limit : DEFAULT_QUEUE_LIMIT;
  return pool;
}

/* Returns the service by which the endpoint's pool is split; "": it is not. */
static const char *
get_pool_service (const LcEndpointMember *member)
{
  return lc_pool_kind_of_endpoint (member) == LC_POOL_ENGINES ? member->service : "";
}

/* Adds the pool of the endpoint's service. The engines of a service have a queue of their own, as
 * no request of another service may use them. */
static void
configure_pool_of_endpoint (LcDispatch *dispatch, const LcEndpointMember *member)
{
  LcPoolKind kind = lc_pool_kind_of_endpoint (member);
  const LcPoolState *parent
      = kind == LC_POOL_ENGINES ? find_pool (dispatch, kind, member->pool, "") : NULL;
  LcPoolState *pool = NULL;

  if (kind == LC_POOL_ENGINES && (member->service[0] == '\0' || !parent))
    return;
  pool = find_or_add_configured_pool (dispatch, kind, member->pool, get_pool_service (member));
  if (!parent)
    return;
  pool->live_reserve = parent->live_reserve;
  pool->queue_limit = parent->queue_limit;
}

static void
configure_pools (LcDispatch *dispatch, const LcResourceSet *set)
{
  for (int kind = 0; kind < LC_N_POOL_KINDS; kind++)
    for (LcPoolState *pool = dispatch->pools[kind]; pool; pool = pool->hh.next)
      pool->configured = false;
  for (size_t i = 0; i < set->n_pools; i++)
    {
      LcPoolState *pool
          = find_or_add_configured_pool (dispatch, LC_POOL_ENGINES, set->pools[i].name, "");

      pool->live_reserve = set->pools[i].live_reserve;
      if (set->pools[i].queue_limit > 0)
        pool->queue_limit = set->pools[i].queue_limit;
    }
  for (size_t i = 0; i < set->n_endpoints; i++)
    configure_pool_of_endpoint (dispatch, &set->endpoints[i]);
}

/* Frees the pools that are no longer configured and have no unfinished request. */
static void
free_unused_pools (LcDispatch *dispatch)
{
  LcPoolState *pool = NULL;
  LcPoolState *next = NULL;

  for (int kind = 0; kind < LC_N_POOL_KINDS; kind++)
    HASH_ITER (hh, dispatch->pools[kind], pool, next)
    {
      if (pool->configured || pool->n_requests > 0)
        continue;
      HASH_DELETE (hh, dispatch->pools[kind], pool);
      lc_pool_state_free (pool);
    }
}

/* Applies a new configuration. Attempts at removed endpoints run to completion. */
void
lc_dispatch_configure (LcDispatch *dispatch, const LcResourceSet *set, LbTime now, LbList *actions)
{
  dispatch->forbid_cancel = true;
  lc_endpoints_configure (dispatch->endpoints, set, now);
  configure_pools (dispatch, set);
  lc_dispatch_send_waiting_requests_of_all_pools (dispatch, now, actions);
  free_unused_pools (dispatch);
  dispatch->forbid_cancel = false;
}

static bool
refuse_request (const LcRequestSpec *spec,
                RefusalReason reason,
                LbErrorCode code,
                LbTime hint,
                LbTime *retry_after,
                LbError *error)
{
  *retry_after = hint;
  lb_metric_add (&refused_requests, 1);
  lb_metric_add (&refusals[spec->kind][reason], 1);
  return lb_error_set (error, code, spec->pool, "request refused before dispatch");
}

static void
log_refusal (const LcRequestSpec *spec, const Admission *admission, LbTime retry_after)
{
  const LcWaitDecision *wait = &admission->wait;

  lb_log (LB_LOG_INFO, "call_refused", LB_INT ("request", spec->id),
          LB_TEXT ("id", spec->external_id), LB_TEXT ("kind", kind_names[spec->kind]),
          LB_TEXT ("pool", spec->pool),
          LB_TEXT ("caller", spec->flow[0] ? spec->flow : spec->caller),
          LB_TEXT ("reason", refusal_reason_names[admission->reason]),
          LB_INT ("wait_us", wait->wait), LB_INT ("service_us", wait->service),
          LB_INT ("left_us", wait->time_left == LB_TIME_NEVER ? -1 : wait->time_left),
          LB_REAL ("ahead", wait->n_ahead), LB_REAL ("rate", wait->rate),
          LB_INT ("retry_after_us", retry_after));
}

/* Drops the waiting request of the lowest rank to admit a new one. Returns false if the new request
 * itself has the lowest rank, or if the request to drop has already been attempted. */
static bool
drop_lower_ranked_request (
    LcDispatch *dispatch, LcPoolState *pool, const LcQueueKey *key, LbTime now, LbList *actions)
{
  LcQueueEntry *to_drop = lc_queue_find_request_to_drop (pool->queue, key);

  if (!to_drop)
    return false;

  LcRequest *request = LB_CONTAINER (to_drop, LcRequest, queue_entry);

  if (request->n_attempts > 0)
    return false;
  lc_dispatch_fail_request (dispatch, request, LB_ERROR_OVERLOADED, 0, now, actions);
  return true;
}

/* Returns the latest start of the first attempt. A call without a deadline must start within the
 * default deadline, since a client waits for the call; the stream of such a call may run without
 * limit once started. */
static LbTime
compute_start_deadline (const LcDispatch *dispatch, const LcRequestSpec *spec, LbTime now)
{
  LbTime max_wait = dispatch->settings.default_deadline;

  if (spec->deadline != LB_TIME_NEVER || spec->kind == LC_KIND_SAMPLE || max_wait <= 0)
    return spec->deadline;
  return now + max_wait;
}

static LcWaitDecision
decide_wait (const LcPoolState *pool,
             const LcRequestSpec *spec,
             const LcQueueKey *key,
             LbTime latest_start,
             LbTime now)
{
  bool has_deadline = spec->deadline != LB_TIME_NEVER && spec->kind != LC_KIND_SAMPLE;
  const LcWaitQuery query
      = { .expected_tokens = spec->expected_tokens,
          .time_to_start = latest_start == LB_TIME_NEVER ? LB_TIME_NEVER : latest_start - now,
          .time_to_end = has_deadline ? spec->deadline - now : LB_TIME_NEVER };

  return lc_pool_state_decide_wait (pool, key, query, now);
}

static Admission
refuse_admission (Admission admission, RefusalReason reason, LbErrorCode error)
{
  admission.reason = reason;
  admission.error = error;
  return admission;
}

/* Decides whether a request may be queued: not if its answer would be late or the queue is full.
 * May drop a waiting request of lower rank to make room. */
static Admission
check_request_admission (LcDispatch *dispatch,
                         LcPoolState *pool,
                         const LcRequestSpec *spec,
                         const LcQueueKey *key,
                         LbTime now,
                         LbList *actions)
{
  LbTime latest = compute_start_deadline (dispatch, spec, now);
  Admission admission = { .error = LB_OK, .wait = decide_wait (pool, spec, key, latest, now) };

  if (latest <= now)
    return refuse_admission (admission, REFUSED_FOR_DEADLINE, LB_ERROR_DEADLINE_BEFORE_START);
  if (!lc_dispatch_may_wait_for_pool (spec->kind,
                                      lc_dispatch_earliest_pool_availability (dispatch, pool),
                                      latest, now))
    return refuse_admission (admission, REFUSED_FOR_ENDPOINTS, LB_ERROR_NO_ENDPOINT);
  if (!admission.wait.is_in_time)
    return refuse_admission (admission, REFUSED_FOR_WAIT, LB_ERROR_OVERLOADED);
  if (lc_pool_state_is_queue_full (pool)
      && !drop_lower_ranked_request (dispatch, pool, key, now, actions))
    return refuse_admission (admission, REFUSED_FOR_QUEUE_LIMIT, LB_ERROR_OVERLOADED);
  return admission;
}

bool
lc_dispatch_has_service (const LcDispatch *dispatch, const char *service)
{
  const LcPoolState *pool
      = find_pool (dispatch, lc_pool_kind_of_request (LC_KIND_SERVICE), service, "");

  return pool && pool->configured;
}

static LcRequest *
add_request (LcDispatch *dispatch, const LcRequestSpec *spec, LcPoolState *pool, LbTime now)
{
  LcRequest *request = lc_request_new (spec, pool, now);

  request->queue_entry.sequence = ++dispatch->last_sequence;
  request->start_deadline = compute_start_deadline (dispatch, spec, now);
  HASH_ADD (hh, dispatch->requests, id, sizeof request->id, request);
  pool->n_requests++;
  return request;
}

/* Returns why the request is refused regardless of the load; LB_OK: it is not. retry_after: set to
 * the hint for the caller. */
static LbErrorCode
check_request_is_acceptable (LcDispatch *dispatch,
                             const LcPoolState *pool,
                             const LcRequestSpec *spec,
                             LbTime now,
                             LbTime *retry_after)
{
  *retry_after = 0;
  if (dispatch->draining)
    {
      *retry_after = DRAIN_RETRY_AFTER;
      return LB_ERROR_DRAINING;
    }
  if (!pool || !pool->configured)
    return spec->kind == LC_KIND_SERVICE ? LB_ERROR_UNKNOWN_SERVICE : LB_ERROR_UNKNOWN_POOL;
  /* Endpoints have crashed on requests with this content, sent by any instance; the next endpoint
   * would crash, too. */
  LbTime quarantined_until
      = lc_dispatch_find_quarantine_end (dispatch, spec->content, spec->is_owed, now);
  if (quarantined_until > 0)
    {
      *retry_after = quarantined_until - now;
      return LB_ERROR_QUARANTINED;
    }
  if (!lc_dispatch_check_invariant (dispatch, !lc_dispatch_find_request (dispatch, spec->id),
                                    "request-ids-are-unique", spec->id))
    return LB_ERROR_INVARIANT;
  return LB_OK;
}

bool
lc_dispatch_submit (LcDispatch *dispatch,
                    const LcRequestSpec *spec,
                    LbTime now,
                    LbList *actions,
                    LbTime *retry_after,
                    LbError *error)
{
  LcPoolState *pool = find_pool (dispatch, lc_pool_kind_of_request (spec->kind), spec->pool,
                                 spec->kind == LC_KIND_SERVICE ? "" : spec->service);
  LbTime hint = 0;
  LbErrorCode code = check_request_is_acceptable (dispatch, pool, spec, now, &hint);

  *retry_after = 0;
  if (code != LB_OK)
    return refuse_request (spec, REFUSED_FOR_OTHER, code, hint, retry_after, error);

  LcQueueKey key = {
    .kind = spec->kind,
    .organisation_priority = spec->organisation_priority,
    .priority = spec->priority,
    .caller = spec->flow[0] ? spec->flow : spec->caller,
    .share = spec->share,
  };
  Admission admission = check_request_admission (dispatch, pool, spec, &key, now, actions);

  if (admission.error != LB_OK)
    {
      hint = lc_dispatch_compute_retry_after (dispatch, pool, &admission.wait, now);
      log_refusal (spec, &admission, hint);
      return refuse_request (spec, admission.reason, admission.error, hint, retry_after, error);
    }

  LcRequest *request = add_request (dispatch, spec, pool, now);

  lc_dispatch_enqueue (dispatch, request);
  lc_dispatch_release_move_hold (dispatch, spec->preferred_endpoint, now);
  if (!lc_dispatch_send_to_preferred_endpoint (dispatch, request, spec->preferred_endpoint, now,
                                               actions)
      && lc_dispatch_should_try_placement (request))
    lc_dispatch_send_waiting_requests (dispatch, pool, now, actions);
  return true;
}

void
lc_dispatch_limit_deadline (LcDispatch *dispatch, LcRequestId id, LbTime deadline)
{
  LcRequest *request = lc_dispatch_find_request (dispatch, id);

  if (!request || request->deadline <= deadline)
    return;
  request->deadline = deadline;
  if (request->start_deadline > deadline)
    request->start_deadline = deadline;
  lc_dispatch_reschedule_request_timer (dispatch, request);
}

void
lc_dispatch_cancel (LcDispatch *dispatch, LcRequestId id, LbTime now, LbList *actions)
{
  LcRequest *request = lc_dispatch_find_request (dispatch, id);

  if (!request)
    return;

  LcPoolState *pool = request->pool;

  lc_dispatch_drop_request (dispatch, request, now, actions);
  lc_dispatch_send_waiting_requests (dispatch, pool, now, actions);
}

void
lc_dispatch_record_attempt_end (LcDispatch *dispatch,
                                LcRequestId id,
                                uint32_t number,
                                LcAttemptEnd end,
                                LbTime now,
                                LbList *actions)
{
  LcRequest *request = lc_dispatch_find_request (dispatch, id);
  LcAttempt *attempt = request ? lc_request_find_attempt (request, number) : NULL;

  if (!attempt)
    return;

  LcPoolState *pool = request->pool;

  if (end == LC_END_REFUSED_LEAVING)
    lc_dispatch_mark_endpoint_leaving (dispatch, attempt->endpoint, "", LC_LEAVING_ENDPOINT, now,
                                       actions);
  lc_dispatch_end_attempt (dispatch, request, attempt, end, now, actions);
  lc_dispatch_send_waiting_requests (dispatch, pool, now, actions);
}

static LcPoolState *
find_pool_of_endpoint (const LcDispatch *dispatch, const char *name)
{
  const LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, name);

  if (!endpoint)
    return NULL;
  return find_pool (dispatch, lc_pool_kind_of_endpoint (&endpoint->member), endpoint->member.pool,
                    get_pool_service (&endpoint->member));
}

void
lc_dispatch_record_load_report (LcDispatch *dispatch,
                                const char *endpoint,
                                const LcLoadReport *report,
                                LbTime now,
                                LbList *actions)
{
  LcPoolState *pool = find_pool_of_endpoint (dispatch, endpoint);

  lc_endpoints_record_load_report (dispatch->endpoints, endpoint, report, now);
  if (!pool)
    return;
  dispatch->forbid_cancel = true;
  lc_dispatch_send_waiting_requests (dispatch, pool, now, actions);
  dispatch->forbid_cancel = false;
}

void
lc_dispatch_mark_endpoint_leaving (LcDispatch *dispatch,
                                   const char *endpoint,
                                   const char *incarnation,
                                   LcLeavingSource source,
                                   LbTime now,
                                   LbList *actions)
{
  LcPoolState *pool = find_pool_of_endpoint (dispatch, endpoint);

  if (!lc_endpoints_mark_leaving (dispatch->endpoints, endpoint, incarnation, source, now) || !pool)
    return;
  dispatch->forbid_cancel = true;
  lc_dispatch_send_waiting_requests (dispatch, pool, now, actions);
  dispatch->forbid_cancel = false;
}

void
lc_dispatch_drain (LcDispatch *dispatch, LbTime now, LbList *actions)
{
  (void)now;
  (void)actions;
  dispatch->draining = true;
}

static void
fail_requeue_or_hedge_due_request (LcDispatch *dispatch,
                                   LcRequest *request,
                                   LbTime now,
                                   LbList *actions)
{
  bool is_waiting = request->state == LC_STATE_WAITING;

  if (now >= request->deadline || (is_waiting && now >= request->start_deadline))
    {
      LbErrorCode error = request->may_have_run || request->state == LC_STATE_RUNNING
                              ? LB_ERROR_DEADLINE
                              : LB_ERROR_DEADLINE_BEFORE_START;
      lc_dispatch_fail_request (dispatch, request, error, 0, now, actions);
    }
  else if (request->state == LC_STATE_BACKOFF)
    lc_dispatch_enqueue (dispatch, request);
  else if (is_waiting)
    lc_dispatch_check_late_call (dispatch, request, now, actions);
  else
    lc_dispatch_try_hedge (dispatch, request, now, actions);
}

void
lc_dispatch_tick (LcDispatch *dispatch, LbTime now, LbList *actions)
{
  LcRequest *request = NULL;

  while ((request = lc_dispatch_find_due_request (dispatch, now)))
    fail_requeue_or_hedge_due_request (dispatch, request, now, actions);
  lc_dispatch_send_waiting_requests_of_all_pools (dispatch, now, actions);
}
