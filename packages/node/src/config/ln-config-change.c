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

#define MAX_WAITING_CHANGES 64
#define MAJORITY_TIMEOUT LB_SEC
#define MAX_HEAD_READ_ATTEMPTS 5

typedef enum
{
  CHANGE_WAITING,           /* queued until the changes before it are finished */
  CHANGE_AWAITING_MAJORITY, /* announced; waits for answers of a majority of the instances */
  CHANGE_READING,           /* the head row, which names the accepted revision, is being read */
  CHANGE_COMMITTING         /* the transaction that writes the new revision is in progress */
} ChangeState;

/* Configuration change that an operator submitted. */
typedef struct
{
  LbLink link;
  LnConfigTask *task;
  LnExchange *exchange; /* NULL: the operator disconnected */
  ChangeState state;
  struct json_object *body;  /* JSON body of the request */
  bool accepts_any_revision; /* the request has If-Match: *, or is a dry run without If-Match */
  int64_t expected_revision; /* revision in If-Match; 0: the configuration has no revision yet */
  bool is_dry_run;
  char token[80];                  /* idempotency key of the change */
  char submitter[LB_NAME_MAX * 2]; /* who submitted the change, as NAME@IP */
  LbTime announced_at;
  int read_attempts;
  int64_t head_version;   /* store version of the head row as read; condition of the commit */
  LcResourceSet *new_set; /* the active set with the change applied; NULL: not applied yet */
} LnChange;

static LbMetric metric_accepted = LB_COUNTER_INIT ("lentilspindle_config_changes_total",
                                                   "outcome=\"accepted\"",
                                                   "Changes by operators");
static LbMetric metric_rejected = LB_COUNTER_INIT ("lentilspindle_config_changes_total",
                                                   "outcome=\"not_accepted\"",
                                                   "Changes by operators");

static void start_next_waiting_change (LnConfigTask *task);

static void
change_free (LnChange *change)
{
  json_object_put (change->body);
  lc_resource_set_free (change->new_set);
  free (change);
}

static void
remove_change_and_start_next (LnChange *change)
{
  LnConfigTask *task = change->task;

  lb_list_remove (&task->changes, &change->link);
  change_free (change);
  start_next_waiting_change (task);
}

static void
reject_change (LnChange *change, const LbError *error, LbTime retry_after)
{
  lb_metric_add (&metric_rejected, 1);
  lb_metric_count_error (error->code);
  lb_log (LB_LOG_INFO, "config_change_refused", LB_TEXT ("who", change->submitter),
          LB_TEXT ("error", lb_error_name (error->code)), LB_TEXT ("where", error->where),
          LB_TEXT ("detail", error->detail));
  if (change->exchange)
    {
      ln_config_set_etag (change->exchange, lc_config_active_revision (change->task->config));
      ln_exchange_reply_error (change->exchange, error, retry_after);
    }
  remove_change_and_start_next (change);
}

static void
reject_change_with_code (LnChange *change, LbErrorCode code, const char *detail, LbTime retry_after)
{
  LbError error;
  char where[64];

  snprintf (where, sizeof where, "revision %lld",
            (long long)lc_config_active_revision (change->task->config));
  lb_error_set (&error, code, where, "%s", detail);
  reject_change (change, &error, retry_after);
}

static void
reply_change_accepted (LnChange *change, int64_t revision, bool is_dry_run)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "revision", json_object_new_int64 (revision));
  json_object_object_add (object, "accepted", json_object_new_boolean (!is_dry_run));
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
  remove_change_and_start_next (change);
}

static char *
history_row_to_text (const LnChange *change)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "revision", json_object_new_int64 (change->new_set->revision));
  json_object_object_add (object, "at_ms", json_object_new_int64 (lb_clock_wall_ms ()));
  json_object_object_add (object, "who", json_object_new_string (change->submitter));
  json_object_object_add (object, "instance",
                          json_object_new_string (change->task->context->instance));
  json_object_object_add (object, "token", json_object_new_string (change->token));
  json_object_object_add (object, "change", json_object_get (change->body));
  return lb_json_serialize_and_release (object, JSON_C_TO_STRING_PLAIN);
}

static void read_config_head_row (LnChange *change);
static void announce_abandoned_change_to_instances (LnChange *change);

static void
on_change_commit_finished (LbErrorCode error, LbTime started_at, void *user)
{
  LnChange *change = user;
  LnConfigTask *task = change->task;
  LbList actions;

  if (error != LB_OK && error != LB_ERROR_STORE_UNKNOWN)
    announce_abandoned_change_to_instances (change);
  if (error == LB_ERROR_CONFLICT)
    {
      /* Another instance committed first: reads the new revision and compares it with If-Match. */
      read_config_head_row (change);
      return;
    }
  if (error != LB_OK)
    {
      reject_change_with_code (
          change, error,
          error == LB_ERROR_STORE_UNKNOWN
              ? "the change may have been accepted: look for its token in the history"
              : "the change was not written; the configuration is unchanged",
          LB_SEC);
      return;
    }
  int64_t revision = change->new_set->revision;
  lb_metric_add (&metric_accepted, 1);
  lb_log (LB_LOG_INFO, "config_accepted", LB_INT ("revision", revision),
          LB_TEXT ("who", change->submitter), LB_TEXT ("token", change->token));
  lb_list_init (&actions);
  lc_config_change_committed (task->config, change->new_set, change->body, started_at,
                              lb_clock_monotonic (), &actions);
  change->new_set = NULL;
  ln_config_execute_actions (task, &actions);
  reply_change_accepted (change, revision, false);
}

static void
announce_change_to_instances (LnChange *change)
{
  LbList actions;

  lb_list_init (&actions);
  change->state = CHANGE_AWAITING_MAJORITY;
  change->announced_at = lb_clock_monotonic ();
  lc_config_announce_change (change->task->config, change->announced_at, &actions);
  ln_config_execute_actions (change->task, &actions);
  ln_config_change_commit_on_majority (change->task, change->announced_at);
}

static void
apply_change_to_active_set (LnChange *change, int64_t head_version)
{
  LbError error;
  const LcResourceSet *set = lc_config_active_set (change->task->config);

  lc_resource_set_free (change->new_set);
  change->new_set = lc_change_apply_to_resource_set (set, change->body, "change", &error);
  change->head_version = head_version;
  if (!change->new_set)
    reject_change (change, &error, 0);
  else if (change->is_dry_run)
    reply_change_accepted (change, change->new_set->revision, true);
  else
    announce_change_to_instances (change);
}

static void
commit_new_resource_set (LnChange *change)
{
  char *history = history_row_to_text (change);

  change->state = CHANGE_COMMITTING;
  ln_config_store_commit_set (change->task->store, change->new_set, change->head_version,
                              change->token, history, on_change_commit_finished, change);
  free (history);
}

/* Notifies the other instances that the announced change was not committed. */
static void
announce_abandoned_change_to_instances (LnChange *change)
{
  LbList actions;

  lb_list_init (&actions);
  lc_config_change_abandoned (change->task->config, lb_clock_monotonic (), &actions);
  ln_config_execute_actions (change->task, &actions);
}

/* Handles an outdated revision in If-Match. If the history row of the next revision has this
 * change's token, the change was committed but the operator's first request got no reply, so the
 * retry gets the same reply. Any other change is rejected. */
static void
on_history_of_next_revision_read (LbErrorCode error, struct json_object *rows, void *user)
{
  LnChange *change = user;
  struct json_object *row = error == LB_OK && json_object_array_length (rows) > 0
                                ? json_object_array_get_idx (rows, 0)
                                : NULL;
  const char *token = lb_json_text (row, "token", NULL);
  bool is_committed = token && strcmp (token, change->token) == 0;

  json_object_put (rows);
  if (is_committed)
    reply_change_accepted (change, change->expected_revision + 1, false);
  else
    reject_change_with_code (change, LB_ERROR_CONFLICT,
                             "the configuration has changed since the revision in If-Match", 0);
}

static void
on_config_head_row_read (const LnConfigRead *read, void *user)
{
  LnChange *change = user;
  LnConfigTask *task = change->task;
  LbList actions;

  if (read->error != LB_OK)
    {
      reject_change_with_code (change, read->error,
                               "the head row could not be read from the platform's table", LB_SEC);
      return;
    }
  lb_list_init (&actions);
  lc_config_store_read_completed (task->config, read->revision, read->set, read->requested_at,
                                  lb_clock_monotonic (), &actions);
  ln_config_execute_actions (task, &actions);

  int64_t revision = lc_config_active_revision (task->config);
  if (read->revision < revision || change->read_attempts > MAX_HEAD_READ_ATTEMPTS)
    /* A revision below the active one shows that the store returned an outdated row. After many
     * read attempts, other instances probably kept committing first. */
    reject_change_with_code (
        change, LB_ERROR_STORE_BUSY,
        "the head row as read is stale, or other instances keep committing first", LB_SEC);
  else if (change->accepts_any_revision || change->expected_revision == revision)
    apply_change_to_active_set (change, read->head_version);
  else if (change->expected_revision < revision)
    ln_config_store_read_history (task->store, change->expected_revision + 1, 1,
                                  on_history_of_next_revision_read, change);
  else
    reject_change_with_code (change, LB_ERROR_CONFLICT,
                             "If-Match names a revision that was never accepted", 0);
}

static void
read_config_head_row (LnChange *change)
{
  change->state = CHANGE_READING;
  change->read_attempts++;
  ln_config_store_read_accepted_set (change->task->store,
                                     lc_config_active_revision (change->task->config),
                                     on_config_head_row_read, change);
}

static void
start_next_waiting_change (LnConfigTask *task)
{
  LnChange *change = LB_LIST_FIRST (&task->changes, LnChange, link);

  if (change && change->state == CHANGE_WAITING)
    read_config_head_row (change);
}

static bool
parse_if_match (LnChange *change, LbError *error)
{
  char *end = NULL;
  const char *text = ln_exchange_header (change->exchange, "if-match");

  if (!text && lc_config_active_revision (change->task->config) > 0 && !change->is_dry_run)
    return lb_error_set (error, LB_ERROR_MISSING_KEY, "If-Match",
                         "expected the revision that the change is based on, or * for any");
  if (!text || strcmp (text, "*") == 0)
    {
      change->accepts_any_revision = text != NULL || change->is_dry_run;
      return true;
    }
  if (*text == '"')
    text++;
  change->expected_revision = strtoll (text, &end, 10);
  if (end == text || (*end != '\0' && strcmp (end, "\"") != 0) || change->expected_revision < 0)
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "If-Match", "expected \"REVISION\" or *");
  return true;
}

static void
set_token_and_submitter (LnChange *change)
{
  const char *key = ln_exchange_header (change->exchange, "idempotency-key");
  const char *operator_name = ln_exchange_header (change->exchange, "x-operator");

  if (key)
    LB_COPY (change->token, key);
  else
    snprintf (change->token, sizeof change->token, "%s-%llu", change->task->context->incarnation,
              (unsigned long long)ln_exchange_id (change->exchange));
  snprintf (change->submitter, sizeof change->submitter, "%.60s@%.60s",
            operator_name ? operator_name : "", ln_exchange_caller_ip (change->exchange));
}

static bool
parse_change_request (LnChange *change, LbError *error)
{
  size_t length;
  const char *text = ln_exchange_body (change->exchange, &length);
  const char *dry_run = ln_exchange_get_query_parameter (change->exchange, "dry_run");

  change->is_dry_run = dry_run && strcmp (dry_run, "0") != 0;
  change->body = lb_settings_parse (text, length, "body", error);
  if (!change->body || !parse_if_match (change, error))
    return false;
  if (change->task->changes.length > MAX_WAITING_CHANGES)
    return lb_error_set (error, LB_ERROR_OVERLOADED, "", "%d changes are already waiting",
                         MAX_WAITING_CHANGES);
  if (change->task->draining)
    return lb_error_set (error, LB_ERROR_DRAINING, "", "this instance is shutting down");
  return true;
}

/* Queues the change in the request, and takes ownership of the exchange. Changes are processed one
 * at a time, in order of arrival. */
void
ln_config_change_submit (LnConfigTask *task, LnExchange *exchange)
{
  LbError error = { .code = LB_OK };
  LnChange *change = LB_NEW (LnChange);

  change->task = task;
  change->exchange = exchange;
  lb_list_append (&task->changes, &change->link);
  set_token_and_submitter (change);
  if (!parse_change_request (change, &error))
    reject_change (change, &error, error.code == LB_ERROR_OVERLOADED ? LB_SEC : 0);
  else
    start_next_waiting_change (task);
}

/* Drops the change that the operator submitted in this exchange if it is still queued. A change in
 * progress is completed without a reply. Returns false if the exchange submitted no change. */
bool
ln_config_change_on_caller_disconnected (LnConfigTask *task, LnExchange *exchange)
{
  LB_LIST_FOREACH (&task->changes, LnChange, link, change)
  {
    if (change->exchange != exchange)
      continue;
    ln_exchange_end (exchange);
    change->exchange = NULL;
    if (change->state == CHANGE_WAITING)
      remove_change_and_start_next (change);
    return true;
  }
  return false;
}

/* Commits the announced change only after a majority of the known instances has answered the
 * announcement (lc_config_has_answers_of_majority). An instance in a minority partition would
 * otherwise report a change as accepted while most instances continue with the previous revision.
 */
void
ln_config_change_commit_on_majority (LnConfigTask *task, LbTime now)
{
  LnChange *change = LB_LIST_FIRST (&task->changes, LnChange, link);

  if (!change || change->state != CHANGE_AWAITING_MAJORITY)
    return;
  if (lc_config_has_answers_of_majority (task->config, change->announced_at))
    commit_new_resource_set (change);
  else if (now - change->announced_at > MAJORITY_TIMEOUT)
    {
      announce_abandoned_change_to_instances (change);
      reject_change_with_code (
          change, LB_ERROR_NOT_READY,
          "this instance did not reach a majority of the known instances within 1 s", LB_SEC);
    }
}

void
ln_config_change_free_all (LnConfigTask *task)
{
  LbLink *link;

  while ((link = lb_list_pop (&task->changes)))
    change_free (LB_CONTAINER (link, LnChange, link));
}
