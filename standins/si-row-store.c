#include "si-row-store.h"

#include "si-json.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <event2/buffer.h>
#include <json-c/json.h>
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_LIST_LIMIT 500
#define MAX_ENCODED_VALUE_LENGTH ((size_t)(64 << 10) / 3 * 4) /* 64 KiB before Base64 encoding */
#define WATCH_CHECK_INTERVAL (20 * LB_MSEC)
#define RATE_PERIOD (50 * LB_MSEC) /* period over which the rate of requests is limited */

typedef struct
{
  LbLink link;
  char *name;
  char *bytes;
  size_t length;
} Object;

typedef struct
{
  LbLink link;
  SiRowStore *store;
  struct evhttp_request *request;
  char *table;
  int64_t after; /* the watch reports rows with versions above this one */
  LbTime deadline;
  bool is_delayed; /* set: changes are reported only at the deadline */
} Watch;

static int64_t
get_row_version (const SiRowStore *store, const char *table, const char *partition, const char *key)
{
  const SiRow *row = si_rows_find (&store->rows, table, partition, key);

  return row && row->value ? row->version : 0;
}

/* --- JSON helpers --- */

static const char *
get_text_or_empty (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_string (value) : "";
}

static struct json_object *
row_to_json (const SiRow *row)
{
  struct json_object *object = json_object_new_object ();

  si_json_set_text (object, "table", row->table);
  si_json_set_text (object, "part", row->partition);
  si_json_set_text (object, "key", row->key);
  json_object_object_add (object, "ver", json_object_new_int64 (row->version));
  if (row->value)
    si_json_set_text (object, "value", row->value);
  else
    json_object_object_add (object, "deleted", json_object_new_boolean (true));
  return object;
}

static struct json_object *
new_reply_with_store_version (const SiRowStore *store)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "ver", json_object_new_int64 (store->version));
  json_object_object_add (object, "nowMs", json_object_new_int64 (lb_clock_monotonic () / LB_MSEC));
  return object;
}

/* --- transactions --- */

static struct json_object *
get_json_array (struct json_object *object, const char *key)
{
  struct json_object *array = NULL;

  json_object_object_get_ex (object, key, &array);
  return json_object_is_type (array, json_type_array) ? array : NULL;
}

/* Returns whether each row listed in `expected` has the version stated there; version 0 means that
 * the row must not exist. */
static bool
have_rows_expected_versions (const SiRowStore *store, struct json_object *expected)
{
  for (size_t i = 0; expected && i < json_object_array_length (expected); i++)
    {
      struct json_object *item = json_object_array_get_idx (expected, i);
      struct json_object *version = NULL;
      json_object_object_get_ex (item, "ver", &version);
      if (get_row_version (store, get_text_or_empty (item, "table"),
                           get_text_or_empty (item, "part"), get_text_or_empty (item, "key"))
          != json_object_get_int64 (version))
        return false;
    }
  return true;
}

static void
put_or_remove_rows (SiRowStore *store, struct json_object *entries, bool is_removal)
{
  for (size_t i = 0; entries && i < json_object_array_length (entries); i++)
    {
      struct json_object *item = json_object_array_get_idx (entries, i);
      si_rows_put (&store->rows, get_text_or_empty (item, "table"),
                   get_text_or_empty (item, "part"), get_text_or_empty (item, "key"),
                   is_removal ? NULL : get_text_or_empty (item, "value"), store->version);
    }
}

/* Adds the current versions and values of the rows in `expected` to the reply, so that the caller
 * can retry. */
static void
add_current_rows_to_reply (const SiRowStore *store,
                           struct json_object *reply,
                           struct json_object *expected)
{
  struct json_object *array = json_object_new_array ();

  for (size_t i = 0; expected && i < json_object_array_length (expected); i++)
    {
      struct json_object *item = json_object_array_get_idx (expected, i);
      const SiRow *row
          = si_rows_find (&store->rows, get_text_or_empty (item, "table"),
                          get_text_or_empty (item, "part"), get_text_or_empty (item, "key"));
      if (row && row->value)
        json_object_array_add (array, row_to_json (row));
    }
  json_object_object_add (reply, "rows", array);
}

static bool
has_oversized_value (struct json_object *entries)
{
  for (size_t i = 0; entries && i < json_object_array_length (entries); i++)
    if (strlen (get_text_or_empty (json_object_array_get_idx (entries, i), "value"))
        > MAX_ENCODED_VALUE_LENGTH)
      return true;
  return false;
}

static bool
contains_row_of_table (struct json_object *entries, const char *table)
{
  for (size_t i = 0; entries && i < json_object_array_length (entries); i++)
    if (strcmp (get_text_or_empty (json_object_array_get_idx (entries, i), "table"), table) == 0)
      return true;
  return false;
}

static void
handle_transaction (SiRowStore *store, struct evhttp_request *request)
{
  struct json_object *body = si_request_parse_body (request);
  struct json_object *expected = get_json_array (body, "expected");
  bool is_committed = have_rows_expected_versions (store, expected);

  if (has_oversized_value (get_json_array (body, "writes")))
    {
      json_object_put (body);
      si_reply_error (request, 400, "value_too_large");
      return;
    }
  if (is_committed)
    {
      store->version++;
      store->writes++;
      put_or_remove_rows (store, get_json_array (body, "writes"), false);
      put_or_remove_rows (store, get_json_array (body, "remove"), true);
    }
  if (is_committed && store->lost_replies > 0
      && contains_row_of_table (get_json_array (body, "writes"), "head"))
    {
      if (--store->lost_replies == 0 && store->unavailable_after_lost_replies)
        store->mode = SI_ROW_STORE_UNAVAILABLE;
      si_request_close_connection (request);
    }
  else if (store->mode == SI_ROW_STORE_LOSES_REPLY)
    si_request_close_connection (request);
  else
    {
      struct json_object *reply = new_reply_with_store_version (store);
      if (!is_committed)
        add_current_rows_to_reply (store, reply, expected);
      si_reply_json (request, is_committed ? 200 : 412, reply);
    }
  json_object_put (body);
}

/* --- list and watch requests --- */

static char *
get_query_value_or_empty (struct evhttp_request *request, const char *key)
{
  char *value = si_request_copy_query_value (request, key);

  return value ? value : lb_strdup ("");
}

/* Returns whether the request is for silent_table, whose requests get no reply while other tables
 * are served. */
static bool
is_request_for_silent_table (const SiRowStore *store, struct evhttp_request *request)
{
  char *table = get_query_value_or_empty (request, "table");
  bool silent = store->silent_table && strcmp (table, store->silent_table) == 0;

  free (table);
  return silent;
}

/* Adds the partition's rows from key `from` to key `to` (exclusive; "": no end), at most `limit`.
 * Returns whether there are more. */
static bool
add_rows_of_range (const SiPartition *partition,
                   const char *from,
                   const char *to,
                   size_t limit,
                   struct json_object *array)
{
  LB_LIST_FOREACH (&partition->rows, SiRow, partition_link, row)
  {
    if (!row->value || strcmp (row->key, from) < 0)
      continue;
    if (to[0] && strcmp (row->key, to) >= 0)
      return false;
    if (json_object_array_length (array) == limit)
      return true;
    json_object_array_add (array, row_to_json (row));
  }
  return false;
}

static void
handle_list_rows (SiRowStore *store, struct evhttp_request *request)
{
  char *table = get_query_value_or_empty (request, "table");
  char *part = get_query_value_or_empty (request, "part");
  char *from = get_query_value_or_empty (request, "from");
  char *to = get_query_value_or_empty (request, "to");
  char *limit_text = get_query_value_or_empty (request, "limit");
  size_t limit = limit_text[0] ? (size_t)atoi (limit_text) : DEFAULT_LIST_LIMIT;
  const SiPartition *partition = si_rows_find_partition (&store->rows, table, part);
  struct json_object *array = json_object_new_array ();
  struct json_object *reply = new_reply_with_store_version (store);
  bool is_unavailable = store->unavailable_table && strcmp (table, store->unavailable_table) == 0;
  bool has_more = partition && add_rows_of_range (partition, from, to, limit, array);

  json_object_object_add (reply, "rows", array);
  json_object_object_add (reply, "morePages", json_object_new_boolean (has_more));
  si_reply_json (request, is_unavailable ? 503 : 200, reply);
  free (limit_text);
  free (to);
  free (from);
  free (part);
  free (table);
}

/* Returns the rows of the table that changed after this version, oldest change first. */
static struct json_object *
new_changed_rows_array (const SiRowStore *store, const char *name, int64_t after)
{
  const SiTable *table = si_rows_find_table (&store->rows, name);
  const SiRow *oldest = table ? si_table_find_change_after (table, after) : NULL;
  struct json_object *array = json_object_new_array ();

  if (!oldest)
    return array;
  for (const LbLink *link = &oldest->change_link; link != &table->changes.head; link = link->next)
    json_object_array_add (array, row_to_json (LB_CONTAINER (link, SiRow, change_link)));
  return array;
}

static void
on_watch_closed (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  Watch *watch = user;

  si_request_free_if_connection_closed (watch->request);
  lb_list_remove (&watch->store->watches, &watch->link);
  free (watch->table);
  free (watch);
}

static void
send_watch_reply (Watch *watch, struct json_object *array)
{
  struct json_object *reply = new_reply_with_store_version (watch->store);

  evhttp_connection_set_closecb (evhttp_request_get_connection (watch->request), NULL, NULL);
  json_object_object_add (reply, "rows", array);
  si_reply_json (watch->request, 200, reply);
  lb_list_remove (&watch->store->watches, &watch->link);
  free (watch->table);
  free (watch);
}

static void
on_watch_check_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiRowStore *store = user;

  if (store->mode != SI_ROW_STORE_NORMAL && store->mode != SI_ROW_STORE_LOSES_REPLY)
    return;
  LB_LIST_FOREACH (&store->watches, Watch, link, watch)
  {
    struct json_object *array = new_changed_rows_array (store, watch->table, watch->after);
    bool has_changes = json_object_array_length (array) > 0 && !watch->is_delayed;
    if (has_changes || lb_clock_monotonic () >= watch->deadline)
      send_watch_reply (watch, array);
    else
      json_object_put (array);
  }
}

static void
handle_watch_request (SiRowStore *store, struct evhttp_request *request, bool is_delayed)
{
  char *after = get_query_value_or_empty (request, "after");
  char *wait = get_query_value_or_empty (request, "waitMs");
  Watch *watch = LB_NEW (Watch);

  watch->store = store;
  watch->request = request;
  watch->is_delayed = is_delayed;
  watch->table = get_query_value_or_empty (request, "table");
  watch->after = atoll (after);
  watch->deadline = lb_clock_monotonic () + atoll (wait) * LB_MSEC;
  lb_list_append (&store->watches, &watch->link);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_watch_closed, watch);
  if (watch->after < store->oldest_watchable_version)
    {
      evhttp_connection_set_closecb (evhttp_request_get_connection (request), NULL, NULL);
      on_watch_closed (NULL, watch);
      si_reply_json (request, 410, new_reply_with_store_version (store));
    }
  free (wait);
  free (after);
}

/* --- object storage --- */

static void
object_free (SiRowStore *store, Object *object)
{
  lb_list_remove (&store->objects, &object->link);
  free (object->name);
  free (object->bytes);
  free (object);
}

static Object *
find_object (const SiRowStore *store, const char *name)
{
  LB_LIST_FOREACH (&store->objects, Object, link, object)
  {
    if (strcmp (object->name, name) == 0)
      return object;
  }
  return NULL;
}

static void
handle_put_object (SiRowStore *store, struct evhttp_request *request, const char *name)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  Object *object = find_object (store, name);

  if (!object)
    {
      object = LB_NEW (Object);
      object->name = lb_strdup (name);
      lb_list_append (&store->objects, &object->link);
    }
  free (object->bytes);
  object->bytes = si_request_copy_body (request);
  object->length = evbuffer_get_length (input);
  si_reply_json (request, 200, new_reply_with_store_version (store));
}

static void
handle_get_object (SiRowStore *store, struct evhttp_request *request, const char *name)
{
  const Object *object = find_object (store, name);

  if (!object)
    {
      si_reply_error (request, 404, "not_found");
      return;
    }
  evbuffer_add (evhttp_request_get_output_buffer (request), object->bytes, object->length);
  evhttp_send_reply (request, 200, NULL, NULL);
}

static void
handle_delete_object (SiRowStore *store, struct evhttp_request *request, const char *name)
{
  Object *object = find_object (store, name);

  if (!object)
    {
      si_reply_error (request, 404, "not_found");
      return;
    }
  object_free (store, object);
  si_reply_json (request, 200, new_reply_with_store_version (store));
}

/* --- request routing, setup, and access without HTTP --- */

static bool
strip_path_prefix (const char *path, const char *prefix, const char **rest)
{
  size_t length = strlen (prefix);

  *rest = path + length;
  return strncmp (path, prefix, length) == 0;
}

/* Counts a request; false: it exceeds the rate that the store serves. */
static bool
is_within_rate (SiRowStore *store, LbTime now)
{
  if (now - store->rate_period_start >= RATE_PERIOD)
    {
      store->rate_period_start = now;
      store->n_served_in_period = 0;
    }
  return store->max_requests_per_second == 0
         || store->n_served_in_period++
                < (int)(store->max_requests_per_second * RATE_PERIOD / LB_SEC);
}

static void
route_request (SiRowStore *store, struct evhttp_request *request, bool is_delayed)
{
  const char *path = si_request_get_path (request);
  const char *name = NULL;

  store->requests++;
  if (!is_within_rate (store, lb_clock_monotonic ()))
    {
      si_reply_error (request, 429, "rate");
      return;
    }
  if (store->mode == SI_ROW_STORE_SILENT || is_request_for_silent_table (store, request))
    return;
  if (store->mode == SI_ROW_STORE_UNAVAILABLE)
    {
      si_reply_error (request, 503, "away");
      return;
    }
  if (strcmp (path, "/-/rows-tx") == 0)
    handle_transaction (store, request);
  else if (strcmp (path, "/-/rows-get") == 0)
    handle_list_rows (store, request);
  else if (strcmp (path, "/-/rows-feed") == 0)
    handle_watch_request (store, request, is_delayed);
  else if (strip_path_prefix (path, "/-/blob-put/", &name))
    handle_put_object (store, request, name);
  else if (strip_path_prefix (path, "/-/blob-get/", &name))
    handle_get_object (store, request, name);
  else if (strip_path_prefix (path, "/-/blob-drop/", &name))
    handle_delete_object (store, request, name);
  else
    si_reply_error (request, 404, "unknown_path");
}

static void
on_first_server_request (struct evhttp_request *request, void *user)
{
  SiRowStore *store = user;

  route_request (store, request, store->delayed_server == &store->server);
}

static void
on_second_server_request (struct evhttp_request *request, void *user)
{
  SiRowStore *store = user;

  route_request (store, request, store->delayed_server == &store->second_server);
}

static void
init_row_store_state (SiRowStore *store)
{
  const struct timeval period = { .tv_usec = WATCH_CHECK_INTERVAL };

  lb_list_init (&store->objects);
  lb_list_init (&store->watches);
  store->version = 1;
  store->watch_timer = event_new (store->server.base, -1, EV_PERSIST, on_watch_check_due, store);
  event_add (store->watch_timer, &period);
}

bool
si_row_store_init (SiRowStore *store, struct event_base *base, int port)
{
  memset (store, 0, sizeof *store);
  if (!si_server_init (&store->server, base, port, on_first_server_request, store)
      || !si_server_init (&store->second_server, base, 0, on_second_server_request, store))
    return false;
  init_row_store_state (store);
  return true;
}

void
si_row_store_clear (SiRowStore *store)
{
  event_free (store->watch_timer);
  LB_LIST_FOREACH (&store->watches, Watch, link, watch)
  {
    evhttp_connection_set_closecb (evhttp_request_get_connection (watch->request), NULL, NULL);
    on_watch_closed (NULL, watch);
  }
  si_rows_clear (&store->rows);
  LB_LIST_FOREACH (&store->objects, Object, link, object)
  {
    object_free (store, object);
  }
  if (store->second_server.http)
    si_server_clear (&store->second_server);
  si_server_clear (&store->server);
}

void
si_row_store_put (
    SiRowStore *store, const char *table, const char *partition, const char *key, const char *value)
{
  size_t length = value ? strlen (value) : 0;
  char *encoded = value ? lb_malloc ((length + 2) / 3 * 4 + 1) : NULL;

  if (value)
    EVP_EncodeBlock ((unsigned char *)encoded, (const unsigned char *)value, (int)length);
  si_rows_put (&store->rows, table, partition, key, encoded, ++store->version);
  free (encoded);
}

const char *
si_row_store_get_value (const SiRowStore *store,
                        const char *table,
                        const char *partition,
                        const char *key)
{
  const SiRow *row = si_rows_find (&store->rows, table, partition, key);

  return row ? row->value : NULL;
}

size_t
si_row_store_count_objects (const SiRowStore *store)
{
  return store->objects.length;
}

/* A partition of NULL selects the rows of all partitions. */
static size_t
count_rows (const SiRowStore *store, const char *name, const char *partition)
{
  const SiTable *table = si_rows_find_table (&store->rows, name);
  size_t count = 0;

  if (!table)
    return 0;
  LB_LIST_FOREACH (&table->changes, SiRow, change_link, row)
  {
    count += row->value && (!partition || strcmp (row->partition, partition) == 0);
  }
  return count;
}

size_t
si_row_store_count_rows (const SiRowStore *store, const char *table)
{
  return count_rows (store, table, NULL);
}

size_t
si_row_store_count_rows_in_partition (const SiRowStore *store,
                                      const char *table,
                                      const char *partition)
{
  return count_rows (store, table, partition);
}
