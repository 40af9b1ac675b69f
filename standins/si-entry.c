#include "si-entry.h"

#include "lb-alloc.h"
#include "lb-time.h"
#include "si-json.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void start_address_refresh (SiEntryAddresses *list);

static void
schedule_address_refresh (SiEntryAddresses *list, LbTime wait)
{
  const struct timeval at = lb_time_to_timeval (wait);

  event_add (list->refresh_timer, &at);
}

static bool
update_addresses_from_reply (SiEntryAddresses *list, const LhResult *result)
{
  char *text = lb_strndup (result->body ? result->body : "", result->body_length);
  struct json_object *object = json_tokener_parse (text);
  struct json_object *reply_list = NULL;
  size_t n = 0;

  free (text);
  if (object && json_object_object_get_ex (object, "addresses", &reply_list))
    n = json_object_array_length (reply_list);
  for (size_t i = 0; i < n && i < SI_MAX_ENTRY_ADDRESSES; i++)
    LB_COPY (list->addresses[i],
             si_json_get_text (json_object_array_get_idx (reply_list, i), "address", ""));
  if (n > 0)
    list->n_addresses = n < SI_MAX_ENTRY_ADDRESSES ? n : SI_MAX_ENTRY_ADDRESSES;
  json_object_put (object);
  return n > 0;
}

/* After a failure the next refresh calls the next address at once, since the instance at the failed
 * address may have stopped. */
static void
on_address_refresh_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  SiEntryAddresses *list = user;
  bool is_ok = result->failure == LB_OK && result->status == 200
               && update_addresses_from_reply (list, result);

  list->refresh = NULL;
  list->refresh_from = is_ok ? 0 : list->refresh_from + 1;
  schedule_address_refresh (list, is_ok ? list->refresh_period : LB_MSEC);
}

static void
start_address_refresh (SiEntryAddresses *list)
{
  static const LhHandlers handlers = { .on_done = on_address_refresh_done };
  const LhRequest request = { .method = "GET",
                              .address = si_entry_addresses_get (list, list->refresh_from),
                              .path = list->path,
                              .idle_timeout = LB_SEC };

  list->refresh = lh_fetch_start (list->pool, &request, &handlers, list, NULL);
}

static void
on_address_refresh_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  start_address_refresh (user);
}

void
si_entry_addresses_init (SiEntryAddresses *list,
                         struct event_base *base,
                         LhPool *pool,
                         const char *const *addresses,
                         size_t n_addresses)
{
  memset (list, 0, sizeof *list);
  list->pool = pool;
  list->refresh_timer = evtimer_new (base, on_address_refresh_due, list);
  list->n_addresses = n_addresses < SI_MAX_ENTRY_ADDRESSES ? n_addresses : SI_MAX_ENTRY_ADDRESSES;
  for (size_t i = 0; i < list->n_addresses; i++)
    LB_COPY (list->addresses[i], addresses[i]);
}

void
si_entry_addresses_clear (SiEntryAddresses *list)
{
  if (list->refresh)
    lh_fetch_cancel (list->refresh);
  event_free (list->refresh_timer);
}

void
si_entry_addresses_start_refresh (SiEntryAddresses *list, const char *caller, LbTime refresh_period)
{
  snprintf (list->path, sizeof list->path, "/v1/entry?caller=%s", caller);
  list->refresh_period = refresh_period;
  start_address_refresh (list);
}

const char *
si_entry_addresses_get (const SiEntryAddresses *list, size_t index)
{
  return list->addresses[index % list->n_addresses];
}
