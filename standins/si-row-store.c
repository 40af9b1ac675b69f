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

#define MAX_ROWS_AT_ONCE 500
#define MAX_VALUE_LENGTH ((size_t)(64 << 10) / 3 * 4) /* 64 KiB, encoded */
#define WAKE_PERIOD (20 * LB_MSEC)

/* A row, also after its removal, so that watches hear of it. */
typedef struct
{
  LbLink link;
  char *table;
  char *part;
  char *key;
  char *value; /* as it came, encoded; NULL: removed */
  int64_t version;
} Row;

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
  SiRowStore *rows;
  struct evhttp_request *request;
  char *table;
  int64_t after;
  LbTime until;
  bool is_late;
} Watch;

static void
row_free (SiRowStore *rows, Row *row)
{
  lb_list_remove (&rows->rows, &row->link);
  free (row->table);
  free (row->part);
  free (row->key);
  free (row->value);
  free (row);
}

static int
compare (const Row *row, const char *table, const char *part, const char *key)
{
  int order = strcmp (row->table, table);

  if (order == 0)
    order = strcmp (row->part, part);
  return order != 0 ? order : strcmp (row->key, key);
}

static Row *
find (const SiRowStore *rows, const char *table, const char *part, const char *key)
{
  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    if (compare (row, table, part, key) == 0)
      return row;
  }
  return NULL;
}

static Row *
ensure (SiRowStore *rows, const char *table, const char *part, const char *key)
{
  Row *row = find (rows, table, part, key);
  LbLink *before = &rows->rows.head;

  if (row)
    return row;
  row = LB_NEW (Row);
  row->table = lb_strdup (table);
  row->part = lb_strdup (part);
  row->key = lb_strdup (key);
  LB_LIST_FOREACH (&rows->rows, Row, link, other)
  {
    if (before == &rows->rows.head && compare (other, table, part, key) > 0)
      before = &other->link;
  }
  lb_list_insert_before (&rows->rows, before, &row->link);
  return row;
}

static int64_t
present_version (const SiRowStore *rows, const char *table, const char *part, const char *key)
{
  const Row *row = find (rows, table, part, key);

  return row && row->value ? row->version : 0;
}

/* --- JSON --- */

static const char *
text_of (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_string (value) : "";
}

static struct json_object *
row_to_json (const Row *row)
{
  struct json_object *object = json_object_new_object ();

  si_json_set_text (object, "table", row->table);
  si_json_set_text (object, "part", row->part);
  si_json_set_text (object, "key", row->key);
  json_object_object_add (object, "ver", json_object_new_int64 (row->version));
  if (row->value)
    si_json_set_text (object, "value", row->value);
  else
    json_object_object_add (object, "deleted", json_object_new_boolean (true));
  return object;
}

static struct json_object *
new_answer (const SiRowStore *rows)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "ver", json_object_new_int64 (rows->version));
  json_object_object_add (object, "nowMs", json_object_new_int64 (lb_clock_monotonic () / LB_MSEC));
  return object;
}

/* --- transactions --- */

static struct json_object *
array_of (struct json_object *object, const char *key)
{
  struct json_object *array = NULL;

  json_object_object_get_ex (object, key, &array);
  return json_object_is_type (array, json_type_array) ? array : NULL;
}

static bool
holds (const SiRowStore *rows, struct json_object *expected)
{
  for (size_t i = 0; expected && i < json_object_array_length (expected); i++)
    {
      struct json_object *item = json_object_array_get_idx (expected, i);
      struct json_object *version = NULL;
      json_object_object_get_ex (item, "ver", &version);
      if (present_version (rows, text_of (item, "table"), text_of (item, "part"),
                           text_of (item, "key"))
          != json_object_get_int64 (version))
        return false;
    }
  return true;
}

static void
apply (SiRowStore *rows, struct json_object *entries, bool remove)
{
  for (size_t i = 0; entries && i < json_object_array_length (entries); i++)
    {
      struct json_object *item = json_object_array_get_idx (entries, i);
      Row *row
          = ensure (rows, text_of (item, "table"), text_of (item, "part"), text_of (item, "key"));
      free (row->value);
      row->value = remove ? NULL : lb_strdup (text_of (item, "value"));
      row->version = rows->version;
    }
}

static void
add_present (const SiRowStore *rows, struct json_object *answer, struct json_object *expected)
{
  struct json_object *array = json_object_new_array ();

  for (size_t i = 0; expected && i < json_object_array_length (expected); i++)
    {
      struct json_object *item = json_object_array_get_idx (expected, i);
      const Row *row
          = find (rows, text_of (item, "table"), text_of (item, "part"), text_of (item, "key"));
      if (row && row->value)
        json_object_array_add (array, row_to_json (row));
    }
  json_object_object_add (answer, "rows", array);
}

static bool
has_large_value (struct json_object *entries)
{
  for (size_t i = 0; entries && i < json_object_array_length (entries); i++)
    if (strlen (text_of (json_object_array_get_idx (entries, i), "value")) > MAX_VALUE_LENGTH)
      return true;
  return false;
}

static bool
touches_table (struct json_object *entries, const char *table)
{
  for (size_t i = 0; entries && i < json_object_array_length (entries); i++)
    if (strcmp (text_of (json_object_array_get_idx (entries, i), "table"), table) == 0)
      return true;
  return false;
}

static void
transact (SiRowStore *rows, struct evhttp_request *request)
{
  struct json_object *body = si_request_json (request);
  struct json_object *expected = array_of (body, "expected");
  bool ok = holds (rows, expected);

  if (has_large_value (array_of (body, "writes")))
    {
      json_object_put (body);
      si_reply_error (request, 400, "value_too_large");
      return;
    }
  if (ok)
    {
      rows->version++;
      rows->writes++;
      apply (rows, array_of (body, "writes"), false);
      apply (rows, array_of (body, "remove"), true);
    }
  if (ok && rows->lost_replies > 0 && touches_table (array_of (body, "writes"), "head"))
    {
      if (--rows->lost_replies == 0 && rows->unavailable_after_lost_replies)
        rows->mode = SI_ROW_STORE_UNAVAILABLE;
      si_reply_abort (request);
    }
  else if (rows->mode == SI_ROW_STORE_LOSES_REPLY)
    si_reply_abort (request);
  else
    {
      struct json_object *answer = new_answer (rows);
      if (!ok)
        add_present (rows, answer, expected);
      si_reply_json (request, ok ? 200 : 412, answer);
    }
  json_object_put (body);
}

/* --- lists and watches --- */

static char *
query_of (struct evhttp_request *request, const char *key)
{
  char *value = si_request_query (request, key);

  return value ? value : lb_strdup ("");
}

/* Some parts of a store may be silent while others answer. */
static bool
is_silent (const SiRowStore *rows, struct evhttp_request *request)
{
  char *table = query_of (request, "table");
  bool silent = rows->silent_table && strcmp (table, rows->silent_table) == 0;

  free (table);
  return silent;
}

static void
list (SiRowStore *rows, struct evhttp_request *request)
{
  char *table = query_of (request, "table");
  char *part = query_of (request, "part");
  char *from = query_of (request, "from");
  char *to = query_of (request, "to");
  char *limit_text = query_of (request, "limit");
  size_t limit = limit_text[0] ? (size_t)atoi (limit_text) : MAX_ROWS_AT_ONCE;
  struct json_object *array = json_object_new_array ();
  struct json_object *answer = new_answer (rows);
  bool is_away = rows->unavailable_table && strcmp (table, rows->unavailable_table) == 0;
  bool more = false;

  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    if (!row->value || strcmp (row->table, table) != 0 || strcmp (row->part, part) != 0
        || strcmp (row->key, from) < 0 || (to[0] && strcmp (row->key, to) >= 0))
      continue;
    if (json_object_array_length (array) < limit)
      json_object_array_add (array, row_to_json (row));
    else
      more = true;
  }
  json_object_object_add (answer, "rows", array);
  json_object_object_add (answer, "morePages", json_object_new_boolean (more));
  si_reply_json (request, is_away ? 503 : 200, answer);
  free (limit_text);
  free (to);
  free (from);
  free (part);
  free (table);
}

static int
by_version (const void *a, const void *b)
{
  struct json_object *const *first = a;
  struct json_object *const *second = b;
  struct json_object *one = NULL;
  struct json_object *two = NULL;

  json_object_object_get_ex (*first, "ver", &one);
  json_object_object_get_ex (*second, "ver", &two);
  return json_object_get_int64 (one) < json_object_get_int64 (two) ? -1 : 1;
}

static struct json_object *
changes (const SiRowStore *rows, const char *table, int64_t after)
{
  struct json_object *array = json_object_new_array ();

  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    if (row->version > after && strcmp (row->table, table) == 0)
      json_object_array_add (array, row_to_json (row));
  }
  json_object_array_sort (array, by_version);
  return array;
}

static void
on_watch_closed (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  Watch *watch = user;

  si_request_release (watch->request);
  lb_list_remove (&watch->rows->watches, &watch->link);
  free (watch->table);
  free (watch);
}

static void
end_watch (Watch *watch, struct json_object *array)
{
  struct json_object *answer = new_answer (watch->rows);

  evhttp_connection_set_closecb (evhttp_request_get_connection (watch->request), NULL, NULL);
  json_object_object_add (answer, "rows", array);
  si_reply_json (watch->request, 200, answer);
  lb_list_remove (&watch->rows->watches, &watch->link);
  free (watch->table);
  free (watch);
}

static void
on_wake (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiRowStore *rows = user;

  if (rows->mode != SI_ROW_STORE_NORMAL && rows->mode != SI_ROW_STORE_LOSES_REPLY)
    return;
  LB_LIST_FOREACH (&rows->watches, Watch, link, watch)
  {
    struct json_object *array = changes (rows, watch->table, watch->after);
    bool has_news = json_object_array_length (array) > 0 && !watch->is_late;
    if (has_news || lb_clock_monotonic () >= watch->until)
      end_watch (watch, array);
    else
      json_object_put (array);
  }
}

static void
start_watch (SiRowStore *rows, struct evhttp_request *request, bool is_late)
{
  char *after = query_of (request, "after");
  char *wait = query_of (request, "waitMs");
  Watch *watch = LB_NEW (Watch);

  watch->rows = rows;
  watch->request = request;
  watch->is_late = is_late;
  watch->table = query_of (request, "table");
  watch->after = atoll (after);
  watch->until = lb_clock_monotonic () + atoll (wait) * LB_MSEC;
  lb_list_append (&rows->watches, &watch->link);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_watch_closed, watch);
  if (watch->after < rows->oldest_watchable_version)
    {
      evhttp_connection_set_closecb (evhttp_request_get_connection (request), NULL, NULL);
      on_watch_closed (NULL, watch);
      si_reply_json (request, 410, new_answer (rows));
    }
  free (wait);
  free (after);
}

/* --- objects --- */

static void
object_free (SiRowStore *rows, Object *object)
{
  lb_list_remove (&rows->objects, &object->link);
  free (object->name);
  free (object->bytes);
  free (object);
}

static Object *
find_object (const SiRowStore *rows, const char *name)
{
  LB_LIST_FOREACH (&rows->objects, Object, link, object)
  {
    if (strcmp (object->name, name) == 0)
      return object;
  }
  return NULL;
}

static void
put_object (SiRowStore *rows, struct evhttp_request *request, const char *name)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  Object *object = find_object (rows, name);

  if (!object)
    {
      object = LB_NEW (Object);
      object->name = lb_strdup (name);
      lb_list_append (&rows->objects, &object->link);
    }
  free (object->bytes);
  object->bytes = si_request_text (request);
  object->length = evbuffer_get_length (input);
  si_reply_json (request, 200, new_answer (rows));
}

static void
get_object (SiRowStore *rows, struct evhttp_request *request, const char *name)
{
  const Object *object = find_object (rows, name);

  if (!object)
    {
      si_reply_error (request, 404, "not_found");
      return;
    }
  evbuffer_add (evhttp_request_get_output_buffer (request), object->bytes, object->length);
  evhttp_send_reply (request, 200, NULL, NULL);
}

static void
remove_object (SiRowStore *rows, struct evhttp_request *request, const char *name)
{
  Object *object = find_object (rows, name);

  if (!object)
    {
      si_reply_error (request, 404, "not_found");
      return;
    }
  object_free (rows, object);
  si_reply_json (request, 200, new_answer (rows));
}

/* --- the server --- */

static bool
path_begins (const char *path, const char *start, const char **rest)
{
  size_t length = strlen (start);

  *rest = path + length;
  return strncmp (path, start, length) == 0;
}

static void
answer (SiRowStore *rows, struct evhttp_request *request, bool is_late)
{
  const char *path = si_request_path (request);
  const char *name = NULL;

  if (rows->mode == SI_ROW_STORE_SILENT || is_silent (rows, request))
    return;
  if (rows->mode == SI_ROW_STORE_UNAVAILABLE)
    {
      si_reply_error (request, 503, "away");
      return;
    }
  if (strcmp (path, "/-/rows-tx") == 0)
    transact (rows, request);
  else if (strcmp (path, "/-/rows-get") == 0)
    list (rows, request);
  else if (strcmp (path, "/-/rows-feed") == 0)
    start_watch (rows, request, is_late);
  else if (path_begins (path, "/-/blob-put/", &name))
    put_object (rows, request, name);
  else if (path_begins (path, "/-/blob-get/", &name))
    get_object (rows, request, name);
  else if (path_begins (path, "/-/blob-drop/", &name))
    remove_object (rows, request, name);
  else
    si_reply_error (request, 404, "unknown_path");
}

static void
on_request (struct evhttp_request *request, void *user)
{
  SiRowStore *rows = user;

  answer (rows, request, rows->delayed_server == &rows->server);
}

static void
on_far_request (struct evhttp_request *request, void *user)
{
  SiRowStore *rows = user;

  answer (rows, request, rows->delayed_server == &rows->second_server);
}

static void
begin (SiRowStore *rows)
{
  const struct timeval period = { .tv_usec = WAKE_PERIOD };

  lb_list_init (&rows->rows);
  lb_list_init (&rows->objects);
  lb_list_init (&rows->watches);
  rows->version = 1;
  rows->watch_timer = event_new (rows->server.base, -1, EV_PERSIST, on_wake, rows);
  event_add (rows->watch_timer, &period);
}

bool
si_row_store_init (SiRowStore *rows, struct event_base *base, int port)
{
  memset (rows, 0, sizeof *rows);
  if (!si_server_init (&rows->server, base, port, on_request, rows)
      || !si_server_init (&rows->second_server, base, 0, on_far_request, rows))
    return false;
  begin (rows);
  return true;
}

void
si_row_store_clear (SiRowStore *rows)
{
  event_free (rows->watch_timer);
  LB_LIST_FOREACH (&rows->watches, Watch, link, watch)
  {
    evhttp_connection_set_closecb (evhttp_request_get_connection (watch->request), NULL, NULL);
    on_watch_closed (NULL, watch);
  }
  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    row_free (rows, row);
  }
  LB_LIST_FOREACH (&rows->objects, Object, link, object)
  {
    object_free (rows, object);
  }
  if (rows->second_server.http)
    si_server_clear (&rows->second_server);
  si_server_clear (&rows->server);
}

void
si_row_store_put (
    SiRowStore *rows, const char *table, const char *part, const char *key, const char *value)
{
  Row *row = ensure (rows, table, part, key);

  free (row->value);
  row->value = NULL;
  row->version = ++rows->version;
  if (!value)
    return;
  row->value = lb_malloc ((strlen (value) + 2) / 3 * 4 + 1);
  EVP_EncodeBlock ((unsigned char *)row->value, (const unsigned char *)value, (int)strlen (value));
}

const char *
si_row_store_get (const SiRowStore *rows, const char *table, const char *part, const char *key)
{
  const Row *row = find (rows, table, part, key);

  return row ? row->value : NULL;
}

size_t
si_row_store_count_objects (const SiRowStore *rows)
{
  return rows->objects.length;
}

size_t
si_row_store_count (const SiRowStore *rows, const char *table)
{
  size_t count = 0;

  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    count += row->value && strcmp (row->table, table) == 0;
  }
  return count;
}
