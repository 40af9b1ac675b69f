#include "ln-poller.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"
#include "lb-settings.h"
#include "lb-time.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  LbLink link;
  LnPoller *poller;
  LbName name;
  LbName address;
  bool is_engine;
  LhFetch *load_fetch;   /* load poll in progress; NULL: none */
  LhFetch *events_fetch; /* poll for cache events in progress; NULL: none */
  int64_t next_event;    /* sequence number of the first cache event to request */
  char incarnation[40];
  LbTime load_requested_at;
  bool is_configured; /* used by ln_poller_configure: the new configuration contains the endpoint */
} PolledEndpoint;

struct LnPoller
{
  struct event *timer;
  LhPool *pool;
  LbTime period;
  LnPollerHandlers handlers;
  void *user;
  LbList polled_endpoints;
};

static void
polled_endpoint_free (PolledEndpoint *endpoint)
{
  if (endpoint->load_fetch)
    lh_fetch_cancel (endpoint->load_fetch);
  if (endpoint->events_fetch)
    lh_fetch_cancel (endpoint->events_fetch);
  lb_list_remove (&endpoint->poller->polled_endpoints, &endpoint->link);
  free (endpoint);
}

static struct json_object *
parse_json_reply (const LhResult *result)
{
  struct json_object *object = NULL;
  LbError error;

  if (result->failure == LB_OK && result->status == 200)
    object = lb_settings_parse (result->body, result->body_length, "reply", &error);
  if (object && json_object_is_type (object, json_type_object))
    return object;
  json_object_put (object);
  return NULL;
}

/* A new incarnation of an endpoint restarts the sequence numbers of its cache events. */
static void
update_endpoint_incarnation (PolledEndpoint *endpoint, const char *incarnation)
{
  if (strcmp (endpoint->incarnation, incarnation) == 0)
    return;
  LB_COPY (endpoint->incarnation, incarnation);
  endpoint->next_event = 0;
}

static void
on_load_reply (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  PolledEndpoint *endpoint = user;
  struct json_object *object = parse_json_reply (result);
  LcLoadReport report = { .measured_at = endpoint->load_requested_at };

  endpoint->load_fetch = NULL;
  if (result->failure == LB_ERROR_TIMEOUT)
    lh_pool_close_idle_connections (endpoint->poller->pool, endpoint->address);
  /* Any reply shows that a plain service is alive, even if it reports no load. */
  if (!object && !endpoint->is_engine && result->failure == LB_OK)
    endpoint->poller->handlers.on_report (endpoint->name, &report, endpoint->poller->user);
  if (!object)
    return;
  LB_COPY (report.incarnation, lb_json_text (object, "incarnation", ""));
  report.leaving = strcmp (lb_json_text (object, "state", ""), "leaving") == 0;
  report.version = json_object_get_int64 (lb_json_member (object, "weight_version"));
  report.running = json_object_get_int64 (lb_json_member (object, "running"));
  report.waiting = json_object_get_int64 (lb_json_member (object, "waiting"));
  report.tokens_per_second = json_object_get_double (lb_json_member (object, "tokens_per_second"));
  report.kv_used = json_object_get_double (lb_json_member (object, "kv_used"));
  update_endpoint_incarnation (endpoint, report.incarnation);
  json_object_put (object);
  endpoint->poller->handlers.on_report (endpoint->name, &report, endpoint->poller->user);
}

static void
report_cache_events (PolledEndpoint *endpoint, struct json_object *events)
{
  LnPoller *poller = endpoint->poller;

  for (size_t i = 0; i < json_object_array_length (events); i++)
    {
      struct json_object *event = json_object_array_get_idx (events, i);
      uint64_t prefix = strtoull (lb_json_text (event, "prefix", ""), NULL, 16);
      uint64_t sequence = (uint64_t)json_object_get_int64 (lb_json_member (event, "sequence"));
      bool stored = strcmp (lb_json_text (event, "type", ""), "stored") == 0;

      poller->handlers.on_cache_event (endpoint->name, sequence, stored, prefix, poller->user);
    }
}

static void
on_cache_events_reply (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  PolledEndpoint *endpoint = user;
  struct json_object *object = parse_json_reply (result);
  struct json_object *events = object ? lb_json_member (object, "events") : NULL;

  endpoint->events_fetch = NULL;
  if (json_object_is_type (events, json_type_array))
    {
      endpoint->next_event = json_object_get_int64 (lb_json_member (object, "next"));
      report_cache_events (endpoint, events);
    }
  json_object_put (object);
}

static LhFetch *
start_get_request (PolledEndpoint *endpoint,
                   const char *path,
                   void (*on_done) (LhFetch *fetch, const LhResult *result, void *user))
{
  const LhHandlers handlers = { .on_done = on_done };
  LbTime idle_timeout = endpoint->poller->period * 4;
  const LhRequest request = { .method = "GET",
                              .address = endpoint->address,
                              .path = path,
                              .idle_timeout = idle_timeout < LB_SEC ? LB_SEC : idle_timeout,
                              .max_duration = idle_timeout < LB_SEC ? LB_SEC : idle_timeout };

  return lh_fetch_start (endpoint->poller->pool, &request, &handlers, endpoint, NULL);
}

static void
poll_endpoint (PolledEndpoint *endpoint)
{
  char path[64];

  if (!endpoint->load_fetch)
    {
      endpoint->load_requested_at = lb_clock_monotonic ();
      endpoint->load_fetch = start_get_request (endpoint, "/load", on_load_reply);
    }
  if (!endpoint->is_engine || endpoint->events_fetch)
    return;
  snprintf (path, sizeof path, "/cache_events?since=%lld", (long long)endpoint->next_event);
  endpoint->events_fetch = start_get_request (endpoint, path, on_cache_events_reply);
}

static void
on_poll_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnPoller *poller = user;

  LB_LIST_FOREACH (&poller->polled_endpoints, PolledEndpoint, link, endpoint)
  {
    poll_endpoint (endpoint);
  }
}

LnPoller *
ln_poller_new (struct event_base *base,
               LhPool *pool,
               LbTime period,
               const LnPollerHandlers *handlers,
               void *user)
{
  LnPoller *poller = LB_NEW (LnPoller);
  const struct timeval tv = lb_time_to_timeval (period);

  poller->pool = pool;
  poller->period = period;
  poller->handlers = *handlers;
  poller->user = user;
  lb_list_init (&poller->polled_endpoints);
  poller->timer = event_new (base, -1, EV_PERSIST, on_poll_timer, poller);
  event_add (poller->timer, &tv);
  return poller;
}

void
ln_poller_free (LnPoller *poller)
{
  if (!poller)
    return;
  LB_LIST_FOREACH (&poller->polled_endpoints, PolledEndpoint, link, endpoint)
  {
    polled_endpoint_free (endpoint);
  }
  event_free (poller->timer);
  free (poller);
}

static PolledEndpoint *
find_polled_endpoint (LnPoller *poller, const LcEndpointMember *member)
{
  LB_LIST_FOREACH (&poller->polled_endpoints, PolledEndpoint, link, endpoint)
  {
    if (strcmp (endpoint->name, member->name) == 0
        && strcmp (endpoint->address, member->address) == 0)
      return endpoint;
  }
  return NULL;
}

static void
add_and_poll_endpoint (LnPoller *poller, const LcEndpointMember *member)
{
  PolledEndpoint *endpoint = LB_NEW (PolledEndpoint);

  endpoint->poller = poller;
  endpoint->is_configured = true;
  endpoint->is_engine = member->kind == LC_ENDPOINT_ENGINE;
  LB_COPY (endpoint->name, member->name);
  LB_COPY (endpoint->address, member->address);
  lb_list_append (&poller->polled_endpoints, &endpoint->link);
  poll_endpoint (endpoint);
}

/* Polls new endpoints at once and stops polling removed ones. */
void
ln_poller_configure (LnPoller *poller, const LcResourceSet *set)
{
  LB_LIST_FOREACH (&poller->polled_endpoints, PolledEndpoint, link, endpoint)
  {
    endpoint->is_configured = false;
  }
  for (size_t i = 0; i < set->n_endpoints; i++)
    {
      PolledEndpoint *endpoint = find_polled_endpoint (poller, &set->endpoints[i]);
      if (endpoint)
        endpoint->is_configured = true;
      else
        add_and_poll_endpoint (poller, &set->endpoints[i]);
    }
  LB_LIST_FOREACH (&poller->polled_endpoints, PolledEndpoint, link, stale)
  {
    if (!stale->is_configured)
      polled_endpoint_free (stale);
  }
}
