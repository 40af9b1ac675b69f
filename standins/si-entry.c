#include "si-entry.h"

#include "lb-alloc.h"
#include "lb-time.h"
#include "si-json.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void start_refresh (SiEntry *entry);

static void
schedule_refresh (SiEntry *entry, LbTime wait)
{
  const struct timeval at = lb_time_to_timeval (wait);

  event_add (entry->refresh_timer, &at);
}

static bool
parse_addresses (SiEntry *entry, const LhResult *result)
{
  char *text = lb_strndup (result->body ? result->body : "", result->body_length);
  struct json_object *object = json_tokener_parse (text);
  struct json_object *list = NULL;
  size_t n = 0;

  free (text);
  if (object && json_object_object_get_ex (object, "addresses", &list))
    n = json_object_array_length (list);
  for (size_t i = 0; i < n && i < SI_ENTRY_MAX_ADDRESSES; i++)
    LB_COPY (entry->addresses[i],
             si_json_get_text (json_object_array_get_idx (list, i), "address", ""));
  if (n > 0)
    entry->n_addresses = n < SI_ENTRY_MAX_ADDRESSES ? n : SI_ENTRY_MAX_ADDRESSES;
  json_object_put (object);
  return n > 0;
}

/* After a failure the next address is tried at once: the instance may have stopped. */
static void
on_refresh_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  SiEntry *entry = user;
  bool is_ok = result->failure == LB_OK && result->status == 200 && parse_addresses (entry, result);

  entry->refresh = NULL;
  entry->refresh_from = is_ok ? 0 : entry->refresh_from + 1;
  schedule_refresh (entry, is_ok ? entry->refresh_period : LB_MSEC);
}

static void
start_refresh (SiEntry *entry)
{
  static const LhHandlers handlers = { .on_done = on_refresh_done };
  const LhRequest request = { .method = "GET",
                              .address = si_entry_address (entry, entry->refresh_from),
                              .path = entry->path,
                              .idle_timeout = LB_SEC };

  entry->refresh = lh_fetch_start (entry->pool, &request, &handlers, entry, NULL);
}

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  start_refresh (user);
}

void
si_entry_init (SiEntry *entry,
               struct event_base *base,
               LhPool *pool,
               const char *const *addresses,
               size_t n_addresses)
{
  memset (entry, 0, sizeof *entry);
  entry->pool = pool;
  entry->refresh_timer = evtimer_new (base, on_timer, entry);
  entry->n_addresses = n_addresses < SI_ENTRY_MAX_ADDRESSES ? n_addresses : SI_ENTRY_MAX_ADDRESSES;
  for (size_t i = 0; i < entry->n_addresses; i++)
    LB_COPY (entry->addresses[i], addresses[i]);
}

void
si_entry_clear (SiEntry *entry)
{
  if (entry->refresh)
    lh_fetch_cancel (entry->refresh);
  event_free (entry->refresh_timer);
}

void
si_entry_start_refresh (SiEntry *entry, const char *caller, LbTime refresh_period)
{
  snprintf (entry->path, sizeof entry->path, "/v1/entry?caller=%s", caller);
  entry->refresh_period = refresh_period;
  start_refresh (entry);
}

const char *
si_entry_address (const SiEntry *entry, size_t n)
{
  return entry->addresses[n % entry->n_addresses];
}
