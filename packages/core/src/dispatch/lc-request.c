#include "lc-request.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

/* Upper bound of a request's attempts, whatever its route allows: enough to pass a few unreachable
 * endpoints, few enough to limit retry storms. */
#define MAX_ATTEMPTS 6

static void *
copy_memory_or_null (const void *memory, size_t size)
{
  return size ? lb_memdup (memory, size) : NULL;
}

static double
compute_queue_cost_in_tokens (const LcRequestSpec *spec)
{
  int64_t tokens = spec->prompt_tokens + spec->expected_tokens;

  return tokens > 0 ? (double)tokens : 1;
}

LcRequest *
lc_request_new (const LcRequestSpec *spec, LcPoolState *pool, LbTime now)
{
  LcRequest *request = LB_NEW (LcRequest);

  request->id = spec->id;
  request->external_id = spec->external_id ? lb_strdup (spec->external_id) : NULL;
  request->pool = pool;
  request->timer_due = LB_TIME_NEVER;
  request->submitted = now;
  request->deadline = spec->deadline;
  request->retry_at = LB_TIME_NEVER;
  LB_COPY (request->caller, spec->caller);
  LB_COPY (request->flow, spec->flow[0] ? spec->flow : spec->caller);
  request->share = spec->share;
  request->organisation_priority = spec->organisation_priority;
  request->priority = spec->priority;
  request->content = spec->content;
  request->kind = spec->kind;
  request->delivery = spec->delivery;
  request->repeatable = spec->repeatable;
  request->resumable = spec->resumable;
  request->failure_is_final = spec->failure_is_final;
  request->is_owed = spec->is_owed;
  request->hedge_after = spec->hedge_after;
  request->max_attempts = (uint32_t)spec->max_attempts;
  request->prompt_tokens = spec->prompt_tokens;
  request->expected_tokens = spec->expected_tokens;
  request->soft_deadline = spec->soft_deadline;
  request->min_version = spec->min_version;
  request->first_token = spec->resume_at;
  request->next_token = spec->resume_at;
  request->queue_entry.cost = compute_queue_cost_in_tokens (spec);
  request->queue_entry.latest_start = spec->latest_start;
  lb_list_init (&request->attempts);
  request->n_prefix_hashes
      = spec->n_prefix_hashes < LC_MAX_PREFIX_HASHES ? spec->n_prefix_hashes : LC_MAX_PREFIX_HASHES;
  request->prefix_hashes
      = copy_memory_or_null (spec->prefix_hashes, request->n_prefix_hashes * sizeof (uint64_t));
  request->n_avoid
      = spec->n_avoid < LC_MAX_AVOIDED_ENDPOINTS ? spec->n_avoid : LC_MAX_AVOIDED_ENDPOINTS;
  request->avoid = copy_memory_or_null (spec->avoid, request->n_avoid * sizeof (LbName));
  return request;
}

void
lc_request_free (LcRequest *request)
{
  if (!request)
    return;
  LB_LIST_FOREACH (&request->attempts, LcAttempt, link, attempt)
  {
    free (attempt);
  }
  free (request->external_id);
  free (request->prefix_hashes);
  free (request->avoid);
  free (request);
}

LcAttempt *
lc_request_add_attempt (LcRequest *request, const char *endpoint, LbTime now)
{
  LcAttempt *attempt = LB_NEW (LcAttempt);

  attempt->number = ++request->n_attempts;
  LB_COPY (attempt->endpoint, endpoint);
  attempt->sent_at = now;
  attempt->next_offset = request->next_token;
  lb_list_append (&request->attempts, &attempt->link);
  return attempt;
}

/* Returns the running attempt with the number; NULL if there is none. */
LcAttempt *
lc_request_find_attempt (const LcRequest *request, uint32_t number)
{
  LB_LIST_FOREACH (&request->attempts, LcAttempt, link, attempt)
  {
    if (attempt->number == number)
      return attempt;
  }
  return NULL;
}

void
lc_request_remove_attempt (LcRequest *request, LcAttempt *attempt)
{
  lb_list_remove (&request->attempts, &attempt->link);
  free (attempt);
}

void
lc_request_add_tried_endpoint (LcRequest *request, const char *endpoint)
{
  size_t n = request->n_avoid + request->n_tried;

  if (n == LC_MAX_AVOIDED_ENDPOINTS)
    return;
  for (size_t i = 0; i < n; i++)
    if (strcmp (request->avoid[i], endpoint) == 0)
      return;
  request->avoid = lb_realloc (request->avoid, (n + 1) * sizeof (LbName));
  LB_COPY (request->avoid[n], endpoint);
  request->n_tried++;
}

LcQueueKey
lc_request_make_queue_key (const LcRequest *request)
{
  return (LcQueueKey){ .kind = request->kind,
                       .organisation_priority = request->organisation_priority,
                       .priority = request->priority,
                       .caller = request->flow,
                       .share = request->share };
}

LcRouteQuery
lc_request_make_route_query (const LcRequest *request, const char *data_centre, bool avoid_tried)
{
  LcRouteQuery query = {
    .kind = request->kind,
    .pool = request->pool->name,
    .service = request->pool->service,
    .data_centre = data_centre,
    .prefix_hashes = request->prefix_hashes,
    .n_prefix_hashes = request->n_prefix_hashes,
    .prompt_tokens = request->prompt_tokens,
    .expected_tokens = request->expected_tokens,
    .soft_deadline = request->soft_deadline,
    .submitted = request->submitted,
    .min_version = request->min_version,
    .is_hedge = !lb_list_is_empty (&request->attempts),
    .awaits_faster_since
    = request->awaits_faster_since > 0 ? request->awaits_faster_since : LB_TIME_NEVER,
    .live_reserve = request->pool->live_reserve,
    .n_avoid = request->n_avoid + (avoid_tried ? request->n_tried : 0),
  };

  if (query.n_avoid)
    memcpy (query.avoid, request->avoid, query.n_avoid * sizeof (LbName));
  return query;
}

/* Whether the submitter has received a part of the answer. */
bool
lc_request_has_output (const LcRequest *request)
{
  return request->delivery == LC_DELIVER_STREAM && request->next_token > request->first_token;
}

bool
lc_request_is_resumable_stream (const LcRequest *request)
{
  return request->delivery == LC_DELIVER_STREAM && request->resumable;
}

/* Whether the request may have another attempt. The limit of its route counts only attempts that
 * reached an endpoint, MAX_ATTEMPTS counts all. When failed connections counted for the route, a
 * call with 1.5 s left failed after 6 ms and two such failures: half of the service's endpoints
 * were restarting, the other half was idle. */
bool
lc_request_has_attempts_left (const LcRequest *request)
{
  uint32_t n_reached = request->n_attempts - request->n_not_sent;

  if (request->n_attempts >= MAX_ATTEMPTS)
    return false;
  return request->max_attempts == 0 || n_reached < request->max_attempts;
}
