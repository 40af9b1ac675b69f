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
  bool is_configured; /* used by ln_poller_configure: the new configuration contains the target */
} Target;

struct LnPoller
{
  struct event *timer;
  LhPool *pool;
  LbTime period;
  LnPollerHandlers handlers;
  void *user;
  LbList targets;
};

static void
target_free (Target *target)
{
  if (target->load_fetch)
    lh_fetch_cancel (target->load_fetch);
  if (target->events_fetch)
    lh_fetch_cancel (target->events_fetch);
  lb_list_remove (&target->poller->targets, &target->link);
  free (target);
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
update_endpoint_incarnation (Target *target, const char *incarnation)
{
  if (strcmp (target->incarnation, incarnation) == 0)
    return;
  LB_COPY (target->incarnation, incarnation);
  target->next_event = 0;
}

static void
on_load_reply (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Target *target = user;
  struct json_object *object = parse_json_reply (result);
  LcLoadReport report = { .measured_at = target->load_requested_at };

  target->load_fetch = NULL;
  if (result->failure == LB_ERROR_TIMEOUT)
    lh_pool_close_idle_connections (target->poller->pool, target->address);
  /* Any reply shows that a plain service is alive, even if it reports no load. */
  if (!object && !target->is_engine && result->failure == LB_OK)
    target->poller->handlers.on_report (target->name, &report, target->poller->user);
  if (!object)
    return;
  LB_COPY (report.incarnation, lb_json_text (object, "incarnation", ""));
  report.leaving = strcmp (lb_json_text (object, "state", ""), "leaving") == 0;
  report.version = json_object_get_int64 (lb_json_member (object, "weight_version"));
  report.running = json_object_get_int64 (lb_json_member (object, "running"));
  report.waiting = json_object_get_int64 (lb_json_member (object, "waiting"));
  report.tokens_per_second = json_object_get_double (lb_json_member (object, "tokens_per_second"));
  report.kv_used = json_object_get_double (lb_json_member (object, "kv_used"));
  update_endpoint_incarnation (target, report.incarnation);
  json_object_put (object);
  target->poller->handlers.on_report (target->name, &report, target->poller->user);
}

static void
report_cache_events (Target *target, struct json_object *events)
{
  LnPoller *poller = target->poller;

  for (size_t i = 0; i < json_object_array_length (events); i++)
    {
      struct json_object *event = json_object_array_get_idx (events, i);
      uint64_t prefix = strtoull (lb_json_text (event, "prefix", ""), NULL, 16);
      uint64_t sequence = (uint64_t)json_object_get_int64 (lb_json_member (event, "sequence"));
      bool stored = strcmp (lb_json_text (event, "type", ""), "stored") == 0;

      poller->handlers.on_cache_event (target->name, sequence, stored, prefix, poller->user);
    }
}

static void
on_cache_events_reply (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Target *target = user;
  struct json_object *object = parse_json_reply (result);
  struct json_object *events = object ? lb_json_member (object, "events") : NULL;

  target->events_fetch = NULL;
  if (json_object_is_type (events, json_type_array))
    {
      target->next_event = json_object_get_int64 (lb_json_member (object, "next"));
      report_cache_events (target, events);
    }
  json_object_put (object);
}

static LhFetch *
start_get_request (Target *target,
                   const char *path,
                   void (*on_done) (LhFetch *fetch, const LhResult *result, void *user))
{
  const LhHandlers handlers = { .on_done = on_done };
  LbTime idle_timeout = target->poller->period * 4;
  const LhRequest request = { .method = "GET",
                              .address = target->address,
                              .path = path,
                              .idle_timeout = idle_timeout < LB_SEC ? LB_SEC : idle_timeout };

  return lh_fetch_start (target->poller->pool, &request, &handlers, target, NULL);
}

static void
poll_target (Target *target)
{
  char path[64];

  if (!target->load_fetch)
    {
      target->load_requested_at = lb_clock_monotonic ();
      target->load_fetch = start_get_request (target, "/load", on_load_reply);
    }
  if (!target->is_engine || target->events_fetch)
    return;
  snprintf (path, sizeof path, "/cache_events?since=%lld", (long long)target->next_event);
  target->events_fetch = start_get_request (target, path, on_cache_events_reply);
}

static void
on_poll_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnPoller *poller = user;

  LB_LIST_FOREACH (&poller->targets, Target, link, target)
  {
    poll_target (target);
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
  lb_list_init (&poller->targets);
  poller->timer = event_new (base, -1, EV_PERSIST, on_poll_timer, poller);
  event_add (poller->timer, &tv);
  return poller;
}

void
ln_poller_free (LnPoller *poller)
{
  if (!poller)
    return;
  LB_LIST_FOREACH (&poller->targets, Target, link, target)
  {
    target_free (target);
  }
  event_free (poller->timer);
  free (poller);
}

static Target *
find_target (LnPoller *poller, const LcEndpointMember *member)
{
  LB_LIST_FOREACH (&poller->targets, Target, link, target)
  {
    if (strcmp (target->name, member->name) == 0 && strcmp (target->address, member->address) == 0)
      return target;
  }
  return NULL;
}

static void
add_and_poll_target (LnPoller *poller, const LcEndpointMember *member)
{
  Target *target = LB_NEW (Target);

  target->poller = poller;
  target->is_configured = true;
  target->is_engine = member->kind == LC_ENDPOINT_ENGINE;
  LB_COPY (target->name, member->name);
  LB_COPY (target->address, member->address);
  lb_list_append (&poller->targets, &target->link);
  poll_target (target);
}

/* Polls new endpoints at once and stops polling removed ones. */
void
ln_poller_configure (LnPoller *poller, const LcResourceSet *set)
{
  LB_LIST_FOREACH (&poller->targets, Target, link, target)
  {
    target->is_configured = false;
  }
  for (size_t i = 0; i < set->n_endpoints; i++)
    {
      Target *target = find_target (poller, &set->endpoints[i]);
      if (target)
        target->is_configured = true;
      else
        add_and_poll_target (poller, &set->endpoints[i]);
    }
  LB_LIST_FOREACH (&poller->targets, Target, link, stale)
  {
    if (!stale->is_configured)
      target_free (stale);
  }
}
