#include "lp-platform.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lp-client.h"

#include <event2/http.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define ROWS_PER_SCAN_PAGE 500

typedef struct
{
  LpPlatform platform;
  LpClient *client;
} LpHttp;

static LpClient *
get_http_client (LpPlatform *platform)
{
  return ((LpHttp *)platform)->client;
}

/* Unlike lb_json_int, also accepts an integer that is written as a real number, such as 7.0. */
static int64_t
get_integer_member (struct json_object *object, const char *key)
{
  struct json_object *value;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_int64 (value) : 0;
}

static struct json_object *
get_array_member (struct json_object *object, const char *key, size_t *length)
{
  struct json_object *array;

  *length = 0;
  if (!json_object_object_get_ex (object, key, &array)
      || !json_object_is_type (array, json_type_array))
    return NULL;
  *length = json_object_array_length (array);
  return array;
}

/* Returns NULL if the body is not a JSON object. */
static struct json_object *
parse_json_object (const char *body, size_t length)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object = json_tokener_parse_ex (tokener, body, (int)length);

  json_tokener_free (tokener);
  if (object && !json_object_is_type (object, json_type_object))
    {
      json_object_put (object);
      return NULL;
    }
  return object;
}

/* Returns a prefix such as "/table/row?key=" followed by the URI-escaped value; the caller frees
 * it. */
static char *
build_path_with_escaped_value (const char *prefix, const char *value)
{
  char *escaped = evhttp_uriencode (value, -1, 0);
  char *path = lb_asprintf ("%s%s", prefix, escaped);

  free (escaped);
  return path;
}

static void
start_get_request (LpPlatform *platform,
                   const char *path,
                   LpClientDone done,
                   void (*free_user) (void *user),
                   void *user)
{
  const LpClientCall call
      = { .method = "GET", .path = path, .priority = LP_PRIORITY_CONFIG, .free_user = free_user };

  lp_client_start_call (get_http_client (platform), &call, done, user);
}

/* --- calls that apply a transaction --- */

typedef struct
{
  LpPlatform *platform;
  char *key;   /* key of the transaction's first put */
  char *value; /* value of the first put; NULL: the row is not read after an unknown outcome */
  LpTransactDone done;
  void *user;
} TransactCall;

static void
free_transact_call (void *user)
{
  TransactCall *transact = user;

  free (transact->key);
  free (transact->value);
  free (transact);
}

static void
finish_transact_call (TransactCall *transact, LbErrorCode error, const LpRow *row)
{
  transact->done (error, row, transact->user);
  free_transact_call (transact);
}

static void
on_read_back_answer (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  TransactCall *transact = user;
  LpRow row = { .key = transact->key };
  struct json_object *reply
      = error == LB_OK && status == 200 ? parse_json_object (body, length) : NULL;
  bool applied = reply && strcmp (lb_json_text (reply, "value", ""), transact->value) == 0;

  if (applied)
    row.version = get_integer_member (reply, "version");
  finish_transact_call (transact, applied ? LB_OK : LB_ERROR_STORE_UNKNOWN, &row);
  json_object_put (reply);
}

/* Reads the row of the first put, if the caller requested it, to find out whether the transaction
 * was applied. */
static void
read_back_row_if_requested (TransactCall *transact)
{
  const LpRow row = { .key = transact->key };

  if (!transact->value)
    {
      finish_transact_call (transact, LB_ERROR_STORE_UNKNOWN, &row);
      return;
    }
  char *path = build_path_with_escaped_value ("/table/row?key=", transact->key);
  start_get_request (transact->platform, path, on_read_back_answer, free_transact_call, transact);
  free (path);
}

static int64_t
get_committed_row_version (struct json_object *reply, const char *key)
{
  struct json_object *versions;

  return json_object_object_get_ex (reply, "versions", &versions)
             ? get_integer_member (versions, key)
             : 0;
}

static void
on_transact_answer (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  TransactCall *transact = user;
  LpRow row = { .key = transact->key };
  struct json_object *reply = error == LB_OK ? parse_json_object (body, length) : NULL;

  if (error != LB_OK && error != LB_ERROR_STORE_UNKNOWN)
    finish_transact_call (transact, error, &row);
  else if (reply && status == 200)
    {
      row.version = get_committed_row_version (reply, transact->key);
      finish_transact_call (transact, LB_OK, &row);
    }
  else if (reply && status == 409)
    {
      row = (LpRow){ .key = lb_json_text (reply, "failed", ""),
                     .version = get_integer_member (reply, "version") };
      finish_transact_call (transact, LB_ERROR_CONDITION_FAILED, &row);
    }
  else if (error == LB_OK && status >= 400)
    finish_transact_call (transact, LB_ERROR_BAD_REQUEST, &row);
  else
    read_back_row_if_requested (transact);
  json_object_put (reply);
}

static struct json_object *
conditions_to_json (const LpTransaction *transaction)
{
  struct json_object *conditions = json_object_new_array ();

  for (size_t i = 0; i < transaction->n_conditions; i++)
    {
      const LpCondition *condition = &transaction->conditions[i];
      struct json_object *item = json_object_new_object ();
      json_object_object_add (item, "key", json_object_new_string (condition->key));
      json_object_object_add (item, "version", json_object_new_int64 (condition->version));
      json_object_array_add (conditions, item);
    }
  return conditions;
}

static void
add_row_put_or_delete (struct json_object *puts, struct json_object *deletes, const LpPut *put)
{
  struct json_object *item;

  if (!put->value)
    {
      json_object_array_add (deletes, json_object_new_string (put->key));
      return;
    }
  item = json_object_new_object ();
  json_object_object_add (item, "key", json_object_new_string (put->key));
  json_object_object_add (item, "value", json_object_new_string (put->value));
  json_object_array_add (puts, item);
}

static struct json_object *
transaction_to_json (const LpTransaction *transaction)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *puts = json_object_new_array ();
  struct json_object *deletes = json_object_new_array ();

  for (size_t i = 0; i < transaction->n_puts; i++)
    add_row_put_or_delete (puts, deletes, &transaction->puts[i]);
  json_object_object_add (object, "token", json_object_new_string (transaction->token));
  json_object_object_add (object, "conditions", conditions_to_json (transaction));
  json_object_object_add (object, "puts", puts);
  json_object_object_add (object, "deletes", deletes);
  return object;
}

static void
http_transact (LpPlatform *platform,
               const LpTransaction *transaction,
               LpPriority priority,
               LpTransactDone done,
               void *user)
{
  struct json_object *object = transaction_to_json (transaction);
  const char *body = json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);
  const LpClientCall call = { .method = "POST",
                              .path = "/table/transact",
                              .body = body,
                              .body_length = strlen (body),
                              .priority = priority,
                              .is_write = true,
                              .free_user = free_transact_call };
  const LpPut *first = transaction->n_puts > 0 ? &transaction->puts[0] : NULL;
  TransactCall *transact = LB_NEW (TransactCall);

  transact->platform = platform;
  transact->key = lb_strdup (first ? first->key : "");
  if (transaction->read_back && first && first->value)
    transact->value = lb_strdup (first->value);
  transact->done = done;
  transact->user = user;
  lp_client_start_call (get_http_client (platform), &call, on_transact_answer, transact);
  json_object_put (object);
}

/* --- calls that read rows --- */

typedef struct
{
  LpPlatform *platform;
  char *prefix; /* prefix of the keys to scan; NULL: a single row is read */
  LpRow *rows;  /* rows received so far, which own their keys and values */
  size_t n_rows;
  LpRowsDone done;
  void *user;
} RowReadCall;

static void
free_row_read_call (void *user)
{
  RowReadCall *rows = user;

  for (size_t i = 0; i < rows->n_rows; i++)
    {
      free ((char *)rows->rows[i].key);
      free ((char *)rows->rows[i].value);
    }
  free (rows->rows);
  free (rows->prefix);
  free (rows);
}

static void
finish_row_read_call (RowReadCall *rows, LbErrorCode error)
{
  rows->done (error, rows->rows, error == LB_OK ? rows->n_rows : 0, rows->user);
  free_row_read_call (rows);
}

static void
add_row_from_json (RowReadCall *rows, struct json_object *row)
{
  rows->rows = lb_realloc (rows->rows, (rows->n_rows + 1) * sizeof (LpRow));
  rows->rows[rows->n_rows++] = (LpRow){ .key = lb_strdup (lb_json_text (row, "key", "")),
                                        .value = lb_strdup (lb_json_text (row, "value", "")),
                                        .version = get_integer_member (row, "version") };
}

static void
on_single_row_answer (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  RowReadCall *rows = user;
  struct json_object *reply
      = error == LB_OK && status == 200 ? parse_json_object (body, length) : NULL;

  if (reply)
    add_row_from_json (rows, reply);
  else if (error == LB_OK)
    error = status == 404 ? LB_ERROR_NOT_FOUND : LB_ERROR_STORE_AWAY;
  finish_row_read_call (rows, error);
  json_object_put (reply);
}

static void
http_get_row (LpPlatform *platform, const char *key, LpRowsDone done, void *user)
{
  RowReadCall *rows = LB_NEW (RowReadCall);
  char *path = build_path_with_escaped_value ("/table/row?key=", key);

  *rows = (RowReadCall){ .platform = platform, .done = done, .user = user };
  start_get_request (platform, path, on_single_row_answer, free_row_read_call, rows);
  free (path);
}

static void request_next_scan_page (RowReadCall *rows);

static void
on_scan_page (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  RowReadCall *rows = user;
  struct json_object *reply
      = error == LB_OK && status == 200 ? parse_json_object (body, length) : NULL;
  size_t n = 0;

  if (!reply)
    {
      finish_row_read_call (rows, error != LB_OK ? error : LB_ERROR_STORE_AWAY);
      return;
    }
  struct json_object *page = get_array_member (reply, "rows", &n);
  for (size_t i = 0; i < n; i++)
    add_row_from_json (rows, json_object_array_get_idx (page, i));
  json_object_put (reply);
  if (n < ROWS_PER_SCAN_PAGE)
    finish_row_read_call (rows, LB_OK);
  else
    request_next_scan_page (rows);
}

static void
request_next_scan_page (RowReadCall *rows)
{
  const char *last = rows->n_rows > 0 ? rows->rows[rows->n_rows - 1].key : "";
  char *after = evhttp_uriencode (last, -1, 0);
  char *prefix = evhttp_uriencode (rows->prefix, -1, 0);
  char *path
      = lb_asprintf ("/table/scan?prefix=%s&after=%s&limit=%d", prefix, after, ROWS_PER_SCAN_PAGE);

  start_get_request (rows->platform, path, on_scan_page, free_row_read_call, rows);
  free (after);
  free (prefix);
  free (path);
}

static void
http_scan_rows (LpPlatform *platform, const char *prefix, LpRowsDone done, void *user)
{
  RowReadCall *rows = LB_NEW (RowReadCall);

  *rows = (RowReadCall){
    .platform = platform, .prefix = lb_strdup (prefix), .done = done, .user = user
  };
  request_next_scan_page (rows);
}

/* --- calls that write or read an object --- */

typedef struct
{
  LpObjectDone done;
  void *user;
} ObjectCall;

static void
on_object_answer (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  ObjectCall *call = user;

  if (error == LB_OK && status != 200)
    error = status == 404 ? LB_ERROR_NOT_FOUND : LB_ERROR_BAD_REQUEST;
  call->done (error, body, length, call->user);
  free (call);
}

static void
start_object_call (LpPlatform *platform, const LpClientCall *request, LpObjectDone done, void *user)
{
  ObjectCall *call = LB_NEW (ObjectCall);

  *call = (ObjectCall){ .done = done, .user = user };
  lp_client_start_call (get_http_client (platform), request, on_object_answer, call);
}

/* The request needs no token, because putting the same bytes again has no effect. */
static void
http_put_object (LpPlatform *platform,
                 const char *key,
                 const char *bytes,
                 size_t length,
                 LpObjectDone done,
                 void *user)
{
  char *path = build_path_with_escaped_value ("/objects/", key);
  const LpClientCall call = { .method = "PUT",
                              .path = path,
                              .body = bytes,
                              .body_length = length,
                              .priority = LP_PRIORITY_LEDGER,
                              .is_write = true,
                              .free_user = free };

  start_object_call (platform, &call, done, user);
  free (path);
}

static void
http_get_object (LpPlatform *platform, const char *key, LpObjectDone done, void *user)
{
  char *path = build_path_with_escaped_value ("/objects/", key);
  const LpClientCall call
      = { .method = "GET", .path = path, .priority = LP_PRIORITY_LEDGER, .free_user = free };

  start_object_call (platform, &call, done, user);
  free (path);
}

/* --- calls that list the instances --- */

typedef struct
{
  LpInstancesDone done;
  void *user;
} InstancesCall;

static LpInstance *
parse_instance_list (struct json_object *reply, size_t *n)
{
  struct json_object *array = get_array_member (reply, "instances", n);
  LpInstance *instances = LB_NEW_ARRAY (LpInstance, *n);

  for (size_t i = 0; i < *n; i++)
    {
      struct json_object *item = json_object_array_get_idx (array, i);
      instances[i]
          = (LpInstance){ .name = lb_json_text (item, "name", ""),
                          .caller_address = lb_json_text (item, "caller_address", ""),
                          .peer_address = lb_json_text (item, "peer_address", ""),
                          .data_centre = lb_json_text (item, "data_centre", ""),
                          .leaving = strcmp (lb_json_text (item, "state", ""), "leaving") == 0 };
    }
  return instances;
}

static const char **
parse_leaving_endpoints (struct json_object *reply, size_t *n_leaving)
{
  size_t n;
  struct json_object *array = get_array_member (reply, "endpoints", &n);
  const char **names = LB_NEW_ARRAY (const char *, n);

  *n_leaving = 0;
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *item = json_object_array_get_idx (array, i);
      if (strcmp (lb_json_text (item, "state", ""), "leaving") == 0)
        names[(*n_leaving)++] = lb_json_text (item, "name", "");
    }
  return names;
}

static void
on_instance_list_answer (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  InstancesCall *call = user;
  struct json_object *reply
      = error == LB_OK && status == 200 ? parse_json_object (body, length) : NULL;
  LpInstanceList list = { 0 };
  LpInstance *instances = NULL;
  const char **leaving = NULL;

  if (error == LB_OK && !reply)
    error = LB_ERROR_STORE_AWAY;
  if (reply)
    {
      instances = parse_instance_list (reply, &list.n_instances);
      leaving = parse_leaving_endpoints (reply, &list.n_leaving_endpoints);
    }
  list.instances = instances;
  list.leaving_endpoints = leaving;
  call->done (error, &list, call->user);
  free (instances);
  free (leaving);
  json_object_put (reply);
  free (call);
}

static void
http_list_instances (LpPlatform *platform, LpInstancesDone done, void *user)
{
  InstancesCall *call = LB_NEW (InstancesCall);

  *call = (InstancesCall){ .done = done, .user = user };
  start_get_request (platform, "/instances", on_instance_list_answer, free, call);
}

/* --- calls that read a weight version --- */

typedef struct
{
  LpWeightsDone done;
  void *user;
} WeightsCall;

static void
on_weight_version_answer (
    LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  WeightsCall *call = user;
  struct json_object *reply
      = error == LB_OK && status == 200 ? parse_json_object (body, length) : NULL;

  if (error == LB_OK && !reply)
    error = status == 404 ? LB_ERROR_NOT_FOUND : LB_ERROR_STORE_AWAY;
  call->done (error, reply ? get_integer_member (reply, "version") : 0, call->user);
  json_object_put (reply);
  free (call);
}

static void
http_get_weight_version (LpPlatform *platform, const char *pool, LpWeightsDone done, void *user)
{
  WeightsCall *call = LB_NEW (WeightsCall);
  char *path = build_path_with_escaped_value ("/weights?pool=", pool);

  *call = (WeightsCall){ .done = done, .user = user };
  start_get_request (platform, path, on_weight_version_answer, free, call);
  free (path);
}

static void
http_platform_free (LpPlatform *platform)
{
  lp_client_free (get_http_client (platform));
  free (platform);
}

static const LpPlatformClass http_class = {
  .name = "http",
  .free = http_platform_free,
  .transact = http_transact,
  .get = http_get_row,
  .scan = http_scan_rows,
  .put_object = http_put_object,
  .get_object = http_get_object,
  .list_instances = http_list_instances,
  .get_weights = http_get_weight_version,
};

/* Creates a platform over HTTP. Freeing it drops pending calls without invoking their callbacks. */
LpPlatform *
lp_http_new (struct event_base *base, const LpHttpSettings *settings)
{
  LpHttp *http = LB_NEW (LpHttp);

  http->platform.klass = &http_class;
  http->client = lp_client_new (base, settings);
  return &http->platform;
}
