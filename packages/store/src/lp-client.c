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

#define N_PRIORITIES (LP_PRIORITY_STATUS + 1)
#define ATTEMPTS_IN_DEADLINE 3
#define FIRST_BACKOFF (20 * LB_MSEC)
#define MAX_BACKOFF (500 * LB_MSEC)
#define MAX_IN_FLIGHT 128

struct LpClient
{
  struct event_base *base;
  LhPool *pool;
  LpHttpSettings settings;
  LpPacer pacer;
  LpBreaker breaker;
  gsl_rng *rng;
  struct event *pump;
  LbList waiting[N_PRIORITIES];
  LbList in_flight;
  LbList resting; /* between two attempts */
};

/* One call, over all its attempts. */
typedef struct
{
  LbLink link;
  LbList *list; /* the one it is in */
  LpClient *client;
  char *method;
  char *path;
  char *body;
  size_t body_length;
  LpPriority priority;
  bool is_write;
  bool may_be_applied;
  bool was_busy;
  bool fresh_connection;
  int attempts;
  LbTime deadline;
  struct event *deadline_timer;
  struct event *rest_timer;
  LhFetch *fetch;
  LpClientDone done;
  void (*drop) (void *user);
  void *user;
} Call;

static LbMetric attempts_total = LB_COUNTER_INIT ("lentilspindle_store_attempts_total",
                                                  NULL,
                                                  "Attempts of calls to the platform's store.");
static LbMetric retries_total
    = LB_COUNTER_INIT ("lentilspindle_store_retries_total", NULL, "Attempts after the first.");
static LbMetric unknown_total = LB_COUNTER_INIT ("lentilspindle_store_unknown_total",
                                                 NULL,
                                                 "Writes that ended with an unknown outcome.");
static LbMetric opened_total = LB_COUNTER_INIT ("lentilspindle_store_breaker_opened_total",
                                                NULL,
                                                "Openings of the breaker.");
static LbMetric waiting_gauge = LB_GAUGE_INIT ("lentilspindle_store_calls_waiting",
                                               NULL,
                                               "Calls that wait for the own rate.");

static void
move (Call *call, LbList *list)
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
  move (call, NULL);
  event_free (call->deadline_timer);
  event_free (call->rest_timer);
  free (call->method);
  free (call->path);
  free (call->body);
  free (call);
}

static void
finish (Call *call, LbErrorCode error, int status, const char *body, size_t length)
{
  move (call, NULL);
  call->done (error, status, body, length, call->user);
  call_free (call);
}

/* A write that was handed to a socket and not answered may be applied, now or later; only the
 * others are surely not. */
static void
give_up (Call *call)
{
  LbErrorCode error = LB_ERROR_STORE_AWAY;

  if (call->may_be_applied)
    error = LB_ERROR_STORE_UNKNOWN;
  else if (call->was_busy)
    error = LB_ERROR_STORE_BUSY;
  if (error == LB_ERROR_STORE_UNKNOWN)
    lb_metric_add (&unknown_total, 1);
  finish (call, error, 0, "", 0);
}

static void
wake (LpClient *client, LbTime wait)
{
  const struct timeval at = lb_time_to_timeval (wait);

  event_add (client->pump, &at);
}

static void
enqueue (Call *call)
{
  move (call, &call->client->waiting[call->priority]);
  wake (call->client, 0);
}

static void
count_success (LpClient *client)
{
  if (lp_breaker_is_open (&client->breaker))
    lb_log (LB_LOG_INFO, "store_back", LB_TEXT ("address", client->settings.address));
  lp_breaker_succeeded (&client->breaker);
}

static void
count_failure (LpClient *client, const Call *call, const char *why)
{
  double jitter = gsl_rng_uniform (client->rng);

  if (!lp_breaker_failed (&client->breaker, jitter, lb_clock_monotonic ()))
    return;
  lb_metric_add (&opened_total, 1);
  lb_log (LB_LOG_WARNING, "store_breaker_open", LB_TEXT ("address", client->settings.address),
          LB_TEXT ("path", call->path), LB_TEXT ("why", why),
          LB_INT ("open_us", client->breaker.open_until - lb_clock_monotonic ()));
}

/* Full jitter: instances that failed together don't come back together. When no time is left for
 * another attempt the caller is told now, not at the deadline. */
static void
rest_or_give_up (Call *call)
{
  LpClient *client = call->client;
  LbTime longest = FIRST_BACKOFF << (call->attempts < 6 ? call->attempts : 6);

  if (longest > MAX_BACKOFF)
    longest = MAX_BACKOFF;
  LbTime rest = (LbTime)(gsl_rng_uniform (client->rng) * (double)longest) + 1;
  if (lb_clock_monotonic () + rest >= call->deadline)
    {
      give_up (call);
      return;
    }
  const struct timeval at = lb_time_to_timeval (rest);
  move (call, &client->resting);
  event_add (call->rest_timer, &at);
}

static void
on_rested (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  enqueue (user);
}

/* The store's own word that it did not take the call; a 503 of anyone else proves nothing. */
static bool
is_busy (const LhResult *result)
{
  static const char word[] = "\"busy\"";

  return result->status == 503
         && memmem (result->body, result->body_length, word, sizeof word - 1) != NULL;
}

static void
handle_reply (Call *call, const LhResult *result)
{
  if (result->status < 500)
    {
      count_success (call->client);
      finish (call, LB_OK, result->status, result->body, result->body_length);
      return;
    }
  if (is_busy (result))
    {
      count_success (call->client);
      call->was_busy = true;
    }
  else
    {
      count_failure (call->client, call, "status");
      call->may_be_applied = call->may_be_applied || call->is_write;
    }
  rest_or_give_up (call);
}

/* Failure guarded against: a connection that has gone silent for good while new ones work. It shows
 * as an attempt that times out; the next attempt of the same call takes a new connection, and the
 * kept ones to this address, silent by the same cause, are dropped. */
static void
handle_failure (Call *call, const LhResult *result)
{
  LpClient *client = call->client;

  count_failure (client, call, lb_error_name (result->failure));
  if (call->is_write && result->bytes_handed)
    call->may_be_applied = true;
  call->fresh_connection = true;
  if (result->failure == LB_ERROR_TIMEOUT)
    lh_pool_drop_idle (client->pool, client->settings.address);
  rest_or_give_up (call);
}

static void
on_fetch_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Call *call = user;
  LpClient *client = call->client;

  call->fetch = NULL;
  if (result->failure == LB_OK)
    handle_reply (call, result);
  else
    handle_failure (call, result);
  wake (client, 0);
}

static void
on_deadline (evutil_socket_t fd, short what, void *user)
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
      count_failure (client, call, "deadline");
    }
  else if (call->attempts == 0)
    call->was_busy = true;
  give_up (call);
  wake (client, 0);
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
                              .idle_timeout = client->settings.deadline / ATTEMPTS_IN_DEADLINE,
                              .fresh_connection = call->fresh_connection };
  LbError error;

  move (call, &client->in_flight);
  lb_metric_add (&attempts_total, 1);
  if (call->attempts++ > 0)
    lb_metric_add (&retries_total, 1);
  call->fetch = lh_fetch_start (client->pool, &request, &handlers, call, &error);
  if (call->fetch)
    return;
  lb_log_error (LB_LOG_ERROR, "store_call_malformed", &error);
  count_failure (client, call, "malformed");
  give_up (call);
}

static Call *
first_waiting (const LpClient *client)
{
  for (size_t i = 0; i < N_PRIORITIES; i++)
    if (!lb_list_is_empty (&client->waiting[i]))
      return LB_CONTAINER (client->waiting[i].head.next, Call, link);
  return NULL;
}

static int64_t
count_waiting (const LpClient *client)
{
  size_t n = 0;

  for (size_t i = 0; i < N_PRIORITIES; i++)
    n += client->waiting[i].length;
  return (int64_t)n;
}

static void
on_pump (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LpClient *client = user;
  Call *call;

  while (client->in_flight.length < MAX_IN_FLIGHT && (call = first_waiting (client)))
    {
      LbTime now = lb_clock_monotonic ();
      LbTime wait = lp_pacer_wait (&client->pacer, now);
      if (wait > 0)
        {
          wake (client, wait);
          break;
        }
      if (!lp_breaker_allow (&client->breaker, now))
        {
          give_up (call);
          continue;
        }
      lp_pacer_take (&client->pacer, now);
      send_call (call);
    }
  lb_metric_set (&waiting_gauge, count_waiting (client));
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
  client->pump = evtimer_new (base, on_pump, client);
  for (size_t i = 0; i < N_PRIORITIES; i++)
    lb_list_init (&client->waiting[i]);
  lb_list_init (&client->in_flight);
  lb_list_init (&client->resting);
  return client;
}

static void
free_list (LbList *list)
{
  LB_LIST_FOREACH (list, Call, link, call)
  {
    if (call->fetch)
      lh_fetch_cancel (call->fetch);
    call->drop (call->user);
    call_free (call);
  }
}

/* Calls that are not answered yet are dropped without an answer. */
void
lp_client_free (LpClient *client)
{
  for (size_t i = 0; i < N_PRIORITIES; i++)
    free_list (&client->waiting[i]);
  free_list (&client->in_flight);
  free_list (&client->resting);
  event_free (client->pump);
  lh_pool_free (client->pool);
  gsl_rng_free (client->rng);
  free (client);
}

/* Answers exactly once through done, never from inside this call, at the latest after the deadline
 * of the settings. */
void
lp_client_call (LpClient *client, const LpClientCall *wanted, LpClientDone done, void *user)
{
  Call *call = LB_NEW (Call);
  const struct timeval limit = lb_time_to_timeval (client->settings.deadline);

  call->client = client;
  call->method = lb_strdup (wanted->method);
  call->path = lb_strdup (wanted->path);
  call->body = wanted->body ? lb_memdup (wanted->body, wanted->body_length) : NULL;
  call->body_length = wanted->body_length;
  call->priority = wanted->priority;
  call->is_write = wanted->is_write;
  call->done = done;
  call->drop = wanted->drop;
  call->user = user;
  call->deadline = lb_clock_monotonic () + client->settings.deadline;
  call->deadline_timer = evtimer_new (client->base, on_deadline, call);
  call->rest_timer = evtimer_new (client->base, on_rested, call);
  event_add (call->deadline_timer, &limit);
  enqueue (call);
}
