#include "ln-config-task.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RESOURCES_PATH "/v1/resources"
#define WATCH_PATH "/v1/resources/watch"
#define MAX_WATCH_REQUEST_DURATION (60 * LB_SEC)
#define OUTDATED_INSTANCES_QUERY_PERIOD (200 * LB_MSEC)
#define DEFAULT_HISTORY_ROWS 20
#define MAX_HISTORY_ROWS 1000

typedef struct
{
  LbLink link;
  LnExchange *exchange;
  int64_t after_revision;   /* the watch ends when the active revision is above this one */
  size_t n_active_at_start; /* number of instances on the active revision when the watch began */
  size_t n_known_at_start;  /* number of known instances when the watch began */
  LbTime deadline;          /* when to reply even if nothing has changed */
  LbTime next_query_at;     /* when to query the instances with an older revision again */
} LnConfigWatch;

/* An operator's request whose reply is sent when a read of the store completes. */
typedef struct
{
  LnConfigTask *task;
  LnExchange *exchange;
} PendingReply;

static LbMetric metric_unauthorized = LB_COUNTER_INIT ("lentilspindle_operator_refused_total",
                                                       NULL,
                                                       "Operator requests without a valid token");

void
ln_config_set_etag (LnExchange *exchange, int64_t revision)
{
  char etag[32];

  snprintf (etag, sizeof etag, "\"%lld\"", (long long)revision);
  ln_exchange_set_reply_header (exchange, "ETag", etag);
}

/* Compares in constant time, so that the duration does not reveal where the first difference is. */
static bool
equals_secret_in_constant_time (const char *given, const char *secret)
{
  size_t length = strlen (secret);
  unsigned difference = strlen (given) != length;

  for (size_t i = 0; i < length && given[i]; i++)
    difference |= (unsigned char)given[i] ^ (unsigned char)secret[i];
  return difference == 0;
}

static bool
has_operator_token (const LnConfigTask *task, const LnExchange *exchange)
{
  static const char scheme[] = "Bearer ";
  const char *token = task->context->settings->http.operator_token;
  const char *given = ln_exchange_header (exchange, "authorization");

  return token[0] && given && strncmp (given, scheme, sizeof scheme - 1) == 0
         && equals_secret_in_constant_time (given + sizeof scheme - 1, token);
}

static void
reply_with_error (LnExchange *exchange, LbErrorCode code, const char *where, const char *detail)
{
  LbError error;

  lb_error_set (&error, code, where, "%s", detail);
  lb_metric_count_error (code);
  ln_exchange_reply_error (exchange, &error, 0);
}

static int64_t
get_query_integer (const LnExchange *exchange, const char *key, int64_t default_value)
{
  char *end = NULL;
  const char *text = ln_exchange_get_query_parameter (exchange, key);
  int64_t value = text ? strtoll (text, &end, 10) : default_value;

  return text && (end == text || *end != '\0' || value < 0) ? default_value : value;
}

/* --- GET /v1/resources --- */

typedef struct
{
  char kind[32]; /* kind of the resources to return; "": all kinds */
  LbName name;   /* name of the resource to return; "": all names */
} ResourceFilter;

/* Parses what follows RESOURCES_PATH: "", "/KIND" or "/KIND/NAME". */
static bool
parse_resource_filter (const char *path, ResourceFilter *filter)
{
  LcResourceKind kind;
  const char *rest = path + strlen (RESOURCES_PATH);

  memset (filter, 0, sizeof *filter);
  while (*rest == '/')
    rest++;
  const char *slash = strchr (rest, '/');
  size_t length = slash ? (size_t)(slash - rest) : strlen (rest);
  if (length >= sizeof filter->kind)
    return false;
  memcpy (filter->kind, rest, length);
  if (slash)
    LB_COPY (filter->name, slash + 1);
  return !filter->kind[0] || lc_resource_kind_from_name (filter->kind, &kind);
}

static bool
matches_resource_filter (struct json_object *resource, const ResourceFilter *filter)
{
  const char *kind = json_object_get_string (json_object_object_get (resource, "kind"));
  const char *name = json_object_get_string (json_object_object_get (resource, "name"));

  return (!filter->kind[0] || strcmp (filter->kind, kind) == 0)
         && (!filter->name[0] || strcmp (filter->name, name) == 0);
}

static struct json_object *
filtered_resources_to_json (const LcResourceSet *set, const ResourceFilter *filter)
{
  struct json_object *object = lc_resource_set_to_json (set);
  struct json_object *all = json_object_object_get (object, "resources");
  struct json_object *list = json_object_new_array ();

  for (size_t i = 0; i < json_object_array_length (all); i++)
    {
      struct json_object *resource = json_object_array_get_idx (all, i);
      if (matches_resource_filter (resource, filter))
        json_object_array_add (list, json_object_get (resource));
    }
  json_object_object_add (object, "resources", list);
  return object;
}

static void
reply_with_active_resources (const LnConfigTask *task, LnExchange *exchange)
{
  char age[32];
  ResourceFilter filter;

  if (!parse_resource_filter (ln_exchange_path (exchange), &filter))
    {
      reply_with_error (exchange, LB_ERROR_UNKNOWN_RESOURCE, ln_exchange_path (exchange),
                        "expected a resource kind: pool, subscription, version_bound or endpoint");
      return;
    }
  struct json_object *object
      = filtered_resources_to_json (lc_config_active_set (task->config), &filter);
  if (filter.name[0]
      && json_object_array_length (json_object_object_get (object, "resources")) == 0)
    {
      json_object_put (object);
      reply_with_error (exchange, LB_ERROR_UNKNOWN_RESOURCE, ln_exchange_path (exchange),
                        "the accepted configuration has no such resource");
      return;
    }
  LbTime confirmed = lc_config_confirmation_age (task->config, lb_clock_monotonic ());
  snprintf (age, sizeof age, "%lld", (long long)(confirmed < 0 ? -1 : confirmed / LB_MSEC));
  ln_exchange_set_reply_header (exchange, "x-confirmation-age-ms", age);
  ln_config_set_etag (exchange, lc_config_active_revision (task->config));
  ln_exchange_reply_json (exchange, 200, object);
}

/* If the store cannot be read, replies with the active set, which may be outdated. The header
 * x-confirmation-age-ms states how long ago the store confirmed the set. */
static void
on_resources_read (const LnConfigRead *read, void *user)
{
  PendingReply *pending = user;
  LnConfigTask *task = pending->task;
  LbTime now = lb_clock_monotonic ();
  LbList actions;

  lb_list_init (&actions);
  if (read->error == LB_OK)
    lc_config_store_read_completed (task->config, read->revision, read->set, read->requested_at,
                                    now, &actions);
  ln_config_execute_actions (task, &actions);
  reply_with_active_resources (task, pending->exchange);
  free (pending);
}

static PendingReply *
pending_reply_new (LnConfigTask *task, LnExchange *exchange)
{
  PendingReply *pending = LB_NEW (PendingReply);

  pending->task = task;
  pending->exchange = exchange;
  return pending;
}

/* --- GET /v1/resources/watch --- */

typedef struct
{
  int64_t revision;
  struct json_object *names; /* names of the instances with an older revision */
} OutdatedInstances;

static void
add_instance_name_if_outdated (
    const char *instance, int64_t revision, bool alive, bool draining, void *user)
{
  (void)alive;
  (void)draining;
  OutdatedInstances *search = user;

  if (revision < search->revision)
    json_object_array_add (search->names, json_object_new_string (instance));
}

/* Returns how many instances have activated the revision or a newer one, how many are known, and
 * the names of those with an older one: {"on": active, "of": known, "behind": [names]} */
struct json_object *
ln_config_activation_to_json (const LnConfigTask *task, int64_t revision)
{
  struct json_object *object = json_object_new_object ();
  OutdatedInstances search = { .revision = revision, .names = json_object_new_array () };
  LcActiveCount count = lc_config_count_instances_at_revision (task->config, revision);

  lc_config_visit_instances (task->config, add_instance_name_if_outdated, &search);
  json_object_object_add (object, "on", json_object_new_int64 ((int64_t)count.active));
  json_object_object_add (object, "of", json_object_new_int64 ((int64_t)count.known));
  json_object_object_add (object, "behind", search.names);
  return object;
}

static void
answer_watch_request (LnConfigTask *task, LnConfigWatch *watch)
{
  int64_t revision = lc_config_active_revision (task->config);
  char key[32];
  struct json_object *object = json_object_new_object ();
  struct json_object *activation = json_object_new_object ();

  snprintf (key, sizeof key, "%lld", (long long)revision);
  json_object_object_add (activation, key, ln_config_activation_to_json (task, revision));
  json_object_object_add (object, "accepted", json_object_new_int64 (revision));
  json_object_object_add (object, "in_force", activation);
  lb_list_remove (&task->watches, &watch->link);
  ln_exchange_reply_json (watch->exchange, 200, object);
  free (watch);
}

static bool
has_activation_changed_since_watch_start (const LnConfigTask *task, const LnConfigWatch *watch)
{
  int64_t revision = lc_config_active_revision (task->config);
  LcActiveCount count = lc_config_count_instances_at_revision (task->config, revision);

  return revision > watch->after_revision || count.active != watch->n_active_at_start
         || count.known != watch->n_known_at_start;
}

static void
start_watch (LnConfigTask *task, LnExchange *exchange, LbTime now)
{
  LnConfigWatch *watch = LB_NEW (LnConfigWatch);
  int64_t wait_ms = get_query_integer (exchange, "wait_ms", 0);
  LcActiveCount count
      = lc_config_count_instances_at_revision (task->config,
                                               lc_config_active_revision (task->config));

  watch->exchange = exchange;
  watch->after_revision = get_query_integer (exchange, "after", 0);
  watch->n_active_at_start = count.active;
  watch->n_known_at_start = count.known;
  watch->deadline = now
                    + (wait_ms * LB_MSEC < MAX_WATCH_REQUEST_DURATION ? wait_ms * LB_MSEC
                                                                      : MAX_WATCH_REQUEST_DURATION);
  lb_list_append (&task->watches, &watch->link);
}

/* Answers watches that have ended. While any watch waits, queries the instances with an older
 * revision, because an instance reports a new revision only to the instance that sent the
 * revision. */
static void
answer_ended_watches (LnConfigTask *task, LbTime now)
{
  LbList actions;
  bool query_outdated = false;

  lb_list_init (&actions);
  LB_LIST_FOREACH (&task->watches, LnConfigWatch, link, watch)
  {
    if (now >= watch->deadline || task->draining
        || has_activation_changed_since_watch_start (task, watch))
      answer_watch_request (task, watch);
    else if (now >= watch->next_query_at)
      {
        watch->next_query_at = now + OUTDATED_INSTANCES_QUERY_PERIOD;
        query_outdated = true;
      }
  }
  if (query_outdated)
    lc_config_query_outdated_peers (task->config, now, &actions);
  ln_config_execute_actions (task, &actions);
}

/* --- GET /v1/history --- */

static void
on_history_rows_read (LbErrorCode error, struct json_object *rows, void *user)
{
  PendingReply *pending = user;

  if (error != LB_OK)
    {
      json_object_put (rows);
      reply_with_error (pending->exchange, error, "/v1/history",
                        "the history could not be read from the platform's table");
    }
  else
    {
      struct json_object *object = json_object_new_object ();
      json_object_object_add (object, "changes", rows);
      ln_exchange_reply_json (pending->exchange, 200, object);
    }
  free (pending);
}

static void
handle_history_request (LnConfigTask *task, LnExchange *exchange)
{
  int64_t limit = get_query_integer (exchange, "limit", DEFAULT_HISTORY_ROWS);

  ln_config_store_read_history (task->store, lc_config_active_revision (task->config),
                                (size_t)(limit < MAX_HISTORY_ROWS ? limit : MAX_HISTORY_ROWS),
                                on_history_rows_read, pending_reply_new (task, exchange));
}

/* --- GET /v1/status --- */

static void
add_instance_state_to_json (
    const char *instance, int64_t revision, bool alive, bool draining, void *user)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "name", json_object_new_string (instance));
  json_object_object_add (object, "revision", json_object_new_int64 (revision));
  json_object_object_add (object, "alive", json_object_new_boolean (alive));
  json_object_object_add (object, "draining", json_object_new_boolean (draining));
  json_object_array_add (user, object);
}

static void
reply_with_activation_status (LnConfigTask *task, LnExchange *exchange)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *instances = json_object_new_array ();
  LbTime age = lc_config_confirmation_age (task->config, lb_clock_monotonic ());

  lc_config_visit_instances (task->config, add_instance_state_to_json, instances);
  json_object_object_add (object, "instance", json_object_new_string (task->context->instance));
  json_object_object_add (object, "revision",
                          json_object_new_int64 (lc_config_active_revision (task->config)));
  json_object_object_add (object, "ready",
                          json_object_new_boolean (lc_config_is_ready_for_new_work (task->config)));
  json_object_object_add (object, "confirmation_age_ms",
                          json_object_new_int64 (age < 0 ? -1 : age / LB_MSEC));
  json_object_object_add (object, "changes_waiting",
                          json_object_new_int64 ((int64_t)task->changes.length));
  json_object_object_add (object, "instances", instances);
  ln_pool_controllers_add_status_to_json (task, object);
  ln_exchange_reply_json (exchange, 200, object);
}

/* --- routing of requests by method and path --- */

static bool
is_path_under (const char *path, const char *prefix)
{
  size_t length = strlen (prefix);

  return strncmp (path, prefix, length) == 0 && (path[length] == '\0' || path[length] == '/');
}

static void
route_operator_request (LnConfigTask *task, LnExchange *exchange)
{
  const char *path = ln_exchange_path (exchange);
  bool is_get = strcmp (ln_exchange_method (exchange), "GET") == 0;
  bool is_post = strcmp (ln_exchange_method (exchange), "POST") == 0;

  if (is_post && strcmp (path, RESOURCES_PATH) == 0)
    ln_config_change_submit (task, exchange);
  else if (is_get && strcmp (path, WATCH_PATH) == 0)
    start_watch (task, exchange, lb_clock_monotonic ());
  else if (is_get && is_path_under (path, RESOURCES_PATH))
    ln_config_store_read_accepted_set (task->store, lc_config_active_revision (task->config),
                                       on_resources_read, pending_reply_new (task, exchange));
  else if (is_get && is_path_under (path, "/v1/history"))
    handle_history_request (task, exchange);
  else if (is_get && is_path_under (path, "/v1/status"))
    reply_with_activation_status (task, exchange);
  else
    reply_with_error (exchange, LB_ERROR_UNKNOWN_PATH, path,
                      "the operators' API has no such path and method");
}

void
ln_config_api_handle_request (LnConfigTask *task, LnExchange *exchange)
{
  ln_exchange_set_owner (exchange, &task->task);
  if (!has_operator_token (task, exchange))
    {
      lb_metric_add (&metric_unauthorized, 1);
      reply_with_error (exchange, LB_ERROR_UNAUTHORIZED, ln_exchange_path (exchange),
                        "expected the header authorization: Bearer TOKEN with the operator token");
      return;
    }
  route_operator_request (task, exchange);
}

/* Ends the watch, or drops the change, of an operator that disconnected. Requests that wait only
 * for a read of the store need no cleanup: their reply is discarded when the read completes. */
void
ln_config_api_on_caller_disconnected (LnConfigTask *task, LnExchange *exchange)
{
  if (ln_config_change_on_caller_disconnected (task, exchange))
    return;
  LB_LIST_FOREACH (&task->watches, LnConfigWatch, link, watch)
  {
    if (watch->exchange != exchange)
      continue;
    lb_list_remove (&task->watches, &watch->link);
    ln_exchange_end (exchange);
    free (watch);
  }
}

void
ln_config_api_tick_watches_and_changes (LnConfigTask *task, LbTime now)
{
  answer_ended_watches (task, now);
  ln_config_change_commit_on_majority (task, now);
}

bool
ln_config_api_is_idle (const LnConfigTask *task)
{
  return lb_list_is_empty (&task->changes) && lb_list_is_empty (&task->watches);
}

void
ln_config_api_finish_watches (LnConfigTask *task)
{
  answer_ended_watches (task, lb_clock_monotonic ());
}

void
ln_config_api_free_requests (LnConfigTask *task)
{
  LbLink *link;

  while ((link = lb_list_pop (&task->watches)))
    free (LB_CONTAINER (link, LnConfigWatch, link));
  ln_config_change_free_all (task);
}
