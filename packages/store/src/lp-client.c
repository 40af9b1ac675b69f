#include "lp-client.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-list.h"
#include "lb-log.h"
#include "lb-time.h"
#include "lh-fetch.h"
#include "lp-breaker.h"
#include "lp-pacer.h"

#include <event2/event.h>
#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

/* The timeout of one attempt is the call's deadline divided by this. */
#define ATTEMPTS_PER_DEADLINE 3
#define BASE_RETRY_BACKOFF (20 * LB_MSEC)
#define MAX_RETRY_BACKOFF (500 * LB_MSEC)
#define MAX_CALLS_IN_FLIGHT 128

struct LpClient
{
  struct event_base *base;
  LhPool *pool;
  LpHttpSettings settings;
  LpPacer pacer;
  LpBreaker breaker;
  gsl_rng *rng;
  struct event *send_event;
  LbList waiting[LP_N_PRIORITIES];
  LbList in_flight;
  LbList backing_off; /* calls that wait for the backoff before their next attempt */
};

/* A call to the platform, with its queue state and the state of its attempts. */
typedef struct
{
  LbLink link;
  LbList *list; /* the list of LpClient that contains the call; NULL: none */
  LpClient *client;
  char *method;
  char *path;
  char *body;
  size_t body_length;
  LpPriority priority;
  bool is_write;
  bool may_be_applied; /* an attempt of this write may have been applied: fails as STORE_UNKNOWN */
  bool was_rate_limited; /* refused by a busy store, or not sent in time: fails as STORE_BUSY */
  bool needs_new_connection;
  int attempts;
  LbTime deadline;
  struct event *deadline_timer;
  struct event *backoff_timer;
  LhFetch *fetch;
  LpClientDone done;
  void (*free_user) (void *user);
  void *user;
} Call;

static LbMetric attempts_total = LB_COUNTER_INIT ("lentilspindle_store_attempts_total",
                                                  NULL,
                                                  "Attempts of store calls, retries included.");
static LbMetric retries_total = LB_COUNTER_INIT ("lentilspindle_store_retries_total",
                                                 NULL,
                                                 "Retried attempts of store calls.");
static LbMetric unknown_outcomes_total = LB_COUNTER_INIT ("lentilspindle_store_unknown_total",
                                                          NULL,
                                                          "Store writes with an unknown outcome.");
static LbMetric breaker_openings_total
    = LB_COUNTER_INIT ("lentilspindle_store_breaker_opened_total",
                       NULL,
                       "Openings of the store's circuit breaker.");
static LbMetric waiting_calls_gauge
    = LB_GAUGE_INIT ("lentilspindle_store_calls_waiting", NULL, "Store calls waiting to be sent.");

static void
move_call_to_list (Call *call, LbList *list)
{
  if (call->list)
    lb_list_remove (call->list, &call->link);
  call->list = list;
  if (list)
    lb_list_append (list, &call->link);
}

static void
call_free (Call *call)
{
  move_call_to_list (call, NULL);
  event_free (call->deadline_timer);
  event_free (call->backoff_timer);
  free (call->method);
  free (call->path);
  free (call->body);
  free (call);
}

static void
finish_call (Call *call, LbErrorCode error, int status, const char *body, size_t length)
{
  move_call_to_list (call, NULL);
  call->done (error, status, body, length, call->user);
  call_free (call);
}

/* A write that was sent and not answered may be applied, even later: its outcome is unknown. Any
 * other failed call was certainly not applied. */
static void
fail_call (Call *call)
{
  LbErrorCode error = LB_ERROR_STORE_AWAY;

  if (call->may_be_applied)
    error = LB_ERROR_STORE_UNKNOWN;
  else if (call->was_rate_limited)
    error = LB_ERROR_STORE_BUSY;
  if (error == LB_ERROR_STORE_UNKNOWN)
    lb_metric_add (&unknown_outcomes_total, 1);
  finish_call (call, error, 0, "", 0);
}

static void
schedule_sending_waiting_calls (LpClient *client, LbTime delay)
{
  const struct timeval at = lb_time_to_timeval (delay);

  event_add (client->send_event, &at);
}

static void
enqueue_call (Call *call)
{
  move_call_to_list (call, &call->client->waiting[call->priority]);
  schedule_sending_waiting_calls (call->client, 0);
}

static void
record_store_success (LpClient *client)
{
  if (lp_breaker_is_open (&client->breaker))
    lb_log (LB_LOG_INFO, "store_back", LB_TEXT ("address", client->settings.address));
  lp_breaker_record_success (&client->breaker);
}

static void
record_store_failure (LpClient *client, const Call *call, const char *reason)
{
  double jitter = gsl_rng_uniform (client->rng);

  if (!lp_breaker_record_failure (&client->breaker, jitter, lb_clock_monotonic ()))
    return;
  lb_metric_add (&breaker_openings_total, 1);
  lb_log (LB_LOG_WARNING, "store_breaker_open", LB_TEXT ("address", client->settings.address),
          LB_TEXT ("path", call->path), LB_TEXT ("why", reason),
          LB_INT ("open_us", client->breaker.open_until - lb_clock_monotonic ()));
}

/* Retries after an exponential backoff. Full jitter spreads the retries of instances that failed at
 * the same time. If the backoff would end after the deadline, the call fails immediately. */
static void
retry_or_fail_call (Call *call)
{
  LpClient *client = call->client;
  LbTime max_backoff = BASE_RETRY_BACKOFF << (call->attempts < 6 ? call->attempts : 6);

  if (max_backoff > MAX_RETRY_BACKOFF)
    max_backoff = MAX_RETRY_BACKOFF;
  LbTime backoff = (LbTime)(gsl_rng_uniform (client->rng) * (double)max_backoff) + 1;
  if (lb_clock_monotonic () + backoff >= call->deadline)
    {
      fail_call (call);
      return;
    }
  const struct timeval at = lb_time_to_timeval (backoff);
  move_call_to_list (call, &client->backing_off);
  event_add (call->backoff_timer, &at);
}

static void
on_call_backoff_end (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  enqueue_call (user);
}

/* Whether the response is the store's own "busy" error, which proves that the call was not applied.
 * Any other 503 does not prove it. */
static bool
is_store_busy (const LhResult *result)
{
  static const char busy_code[] = "\"busy\"";

  return result->status == 503
         && memmem (result->body, result->body_length, busy_code, sizeof busy_code - 1) != NULL;
}

static void
finish_or_retry_call_by_status (Call *call, const LhResult *result)
{
  if (result->status < 500)
    {
      record_store_success (call->client);
      finish_call (call, LB_OK, result->status, result->body, result->body_length);
      return;
    }
  if (is_store_busy (result))
    {
      record_store_success (call->client);
      call->was_rate_limited = true;
    }
  else
    {
      record_store_failure (call->client, call, "status");
      call->may_be_applied = call->may_be_applied || call->is_write;
    }
  retry_or_fail_call (call);
}

/* A timeout may mean that the connection is dead although new connections work. The next attempt
 * therefore uses a new connection. Idle connections to this address may be dead too, so they are
 * closed. */
static void
retry_call_after_failed_attempt (Call *call, const LhResult *result)
{
  LpClient *client = call->client;

  record_store_failure (client, call, lb_error_name (result->failure));
  if (call->is_write && result->bytes_handed)
    call->may_be_applied = true;
  call->needs_new_connection = true;
  if (result->failure == LB_ERROR_TIMEOUT)
    lh_pool_close_idle_connections (client->pool, client->settings.address);
  retry_or_fail_call (call);
}

static void
on_fetch_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Call *call = user;
  LpClient *client = call->client;

  call->fetch = NULL;
  if (result->failure == LB_OK)
    finish_or_retry_call_by_status (call, result);
  else
    retry_call_after_failed_attempt (call, result);
  schedule_sending_waiting_calls (client, 0);
}

static void
on_call_deadline (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Call *call = user;
  LpClient *client = call->client;

  if (call->fetch)
    {
      lh_fetch_cancel (call->fetch);
      call->fetch = NULL;
      call->may_be_applied = call->may_be_applied || call->is_write;
      record_store_failure (client, call, "deadline");
    }
  else if (call->attempts == 0)
    call->was_rate_limited = true;
  fail_call (call);
  schedule_sending_waiting_calls (client, 0);
}

static void
send_call (Call *call)
{
  static const LhHeader json = { .name = "Content-Type", .value = "application/json" };
  static const LhHandlers handlers = { .on_done = on_fetch_done };
  LpClient *client = call->client;
  const LhRequest request = { .method = call->method,
                              .address = client->settings.address,
                              .path = call->path,
                              .headers = &json,
                              .n_headers = call->body ? 1 : 0,
                              .body = call->body,
                              .body_length = call->body_length,
                              .idle_timeout = client->settings.deadline / ATTEMPTS_PER_DEADLINE,
                              .fresh_connection = call->needs_new_connection };
  LbError error;

  move_call_to_list (call, &client->in_flight);
  lb_metric_add (&attempts_total, 1);
  if (call->attempts++ > 0)
    lb_metric_add (&retries_total, 1);
  call->fetch = lh_fetch_start (client->pool, &request, &handlers, call, &error);
  if (call->fetch)
    return;
  lb_log_error (LB_LOG_ERROR, "store_call_malformed", &error);
  record_store_failure (client, call, "malformed");
  fail_call (call);
}

static Call *
find_most_urgent_waiting_call (const LpClient *client)
{
  for (size_t i = 0; i < LP_N_PRIORITIES; i++)
    if (!lb_list_is_empty (&client->waiting[i]))
      return LB_CONTAINER (client->waiting[i].head.next, Call, link);
  return NULL;
}

static int64_t
count_waiting_calls (const LpClient *client)
{
  size_t n = 0;

  for (size_t i = 0; i < LP_N_PRIORITIES; i++)
    n += client->waiting[i].length;
  return (int64_t)n;
}

static void
send_waiting_calls (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LpClient *client = user;
  Call *call;

  while (client->in_flight.length < MAX_CALLS_IN_FLIGHT
         && (call = find_most_urgent_waiting_call (client)))
    {
      LbTime now = lb_clock_monotonic ();
      LbTime delay = lp_pacer_get_time_until_next_call (&client->pacer, now);
      if (delay > 0)
        {
          schedule_sending_waiting_calls (client, delay);
          break;
        }
      if (!lp_breaker_allow_call (&client->breaker, now))
        {
          fail_call (call);
          continue;
        }
      lp_pacer_take_token (&client->pacer, now);
      send_call (call);
    }
  lb_metric_set (&waiting_calls_gauge, count_waiting_calls (client));
}

LpClient *
lp_client_new (struct event_base *base, const LpHttpSettings *settings)
{
  LpClient *client = LB_NEW (LpClient);

  client->base = base;
  client->settings = *settings;
  client->pool = lh_pool_new (base);
  client->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (client->rng, settings->seed);
  lp_pacer_init (&client->pacer, settings->rate, lb_clock_monotonic ());
  lp_breaker_init (&client->breaker);
  client->send_event = evtimer_new (base, send_waiting_calls, client);
  for (size_t i = 0; i < LP_N_PRIORITIES; i++)
    lb_list_init (&client->waiting[i]);
  lb_list_init (&client->in_flight);
  lb_list_init (&client->backing_off);
  return client;
}

static void
cancel_calls_in_list (LbList *list)
{
  LB_LIST_FOREACH (list, Call, link, call)
  {
    if (call->fetch)
      lh_fetch_cancel (call->fetch);
    call->free_user (call->user);
    call_free (call);
  }
}

/* Cancels pending calls without invoking their callbacks, and frees the client. */
void
lp_client_free (LpClient *client)
{
  for (size_t i = 0; i < LP_N_PRIORITIES; i++)
    cancel_calls_in_list (&client->waiting[i]);
  cancel_calls_in_list (&client->in_flight);
  cancel_calls_in_list (&client->backing_off);
  event_free (client->send_event);
  lh_pool_free (client->pool);
  gsl_rng_free (client->rng);
  free (client);
}

/* Starts a call. Invokes done exactly once, never from inside this function, and at the latest
 * after settings.deadline. */
void
lp_client_start_call (LpClient *client, const LpClientCall *spec, LpClientDone done, void *user)
{
  Call *call = LB_NEW (Call);
  const struct timeval timeout = lb_time_to_timeval (client->settings.deadline);

  call->client = client;
  call->method = lb_strdup (spec->method);
  call->path = lb_strdup (spec->path);
  call->body = spec->body ? lb_memdup (spec->body, spec->body_length) : NULL;
  call->body_length = spec->body_length;
  call->priority = spec->priority;
  call->is_write = spec->is_write;
  call->done = done;
  call->free_user = spec->free_user;
  call->user = user;
  call->deadline = lb_clock_monotonic () + client->settings.deadline;
  call->deadline_timer = evtimer_new (client->base, on_call_deadline, call);
  call->backoff_timer = evtimer_new (client->base, on_call_backoff_end, call);
  event_add (call->deadline_timer, &timeout);
  enqueue_call (call);
}
