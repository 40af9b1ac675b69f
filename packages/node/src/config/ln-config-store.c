#include "ln-config-store.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"
#include "lb-log.h"
#include "lb-time.h"
#include "lp-platform.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEAD_ROW_KEY "config/head"
#define MAX_ROW_KEY_BYTES 64
#define N_STORED_RESOURCE_SETS 8
#define MAX_HEAD_READ_ATTEMPTS 4
/* Number of history rows that one scan reads: their keys differ only in the last two digits. */
#define HISTORY_ROWS_PER_BLOCK 100
#define COMMIT_TIMEOUT (5 * LB_SEC)
#define FIRST_COMMIT_RETRY_DELAY (50 * LB_MSEC)
#define MAX_COMMIT_RETRY_DELAY LB_SEC

struct LnConfigStore
{
  struct event_base *base;
  LpPlatform *platform;
  LbList reads;     /* list of HeadRead: reads of the accepted set in progress */
  LbList commits;   /* list of Commit: commits in progress */
  LbList histories; /* list of HistoryRead: history reads in progress */
};

typedef struct
{
  LbLink link;
  LnConfigStore *store;
  int64_t known_revision;
  int attempts;
  LnConfigRead result;
  LnConfigReadDone done;
  void *user;
} HeadRead;

typedef struct
{
  LbLink link;
  LnConfigStore *store;
  int64_t revision;
  int64_t head_version;
  char *token;
  char *head_text;
  char *set_text;
  char *history_text;
  struct event *retry_timer;
  LbTime started_at;
  LbTime retry_delay;
  bool may_be_applied;      /* the outcome of a write attempt is unknown */
  bool retry_reads_history; /* the next retry reads the history row instead of writing */
  LbErrorCode last_error;   /* error of the last write attempt */
  LnConfigCommitDone done;
  void *user;
} Commit;

typedef struct
{
  LbLink link;
  LnConfigStore *store;
  int64_t block_start; /* first revision of the block of history rows that is being read */
  size_t limit;        /* maximum number of rows to return */
  struct json_object *rows;
  LnConfigHistoryDone done;
  void *user;
} HistoryRead;

static void send_commit_transaction (Commit *commit);

static void
commit_free (Commit *commit)
{
  event_free (commit->retry_timer);
  free (commit->token);
  free (commit->head_text);
  free (commit->set_text);
  free (commit->history_text);
  free (commit);
}

static void
history_read_free (HistoryRead *history)
{
  json_object_put (history->rows);
  free (history);
}

LnConfigStore *
ln_config_store_new (struct event_base *base, LpPlatform *platform)
{
  LnConfigStore *store = LB_NEW (LnConfigStore);

  store->base = base;
  store->platform = platform;
  lb_list_init (&store->reads);
  lb_list_init (&store->commits);
  lb_list_init (&store->histories);
  return store;
}

void
ln_config_store_free (LnConfigStore *store)
{
  LbLink *link;

  if (!store)
    return;
  while ((link = lb_list_pop (&store->reads)))
    free (LB_CONTAINER (link, HeadRead, link));
  while ((link = lb_list_pop (&store->commits)))
    commit_free (LB_CONTAINER (link, Commit, link));
  while ((link = lb_list_pop (&store->histories)))
    history_read_free (LB_CONTAINER (link, HistoryRead, link));
  free (store);
}

static void
request_config_row (LnConfigStore *store, const char *key, LpRowsDone done, void *user)
{
  store->platform->klass->get (store->platform, key, done, user);
}

static void
finish_head_read (HeadRead *read, LbErrorCode error)
{
  read->result.error = error;
  lb_list_remove (&read->store->reads, &read->link);
  read->done (&read->result, read->user);
  free (read);
}

static bool
parse_head_revision (const char *text, int64_t *revision)
{
  struct json_object *member = NULL;
  struct json_object *object = json_tokener_parse (text);
  bool ok = object && json_object_object_get_ex (object, "revision", &member)
            && json_object_is_type (member, json_type_int);

  if (ok)
    *revision = json_object_get_int64 (member);
  json_object_put (object);
  return ok;
}

static void read_config_head_row (HeadRead *read);

static void
on_resource_set_row_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  HeadRead *read = user;
  LbError parse_error = { .code = LB_OK };

  /* Newer commits removed the row of this revision's set after the head row was read: reads the
   * head row again. */
  if (error == LB_ERROR_NOT_FOUND && read->attempts < MAX_HEAD_READ_ATTEMPTS)
    {
      read_config_head_row (read);
      return;
    }
  if (error == LB_OK && n_rows == 1)
    {
      struct json_object *object = json_tokener_parse (rows[0].value);
      read->result.set = lc_resource_set_from_json (object, rows[0].key, &parse_error);
      json_object_put (object);
      if (!read->result.set)
        {
          lb_log_error (LB_LOG_ERROR, "config_set_unreadable", &parse_error);
          error = LB_ERROR_INTERNAL;
        }
    }
  finish_head_read (read, error);
}

static void
on_config_head_row_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  HeadRead *read = user;
  char key[MAX_ROW_KEY_BYTES];

  if (error == LB_ERROR_NOT_FOUND)
    {
      read->result.revision = 0;
      read->result.head_version = 0;
      finish_head_read (read, LB_OK);
      return;
    }
  if (error != LB_OK || n_rows != 1 || !parse_head_revision (rows[0].value, &read->result.revision))
    {
      finish_head_read (read, error == LB_OK ? LB_ERROR_INTERNAL : error);
      return;
    }
  read->result.head_version = rows[0].version;
  if (read->result.revision <= read->known_revision)
    {
      finish_head_read (read, LB_OK);
      return;
    }
  snprintf (key, sizeof key, "config/set/%020lld", (long long)read->result.revision);
  request_config_row (read->store, key, on_resource_set_row_read, read);
}

static void
read_config_head_row (HeadRead *read)
{
  read->attempts++;
  read->result.requested_at = lb_clock_monotonic ();
  request_config_row (read->store, HEAD_ROW_KEY, on_config_head_row_read, read);
}

void
ln_config_store_read_accepted_set (LnConfigStore *store,
                                   int64_t known_revision,
                                   LnConfigReadDone done,
                                   void *user)
{
  HeadRead *read = LB_NEW (HeadRead);

  read->store = store;
  read->known_revision = known_revision;
  read->done = done;
  read->user = user;
  lb_list_append (&store->reads, &read->link);
  read_config_head_row (read);
}

static void
finish_commit (Commit *commit, LbErrorCode error)
{
  lb_list_remove (&commit->store->commits, &commit->link);
  commit->done (error, commit->started_at, commit->user);
  commit_free (commit);
}

static bool
has_history_row_token_of_commit (const Commit *commit, const char *text)
{
  struct json_object *object = json_tokener_parse (text);
  const char *token = lb_json_text (object, "token", NULL);
  bool is_own = token && strcmp (token, commit->token) == 0;

  json_object_put (object);
  return is_own;
}

static void
schedule_commit_retry_or_time_out (Commit *commit)
{
  const struct timeval timeout = lb_time_to_timeval (commit->retry_delay);

  if (lb_clock_monotonic () - commit->started_at >= COMMIT_TIMEOUT)
    {
      finish_commit (commit, commit->may_be_applied ? LB_ERROR_STORE_UNKNOWN : commit->last_error);
      return;
    }
  commit->retry_delay = commit->retry_delay * 2 < MAX_COMMIT_RETRY_DELAY ? commit->retry_delay * 2
                                                                         : MAX_COMMIT_RETRY_DELAY;
  event_add (commit->retry_timer, &timeout);
}

/* Finds out by the token in the history row which transaction wrote the revision. Without this
 * check, a write whose reply was lost would be reported as failed or as a conflict although it took
 * effect. If the row is absent, the transaction is sent again: the token makes it idempotent. */
static void
on_history_row_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Commit *commit = user;

  if (error == LB_OK && n_rows == 1)
    finish_commit (commit, has_history_row_token_of_commit (commit, rows[0].value)
                               ? LB_OK
                               : LB_ERROR_CONFLICT);
  else if (error == LB_ERROR_NOT_FOUND && commit->last_error == LB_ERROR_CONDITION_FAILED)
    finish_commit (commit, LB_ERROR_CONFLICT);
  else
    {
      commit->retry_reads_history = error != LB_ERROR_NOT_FOUND;
      schedule_commit_retry_or_time_out (commit);
    }
}

static void
read_history_row (Commit *commit)
{
  char key[MAX_ROW_KEY_BYTES];

  snprintf (key, sizeof key, "config/history/%020lld", (long long)commit->revision);
  request_config_row (commit->store, key, on_history_row_read, commit);
}

static void
on_commit_retry_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Commit *commit = user;

  if (commit->retry_reads_history)
    read_history_row (commit);
  else
    send_commit_transaction (commit);
}

static void
on_commit_transaction_done (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  Commit *commit = user;

  commit->last_error = error;
  commit->may_be_applied |= error == LB_ERROR_STORE_UNKNOWN;
  if (error == LB_OK)
    finish_commit (commit, LB_OK);
  else if (error == LB_ERROR_CONDITION_FAILED || error == LB_ERROR_STORE_UNKNOWN)
    read_history_row (commit);
  else
    schedule_commit_retry_or_time_out (commit);
}

static void
send_commit_transaction (Commit *commit)
{
  char set_key[MAX_ROW_KEY_BYTES], history_key[MAX_ROW_KEY_BYTES],
      pruned_set_key[MAX_ROW_KEY_BYTES];
  long long revision = commit->revision;

  snprintf (set_key, sizeof set_key, "config/set/%020lld", revision);
  snprintf (history_key, sizeof history_key, "config/history/%020lld", revision);
  snprintf (pruned_set_key, sizeof pruned_set_key, "config/set/%020lld",
            revision - N_STORED_RESOURCE_SETS);
  const LpCondition condition = { .key = HEAD_ROW_KEY, .version = commit->head_version };
  const LpPut puts[] = {
    { .key = HEAD_ROW_KEY, .value = commit->head_text },
    { .key = set_key, .value = commit->set_text },
    { .key = history_key, .value = commit->history_text },
    { .key = pruned_set_key, .value = NULL },
  };
  const LpTransaction transaction = {
    .token = commit->token,
    .conditions = &condition,
    .n_conditions = 1,
    .puts = puts,
    .n_puts = sizeof puts / sizeof puts[0] - (revision <= N_STORED_RESOURCE_SETS),
  };
  commit->store->platform->klass->transact (commit->store->platform, &transaction,
                                            LP_PRIORITY_CONFIG, on_commit_transaction_done, commit);
}

void
ln_config_store_commit_set (LnConfigStore *store,
                            const LcResourceSet *set,
                            int64_t head_version,
                            const char *token,
                            const char *history,
                            LnConfigCommitDone done,
                            void *user)
{
  Commit *commit = LB_NEW (Commit);

  commit->store = store;
  commit->revision = set->revision;
  commit->head_version = head_version;
  commit->token = lb_strdup (token);
  commit->head_text = lb_asprintf ("{\"revision\": %lld}", (long long)set->revision);
  commit->set_text
      = lb_json_serialize_and_release (lc_resource_set_to_json (set), JSON_C_TO_STRING_PLAIN);
  commit->history_text = lb_strdup (history);
  commit->retry_timer = event_new (store->base, -1, 0, on_commit_retry_timer, commit);
  commit->started_at = lb_clock_monotonic ();
  commit->retry_delay = FIRST_COMMIT_RETRY_DELAY;
  commit->done = done;
  commit->user = user;
  lb_list_append (&store->commits, &commit->link);
  send_commit_transaction (commit);
}

static void read_history_block (HistoryRead *history);

static void
finish_history_read (HistoryRead *history, LbErrorCode error)
{
  struct json_object *rows = history->rows;

  history->rows = NULL;
  lb_list_remove (&history->store->histories, &history->link);
  history->done (error, rows, history->user);
  history_read_free (history);
}

static void
on_history_block_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  HistoryRead *history = user;

  if (error != LB_OK && error != LB_ERROR_NOT_FOUND)
    {
      finish_history_read (history, error);
      return;
    }
  for (size_t i = n_rows; error == LB_OK && i > 0; i--)
    if (json_object_array_length (history->rows) < history->limit)
      json_object_array_add (history->rows, json_tokener_parse (rows[i - 1].value));
  history->block_start -= HISTORY_ROWS_PER_BLOCK;
  if (history->block_start < 0 || json_object_array_length (history->rows) >= history->limit)
    finish_history_read (history, LB_OK);
  else
    read_history_block (history);
}

static void
read_history_block (HistoryRead *history)
{
  char prefix[MAX_ROW_KEY_BYTES];

  snprintf (prefix, sizeof prefix, "config/history/%018lld",
            (long long)(history->block_start / HISTORY_ROWS_PER_BLOCK));
  history->store->platform->klass->scan (history->store->platform, prefix, on_history_block_read,
                                         history);
}

void
ln_config_store_read_history (
    LnConfigStore *store, int64_t revision, size_t limit, LnConfigHistoryDone done, void *user)
{
  HistoryRead *history = LB_NEW (HistoryRead);

  history->store = store;
  history->block_start = revision - revision % HISTORY_ROWS_PER_BLOCK;
  history->limit = limit;
  history->rows = json_object_new_array ();
  history->done = done;
  history->user = user;
  lb_list_append (&store->histories, &history->link);
  read_history_block (history);
}
