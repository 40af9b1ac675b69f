#include "ln-config-task.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-json.h"
#include "lb-log.h"
#include "lb-settings.h"
#include "lc-change.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WAITING 64
#define MAJORITY_WAIT LB_SEC
#define MAX_TRIES 5

typedef enum
{
  CHANGE_WAITING, /* behind another one */
  CHANGE_ASKING,  /* until a majority of the instances has answered */
  CHANGE_READING, /* the head row */
  CHANGE_COMMITTING
} ChangeState;

/* One operator's change on its way to be accepted. */
typedef struct
{
  LbLink link;
  LnConfigTask *task;
  LnExchange *exchange; /* NULL: the operator went away */
  ChangeState state;
  struct json_object *body;
  bool any_revision; /* If-Match: * */
  int64_t seen;      /* revision of If-Match */
  bool dry_run;
  char token[80];
  char who[LB_NAME_MAX * 2];
  LbTime asked_at;
  int tries;
  int64_t head_version;
  LcResourceSet *next;
} LnChange;

static LbMetric metric_accepted = LB_COUNTER_INIT ("lentilspindle_config_changes_total",
                                                   "outcome=\"accepted\"",
                                                   "Changes by operators");
static LbMetric metric_not_accepted = LB_COUNTER_INIT ("lentilspindle_config_changes_total",
                                                       "outcome=\"not_accepted\"",
                                                       "Changes by operators");

static void start_first (LnConfigTask *task);

static void
change_free (LnChange *change)
{
  json_object_put (change->body);
  lc_resource_set_free (change->next);
  free (change);
}

static void
change_remove (LnChange *change)
{
  LnConfigTask *task = change->task;

  lb_list_remove (&task->changes, &change->link);
  change_free (change);
  start_first (task);
}

static void
change_fail (LnChange *change, const LbError *error, LbTime retry_after)
{
  lb_metric_add (&metric_not_accepted, 1);
  lb_metric_count_error (error->code);
  lb_log (LB_LOG_INFO, "config_change_refused", LB_TEXT ("who", change->who),
          LB_TEXT ("error", lb_error_name (error->code)), LB_TEXT ("where", error->where),
          LB_TEXT ("detail", error->detail));
  if (change->exchange)
    {
      ln_config_set_etag (change->exchange, lc_config_revision (change->task->config));
      ln_exchange_reply_error (change->exchange, error, retry_after);
    }
  change_remove (change);
}

static void
fail_with (LnChange *change, LbErrorCode code, const char *detail, LbTime retry_after)
{
  LbError error;
  char where[64];

  snprintf (where, sizeof where, "revision %lld",
            (long long)lc_config_revision (change->task->config));
  lb_error_set (&error, code, where, "%s", detail);
  change_fail (change, &error, retry_after);
}

static void
change_accepted (LnChange *change, int64_t revision, bool dry_run)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "revision", json_object_new_int64 (revision));
  json_object_object_add (object, "accepted", json_object_new_boolean (!dry_run));
  json_object_object_add (object, "token", json_object_new_string (change->token));
  json_object_object_add (object, "in_force",
                          ln_config_activation_to_json (change->task, revision));
  if (change->exchange)
    {
      ln_config_set_etag (change->exchange, revision);
      ln_exchange_reply_json (change->exchange, 200, object);
    }
  else
    json_object_put (object);
  change_remove (change);
}

static char *
history_text (const LnChange *change)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "revision", json_object_new_int64 (change->next->revision));
  json_object_object_add (object, "at_ms", json_object_new_int64 (lb_clock_wall_ms ()));
  json_object_object_add (object, "who", json_object_new_string (change->who));
  json_object_object_add (object, "instance",
                          json_object_new_string (change->task->context->instance));
  json_object_object_add (object, "token", json_object_new_string (change->token));
  json_object_object_add (object, "change", json_object_get (change->body));
  return lb_json_take_text (object, JSON_C_TO_STRING_PLAIN);
}

static void change_read (LnChange *change);
static void settle (LnChange *change);

static void
on_committed (LbErrorCode error, LbTime asked_at, void *user)
{
  LnChange *change = user;
  LnConfigTask *task = change->task;
  LbList actions;

  if (error != LB_OK && error != LB_ERROR_STORE_UNKNOWN)
    settle (change);
  if (error == LB_ERROR_CONFLICT)
    {
      /* Another instance was first; the next read says with what. */
      change_read (change);
      return;
    }
  if (error != LB_OK)
    {
      fail_with (change, error,
                 error == LB_ERROR_STORE_UNKNOWN
                     ? "the change may be accepted: look for its token in the history"
                     : "nothing was changed",
                 LB_SEC);
      return;
    }
  int64_t revision = change->next->revision;
  lb_metric_add (&metric_accepted, 1);
  lb_log (LB_LOG_INFO, "config_accepted", LB_INT ("revision", revision),
          LB_TEXT ("who", change->who), LB_TEXT ("token", change->token));
  lb_list_init (&actions);
  lc_config_change_committed (task->config, change->next, change->body, asked_at,
                              lb_clock_monotonic (), &actions);
  change->next = NULL;
  ln_config_execute_actions (task, &actions);
  change_accepted (change, revision, false);
}

static void
change_ask (LnChange *change)
{
  LbList actions;

  lb_list_init (&actions);
  change->state = CHANGE_ASKING;
  change->asked_at = lb_clock_monotonic ();
  lc_config_announce_change (change->task->config, change->asked_at, &actions);
  ln_config_execute_actions (change->task, &actions);
  ln_config_change_tick (change->task, change->asked_at);
}

static void
change_check (LnChange *change, int64_t head_version)
{
  LbError error;
  const LcResourceSet *set = lc_config_set (change->task->config);

  lc_resource_set_free (change->next);
  change->next = lc_change_apply (set, change->body, "change", &error);
  change->head_version = head_version;
  if (!change->next)
    change_fail (change, &error, 0);
  else if (change->dry_run)
    change_accepted (change, change->next->revision, true);
  else
    change_ask (change);
}

static void
change_commit (LnChange *change)
{
  char *history = history_text (change);

  change->state = CHANGE_COMMITTING;
  ln_config_store_commit (change->task->store, change->next, change->head_version, change->token,
                          history, on_committed, change);
  free (history);
}

/* Tells the others that the announced change did not come to be. */
static void
settle (LnChange *change)
{
  LbList actions;

  lb_list_init (&actions);
  lc_config_change_abandoned (change->task->config, lb_clock_monotonic (), &actions);
  ln_config_execute_actions (change->task, &actions);
}

/* The operator repeats a change whose reply was lost: the row after the revision it saw carries
 * its token, so it is told again what it was to be told the first time. */
static void
on_history (LbErrorCode error, struct json_object *rows, void *user)
{
  LnChange *change = user;
  struct json_object *row = error == LB_OK && json_object_array_length (rows) > 0
                                ? json_object_array_get_idx (rows, 0)
                                : NULL;
  const char *token = lb_json_text (row, "token", NULL);
  bool own = token && strcmp (token, change->token) == 0;

  json_object_put (rows);
  if (own)
    change_accepted (change, change->seen + 1, false);
  else
    fail_with (change, LB_ERROR_CONFLICT,
               "the configuration has changed since the revision in If-Match", 0);
}

static void
on_head_read (const LnConfigRead *read, void *user)
{
  LnChange *change = user;
  LnConfigTask *task = change->task;
  LbList actions;

  if (read->error != LB_OK)
    {
      fail_with (change, read->error, "no change is accepted while the platform's table is away",
                 LB_SEC);
      return;
    }
  lb_list_init (&actions);
  lc_config_store_read_completed (task->config, read->revision, read->set, read->asked_at,
                                  lb_clock_monotonic (), &actions);
  ln_config_execute_actions (task, &actions);

  int64_t revision = lc_config_revision (task->config);
  if (read->revision < revision || change->tries > MAX_TRIES)
    /* A stale read, or many others at the same time. */
    fail_with (change, LB_ERROR_STORE_BUSY, "the head row is behind or in dispute", LB_SEC);
  else if (change->any_revision || change->seen == revision)
    change_check (change, read->head_version);
  else if (change->seen < revision)
    ln_config_store_history (task->store, change->seen + 1, 1, on_history, change);
  else
    fail_with (change, LB_ERROR_CONFLICT, "If-Match names a revision that was never accepted", 0);
}

static void
change_read (LnChange *change)
{
  change->state = CHANGE_READING;
  change->tries++;
  ln_config_store_read (change->task->store, lc_config_revision (change->task->config),
                        on_head_read, change);
}

static void
start_first (LnConfigTask *task)
{
  LnChange *change = LB_LIST_FIRST (&task->changes, LnChange, link);

  if (change && change->state == CHANGE_WAITING)
    change_read (change);
}

static bool
read_if_match (LnChange *change, LbError *error)
{
  char *end = NULL;
  const char *text = ln_exchange_header (change->exchange, "if-match");

  if (!text && lc_config_revision (change->task->config) > 0 && !change->dry_run)
    return lb_error_set (error, LB_ERROR_MISSING_KEY, "If-Match",
                         "expected the revision that was seen, or * for any");
  if (!text || strcmp (text, "*") == 0)
    {
      change->any_revision = text != NULL || change->dry_run;
      return true;
    }
  if (*text == '"')
    text++;
  change->seen = strtoll (text, &end, 10);
  if (end == text || (*end != '\0' && strcmp (end, "\"") != 0) || change->seen < 0)
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "If-Match", "expected \"REVISION\" or *");
  return true;
}

static void
read_who (LnChange *change)
{
  const char *key = ln_exchange_header (change->exchange, "idempotency-key");
  const char *operator_name = ln_exchange_header (change->exchange, "x-operator");

  if (key)
    LB_COPY (change->token, key);
  else
    snprintf (change->token, sizeof change->token, "%s-%llu", change->task->context->incarnation,
              (unsigned long long)ln_exchange_id (change->exchange));
  snprintf (change->who, sizeof change->who, "%.60s@%.60s", operator_name ? operator_name : "",
            ln_exchange_caller_ip (change->exchange));
}

static bool
read_change (LnChange *change, LbError *error)
{
  size_t length;
  const char *text = ln_exchange_body (change->exchange, &length);
  const char *dry_run = ln_exchange_query (change->exchange, "dry_run");

  change->dry_run = dry_run && strcmp (dry_run, "0") != 0;
  change->body = lb_settings_parse (text, length, "body", error);
  if (!change->body || !read_if_match (change, error))
    return false;
  if (change->task->changes.length > MAX_WAITING)
    return lb_error_set (error, LB_ERROR_OVERLOADED, "", "%d changes wait", MAX_WAITING);
  if (change->task->draining)
    return lb_error_set (error, LB_ERROR_DRAINING, "", "this instance is leaving");
  return true;
}

/* Takes over the exchange; changes of this instance go one after the other. */
void
ln_config_change_submit (LnConfigTask *task, LnExchange *exchange)
{
  LbError error = { .code = LB_OK };
  LnChange *change = LB_NEW (LnChange);

  change->task = task;
  change->exchange = exchange;
  lb_list_append (&task->changes, &change->link);
  read_who (change);
  if (!read_change (change, &error))
    change_fail (change, &error, error.code == LB_ERROR_OVERLOADED ? LB_SEC : 0);
  else
    start_first (task);
}

/* The operator went away. What is on its way to the store is seen through. */
bool
ln_config_change_caller_disconnected (LnConfigTask *task, LnExchange *exchange)
{
  LB_LIST_FOREACH (&task->changes, LnChange, link, change)
  {
    if (change->exchange != exchange)
      continue;
    ln_exchange_end (exchange);
    change->exchange = NULL;
    if (change->state == CHANGE_WAITING)
      change_remove (change);
    return true;
  }
  return false;
}

/* Guards against a change that only a cut-off part would see: the operator would be told accepted
 * while most instances go on with the revision before. It is committed only after a majority of
 * the known instances has answered just now; see lc_config_has_majority. */
void
ln_config_change_tick (LnConfigTask *task, LbTime now)
{
  LnChange *change = LB_LIST_FIRST (&task->changes, LnChange, link);

  if (!change || change->state != CHANGE_ASKING)
    return;
  if (lc_config_has_majority (task->config, change->asked_at))
    change_commit (change);
  else if (now - change->asked_at > MAJORITY_WAIT)
    {
      settle (change);
      fail_with (change, LB_ERROR_NOT_READY,
                 "a change is accepted by an instance that reaches a majority of the others",
                 LB_SEC);
    }
}

void
ln_config_change_clear (LnConfigTask *task)
{
  LbLink *link;

  while ((link = lb_list_pop (&task->changes)))
    change_free (LB_CONTAINER (link, LnChange, link));
}
