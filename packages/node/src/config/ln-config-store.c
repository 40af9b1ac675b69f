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

#define HEAD_KEY "config/head"
#define KEY_MAX 64
#define KEPT_SETS 8
#define MAX_SET_READS 4
#define HISTORY_BLOCK 100 /* rows that share all but the last two digits of their key */
#define COMMIT_DEADLINE (5 * LB_SEC)
#define FIRST_RETRY (50 * LB_MSEC)
#define MAX_RETRY LB_SEC

struct LnConfigStore
{
  struct event_base *base;
  LpPlatform *platform;
  LbList reads;
  LbList commits;
  LbList histories;
};

typedef struct
{
  LbLink link;
  LnConfigStore *store;
  int64_t known;
  int tries;
  LnConfigRead result;
  LnConfigReadDone done;
  void *user;
} Read;

typedef struct
{
  LbLink link;
  LnConfigStore *store;
  int64_t revision;
  int64_t head_version;
  char *token;
  char *head;
  char *set;
  char *history;
  struct event *retry;
  LbTime started_at;
  LbTime delay;
  bool may_be_applied; /* some attempt's outcome is unknown */
  bool to_read_back;   /* what the retry is to do: read back, not write again */
  LbErrorCode last;
  LnConfigCommitDone done;
  void *user;
} Commit;

typedef struct
{
  LbLink link;
  LnConfigStore *store;
  int64_t block; /* first revision of the block that is read */
  size_t limit;
  struct json_object *rows;
  LnConfigHistoryDone done;
  void *user;
} History;

static void transact (Commit *commit);

static void
commit_free (Commit *commit)
{
  event_free (commit->retry);
  free (commit->token);
  free (commit->head);
  free (commit->set);
  free (commit->history);
  free (commit);
}

static void
history_free (History *history)
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
    free (LB_CONTAINER (link, Read, link));
  while ((link = lb_list_pop (&store->commits)))
    commit_free (LB_CONTAINER (link, Commit, link));
  while ((link = lb_list_pop (&store->histories)))
    history_free (LB_CONTAINER (link, History, link));
  free (store);
}

static void
get (LnConfigStore *store, const char *key, LpRowsDone done, void *user)
{
  store->platform->klass->get (store->platform, key, done, user);
}

static void
read_finish (Read *read, LbErrorCode error)
{
  read->result.error = error;
  lb_list_remove (&read->store->reads, &read->link);
  read->done (&read->result, read->user);
  free (read);
}

static bool
revision_of_head (const char *text, int64_t *revision)
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

static void read_head (Read *read);

static void
on_set_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Read *read = user;
  LbError problem = { .code = LB_OK };

  /* The set was replaced between the two reads and its row is pruned: begin again. */
  if (error == LB_ERROR_NOT_FOUND && read->tries < MAX_SET_READS)
    {
      read_head (read);
      return;
    }
  if (error == LB_OK && n_rows == 1)
    {
      struct json_object *object = json_tokener_parse (rows[0].value);
      read->result.set = lc_resource_set_from_json (object, rows[0].key, &problem);
      json_object_put (object);
      if (!read->result.set)
        {
          lb_log_error (LB_LOG_ERROR, "config_set_unreadable", &problem);
          error = LB_ERROR_INTERNAL;
        }
    }
  read_finish (read, error);
}

static void
on_head_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Read *read = user;
  char key[KEY_MAX];

  if (error == LB_ERROR_NOT_FOUND)
    {
      read->result.revision = 0;
      read->result.head_version = 0;
      read_finish (read, LB_OK);
      return;
    }
  if (error != LB_OK || n_rows != 1 || !revision_of_head (rows[0].value, &read->result.revision))
    {
      read_finish (read, error == LB_OK ? LB_ERROR_INTERNAL : error);
      return;
    }
  read->result.head_version = rows[0].version;
  if (read->result.revision <= read->known)
    {
      read_finish (read, LB_OK);
      return;
    }
  snprintf (key, sizeof key, "config/set/%020lld", (long long)read->result.revision);
  get (read->store, key, on_set_read, read);
}

static void
read_head (Read *read)
{
  read->tries++;
  read->result.asked_at = lb_clock_monotonic ();
  get (read->store, HEAD_KEY, on_head_read, read);
}

void
ln_config_store_read (LnConfigStore *store, int64_t known, LnConfigReadDone done, void *user)
{
  Read *read = LB_NEW (Read);

  read->store = store;
  read->known = known;
  read->done = done;
  read->user = user;
  lb_list_append (&store->reads, &read->link);
  read_head (read);
}

static void
commit_finish (Commit *commit, LbErrorCode error)
{
  lb_list_remove (&commit->store->commits, &commit->link);
  commit->done (error, commit->started_at, commit->user);
  commit_free (commit);
}

static bool
is_own_row (const Commit *commit, const char *text)
{
  struct json_object *object = json_tokener_parse (text);
  const char *token = lb_json_text (object, "token", NULL);
  bool own = token && strcmp (token, commit->token) == 0;

  json_object_put (object);
  return own;
}

static void
retry_later (Commit *commit)
{
  const struct timeval delay = lb_time_to_timeval (commit->delay);

  if (lb_clock_monotonic () - commit->started_at >= COMMIT_DEADLINE)
    {
      commit_finish (commit, commit->may_be_applied ? LB_ERROR_STORE_UNKNOWN : commit->last);
      return;
    }
  commit->delay = commit->delay * 2 < MAX_RETRY ? commit->delay * 2 : MAX_RETRY;
  event_add (commit->retry, &delay);
}

/* Guards against a reply that is lost after the write took effect: the operator would be told that
 * the change failed, or that another operator was first, while it is in force. The history row of
 * the revision names the transaction that wrote it, so the writer is known; and while nobody
 * has, the same transaction may be sent again, since its token lets it take effect once. */
static void
on_read_back (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Commit *commit = user;

  if (error == LB_OK && n_rows == 1)
    commit_finish (commit, is_own_row (commit, rows[0].value) ? LB_OK : LB_ERROR_CONFLICT);
  else if (error == LB_ERROR_NOT_FOUND && commit->last == LB_ERROR_CONDITION_FAILED)
    commit_finish (commit, LB_ERROR_CONFLICT);
  else
    {
      commit->to_read_back = error != LB_ERROR_NOT_FOUND;
      retry_later (commit);
    }
}

static void
read_back (Commit *commit)
{
  char key[KEY_MAX];

  snprintf (key, sizeof key, "config/history/%020lld", (long long)commit->revision);
  get (commit->store, key, on_read_back, commit);
}

static void
on_retry (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Commit *commit = user;

  if (commit->to_read_back)
    read_back (commit);
  else
    transact (commit);
}

static void
on_transacted (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  Commit *commit = user;

  commit->last = error;
  commit->may_be_applied |= error == LB_ERROR_STORE_UNKNOWN;
  if (error == LB_OK)
    commit_finish (commit, LB_OK);
  else if (error == LB_ERROR_CONDITION_FAILED || error == LB_ERROR_STORE_UNKNOWN)
    read_back (commit);
  else
    retry_later (commit);
}

static void
transact (Commit *commit)
{
  char set_key[KEY_MAX], history_key[KEY_MAX], old_key[KEY_MAX];
  long long revision = commit->revision;

  snprintf (set_key, sizeof set_key, "config/set/%020lld", revision);
  snprintf (history_key, sizeof history_key, "config/history/%020lld", revision);
  snprintf (old_key, sizeof old_key, "config/set/%020lld", revision - KEPT_SETS);
  const LpCondition condition = { .key = HEAD_KEY, .version = commit->head_version };
  const LpPut puts[] = {
    { .key = HEAD_KEY, .value = commit->head },
    { .key = set_key, .value = commit->set },
    { .key = history_key, .value = commit->history },
    { .key = old_key, .value = NULL },
  };
  const LpTransaction transaction = {
    .token = commit->token,
    .conditions = &condition,
    .n_conditions = 1,
    .puts = puts,
    .n_puts = sizeof puts / sizeof puts[0] - (revision <= KEPT_SETS),
  };
  commit->store->platform->klass->transact (commit->store->platform, &transaction,
                                            LP_PRIORITY_CONFIG, on_transacted, commit);
}

void
ln_config_store_commit (LnConfigStore *store,
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
  commit->head = lb_asprintf ("{\"revision\": %lld}", (long long)set->revision);
  commit->set = lb_json_take_text (lc_resource_set_to_json (set), JSON_C_TO_STRING_PLAIN);
  commit->history = lb_strdup (history);
  commit->retry = event_new (store->base, -1, 0, on_retry, commit);
  commit->started_at = lb_clock_monotonic ();
  commit->delay = FIRST_RETRY;
  commit->done = done;
  commit->user = user;
  lb_list_append (&store->commits, &commit->link);
  transact (commit);
}

static void read_block (History *history);

static void
history_finish (History *history, LbErrorCode error)
{
  struct json_object *rows = history->rows;

  history->rows = NULL;
  lb_list_remove (&history->store->histories, &history->link);
  history->done (error, rows, history->user);
  history_free (history);
}

static void
on_block_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  History *history = user;

  if (error != LB_OK && error != LB_ERROR_NOT_FOUND)
    {
      history_finish (history, error);
      return;
    }
  for (size_t i = n_rows; error == LB_OK && i > 0; i--)
    if (json_object_array_length (history->rows) < history->limit)
      json_object_array_add (history->rows, json_tokener_parse (rows[i - 1].value));
  history->block -= HISTORY_BLOCK;
  if (history->block < 0 || json_object_array_length (history->rows) >= history->limit)
    history_finish (history, LB_OK);
  else
    read_block (history);
}

static void
read_block (History *history)
{
  char prefix[KEY_MAX];

  snprintf (prefix, sizeof prefix, "config/history/%018lld",
            (long long)(history->block / HISTORY_BLOCK));
  history->store->platform->klass->scan (history->store->platform, prefix, on_block_read, history);
}

void
ln_config_store_history (
    LnConfigStore *store, int64_t revision, size_t limit, LnConfigHistoryDone done, void *user)
{
  History *history = LB_NEW (History);

  history->store = store;
  history->block = revision - revision % HISTORY_BLOCK;
  history->limit = limit;
  history->rows = json_object_new_array ();
  history->done = done;
  history->user = user;
  lb_list_append (&store->histories, &history->link);
  read_block (history);
}
