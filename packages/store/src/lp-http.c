#include "lp-platform.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lp-client.h"

#include <event2/http.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define SCAN_PAGE 500

typedef struct
{
  LpPlatform platform;
  LpClient *client;
} LpHttp;

static LpClient *
client_of (LpPlatform *platform)
{
  return ((LpHttp *)platform)->client;
}

/* Not lb_json_int: a platform that writes its versions as 7.0 is understood too. */
static int64_t
int_of (struct json_object *object, const char *key)
{
  struct json_object *value;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_int64 (value) : 0;
}

static struct json_object *
array_of (struct json_object *object, const char *key, size_t *length)
{
  struct json_object *array;

  *length = 0;
  if (!json_object_object_get_ex (object, key, &array)
      || !json_object_is_type (array, json_type_array))
    return NULL;
  *length = json_object_array_length (array);
  return array;
}

/* NULL when the body is not a JSON object. */
static struct json_object *
parse (const char *body, size_t length)
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

/* "/table/row?key=" and the key, escaped. */
static char *
path_with (const char *start, const char *value)
{
  char *escaped = evhttp_uriencode (value, -1, 0);
  char *path = lb_asprintf ("%s%s", start, escaped);

  free (escaped);
  return path;
}

static void
start_read (LpPlatform *platform,
            const char *path,
            LpClientDone done,
            void (*drop) (void *user),
            void *user)
{
  const LpClientCall call
      = { .method = "GET", .path = path, .priority = LP_PRIORITY_CONFIG, .drop = drop };

  lp_client_call (client_of (platform), &call, done, user);
}

/* transactions */

typedef struct
{
  LpPlatform *platform;
  char *key;   /* of the first put */
  char *value; /* its value, when it is to be read back; else NULL */
  LpTransactDone done;
  void *user;
} Transact;

static void
transact_free (void *user)
{
  Transact *transact = user;

  free (transact->key);
  free (transact->value);
  free (transact);
}

static void
transact_end (Transact *transact, LbErrorCode error, const LpRow *row)
{
  transact->done (error, row, transact->user);
  transact_free (transact);
}

static void
on_read_back (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  Transact *transact = user;
  LpRow row = { .key = transact->key };
  struct json_object *reply = error == LB_OK && status == 200 ? parse (body, length) : NULL;
  bool applied = reply && strcmp (lb_json_text (reply, "value", ""), transact->value) == 0;

  if (applied)
    row.version = int_of (reply, "version");
  transact_end (transact, applied ? LB_OK : LB_ERROR_STORE_UNKNOWN, &row);
  json_object_put (reply);
}

static void
transact_unknown (Transact *transact)
{
  const LpRow nothing = { .key = transact->key };

  if (!transact->value)
    {
      transact_end (transact, LB_ERROR_STORE_UNKNOWN, &nothing);
      return;
    }
  char *path = path_with ("/table/row?key=", transact->key);
  start_read (transact->platform, path, on_read_back, transact_free, transact);
  free (path);
}

static int64_t
version_of (struct json_object *reply, const char *key)
{
  struct json_object *versions;

  return json_object_object_get_ex (reply, "versions", &versions) ? int_of (versions, key) : 0;
}

static void
on_transacted (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  Transact *transact = user;
  LpRow row = { .key = transact->key };
  struct json_object *reply = error == LB_OK ? parse (body, length) : NULL;

  if (error != LB_OK && error != LB_ERROR_STORE_UNKNOWN)
    transact_end (transact, error, &row);
  else if (reply && status == 200)
    {
      row.version = version_of (reply, transact->key);
      transact_end (transact, LB_OK, &row);
    }
  else if (reply && status == 409)
    {
      row = (LpRow){ .key = lb_json_text (reply, "failed", ""),
                     .version = int_of (reply, "version") };
      transact_end (transact, LB_ERROR_CONDITION_FAILED, &row);
    }
  else if (error == LB_OK && status >= 400)
    transact_end (transact, LB_ERROR_BAD_REQUEST, &row);
  else
    transact_unknown (transact);
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
add_put (struct json_object *puts, struct json_object *deletes, const LpPut *put)
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
    add_put (puts, deletes, &transaction->puts[i]);
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
                              .drop = transact_free };
  const LpPut *first = transaction->n_puts > 0 ? &transaction->puts[0] : NULL;
  Transact *transact = LB_NEW (Transact);

  transact->platform = platform;
  transact->key = lb_strdup (first ? first->key : "");
  if (transaction->read_back && first && first->value)
    transact->value = lb_strdup (first->value);
  transact->done = done;
  transact->user = user;
  lp_client_call (client_of (platform), &call, on_transacted, transact);
  json_object_put (object);
}

/* rows */

typedef struct
{
  LpPlatform *platform;
  char *prefix; /* NULL: a single row */
  LpRow *rows;  /* keys and values owned */
  size_t n_rows;
  LpRowsDone done;
  void *user;
} Rows;

static void
rows_free (void *user)
{
  Rows *rows = user;

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
rows_end (Rows *rows, LbErrorCode error)
{
  rows->done (error, rows->rows, error == LB_OK ? rows->n_rows : 0, rows->user);
  rows_free (rows);
}

static void
rows_add (Rows *rows, struct json_object *row)
{
  rows->rows = lb_realloc (rows->rows, (rows->n_rows + 1) * sizeof (LpRow));
  rows->rows[rows->n_rows++] = (LpRow){ .key = lb_strdup (lb_json_text (row, "key", "")),
                                        .value = lb_strdup (lb_json_text (row, "value", "")),
                                        .version = int_of (row, "version") };
}

static void
on_row (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  Rows *rows = user;
  struct json_object *reply = error == LB_OK && status == 200 ? parse (body, length) : NULL;

  if (reply)
    rows_add (rows, reply);
  else if (error == LB_OK)
    error = status == 404 ? LB_ERROR_NOT_FOUND : LB_ERROR_STORE_AWAY;
  rows_end (rows, error);
  json_object_put (reply);
}

static void
http_get (LpPlatform *platform, const char *key, LpRowsDone done, void *user)
{
  Rows *rows = LB_NEW (Rows);
  char *path = path_with ("/table/row?key=", key);

  *rows = (Rows){ .platform = platform, .done = done, .user = user };
  start_read (platform, path, on_row, rows_free, rows);
  free (path);
}

static void next_page (Rows *rows);

static void
on_page (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  Rows *rows = user;
  struct json_object *reply = error == LB_OK && status == 200 ? parse (body, length) : NULL;
  size_t n = 0;

  if (!reply)
    {
      rows_end (rows, error != LB_OK ? error : LB_ERROR_STORE_AWAY);
      return;
    }
  struct json_object *page = array_of (reply, "rows", &n);
  for (size_t i = 0; i < n; i++)
    rows_add (rows, json_object_array_get_idx (page, i));
  json_object_put (reply);
  if (n < SCAN_PAGE)
    rows_end (rows, LB_OK);
  else
    next_page (rows);
}

static void
next_page (Rows *rows)
{
  const char *last = rows->n_rows > 0 ? rows->rows[rows->n_rows - 1].key : "";
  char *after = evhttp_uriencode (last, -1, 0);
  char *prefix = evhttp_uriencode (rows->prefix, -1, 0);
  char *path = lb_asprintf ("/table/scan?prefix=%s&after=%s&limit=%d", prefix, after, SCAN_PAGE);

  start_read (rows->platform, path, on_page, rows_free, rows);
  free (after);
  free (prefix);
  free (path);
}

static void
http_scan (LpPlatform *platform, const char *prefix, LpRowsDone done, void *user)
{
  Rows *rows = LB_NEW (Rows);

  *rows = (Rows){ .platform = platform, .prefix = lb_strdup (prefix), .done = done, .user = user };
  next_page (rows);
}

/* objects */

typedef struct
{
  LpObjectDone done;
  void *user;
} ObjectCall;

static void
on_object (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  ObjectCall *object = user;

  if (error == LB_OK && status != 200)
    error = status == 404 ? LB_ERROR_NOT_FOUND : LB_ERROR_BAD_REQUEST;
  object->done (error, body, length, object->user);
  free (object);
}

static void
start_object (LpPlatform *platform, const LpClientCall *call, LpObjectDone done, void *user)
{
  ObjectCall *object = LB_NEW (ObjectCall);

  *object = (ObjectCall){ .done = done, .user = user };
  lp_client_call (client_of (platform), call, on_object, object);
}

/* Putting the same bytes again changes nothing, so it may be repeated without a token. */
static void
http_put_object (LpPlatform *platform,
                 const char *key,
                 const char *bytes,
                 size_t length,
                 LpObjectDone done,
                 void *user)
{
  char *path = path_with ("/objects/", key);
  const LpClientCall call = { .method = "PUT",
                              .path = path,
                              .body = bytes,
                              .body_length = length,
                              .priority = LP_PRIORITY_LEDGER,
                              .is_write = true,
                              .drop = free };

  start_object (platform, &call, done, user);
  free (path);
}

static void
http_get_object (LpPlatform *platform, const char *key, LpObjectDone done, void *user)
{
  char *path = path_with ("/objects/", key);
  const LpClientCall call
      = { .method = "GET", .path = path, .priority = LP_PRIORITY_LEDGER, .drop = free };

  start_object (platform, &call, done, user);
  free (path);
}

/* instances */

typedef struct
{
  LpInstancesDone done;
  void *user;
} InstancesCall;

static LpInstance *
read_instances (struct json_object *reply, size_t *n)
{
  struct json_object *array = array_of (reply, "instances", n);
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
read_leaving_endpoints (struct json_object *reply, size_t *n_leaving)
{
  size_t n;
  struct json_object *array = array_of (reply, "endpoints", &n);
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
on_instances (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  InstancesCall *call = user;
  struct json_object *reply = error == LB_OK && status == 200 ? parse (body, length) : NULL;
  LpInstanceList list = { 0 };
  LpInstance *instances = NULL;
  const char **leaving = NULL;

  if (error == LB_OK && !reply)
    error = LB_ERROR_STORE_AWAY;
  if (reply)
    {
      instances = read_instances (reply, &list.n_instances);
      leaving = read_leaving_endpoints (reply, &list.n_leaving_endpoints);
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
http_instances (LpPlatform *platform, LpInstancesDone done, void *user)
{
  InstancesCall *call = LB_NEW (InstancesCall);

  *call = (InstancesCall){ .done = done, .user = user };
  start_read (platform, "/instances", on_instances, free, call);
}

/* weights */

typedef struct
{
  LpWeightsDone done;
  void *user;
} WeightsCall;

static void
on_weights (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  WeightsCall *call = user;
  struct json_object *reply = error == LB_OK && status == 200 ? parse (body, length) : NULL;

  if (error == LB_OK && !reply)
    error = status == 404 ? LB_ERROR_NOT_FOUND : LB_ERROR_STORE_AWAY;
  call->done (error, reply ? int_of (reply, "version") : 0, call->user);
  json_object_put (reply);
  free (call);
}

static void
http_weights (LpPlatform *platform, const char *pool, LpWeightsDone done, void *user)
{
  WeightsCall *call = LB_NEW (WeightsCall);
  char *path = path_with ("/weights?pool=", pool);

  *call = (WeightsCall){ .done = done, .user = user };
  start_read (platform, path, on_weights, free, call);
  free (path);
}

static void
http_free (LpPlatform *platform)
{
  lp_client_free (client_of (platform));
  free (platform);
}

static const LpPlatformClass http_class = {
  .name = "http",
  .free = http_free,
  .transact = http_transact,
  .get = http_get,
  .scan = http_scan,
  .put_object = http_put_object,
  .get_object = http_get_object,
  .list_instances = http_instances,
  .get_weights = http_weights,
};

/* A platform over HTTP. Calls that are not answered when it is freed are dropped unanswered. */
LpPlatform *
lp_http_new (struct event_base *base, const LpHttpSettings *settings)
{
  LpHttp *http = LB_NEW (LpHttp);

  http->platform.klass = &http_class;
  http->client = lp_client_new (base, settings);
  return &http->platform;
}
