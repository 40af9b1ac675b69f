#include "lp-store.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <string.h>

static LbErrorCode
put (
    LpStore *store, const char *token, const char *key, int64_t seen, const char *value, LpRow *row)
{
  const LpCondition condition = { .key = key, .version = seen };
  const LpPut change = { .key = key, .value = value };
  const LpTransaction transaction = {
    .token = token, .conditions = &condition, .n_conditions = 1, .puts = &change, .n_puts = 1
  };

  return lp_store_transact (store, &transaction, row);
}

Test (store, conditions_guard_each_put)
{
  LpStore *store = lp_store_new ();
  LpRow row;

  cr_assert_eq (put (store, "t1", "k", 0, "a", &row), LB_OK);
  int64_t first = row.version;
  cr_assert_eq (put (store, "t2", "k", 0, "b", &row), LB_ERROR_CONDITION_FAILED);
  cr_assert_str_eq (row.key, "k");
  cr_assert_eq (row.version, first);
  cr_assert_str_eq (lp_store_get (store, "k")->value, "a");
  cr_assert_eq (put (store, "t3", "k", first, "b", &row), LB_OK);
  cr_assert_gt (row.version, first);
  lp_store_free (store);
}

/* An operator's change is applied and the reply is lost, so the client sends it again. Were it run
 * twice, the second run would fail its own condition and the operator would be told of a conflict
 * with his own change. */
Test (store, repeated_token_gets_the_first_answer)
{
  LpStore *store = lp_store_new ();
  LpRow row;

  cr_assert_eq (put (store, "t1", "k", 0, "a", &row), LB_OK);
  int64_t first = row.version;
  cr_assert_eq (put (store, "t2", "k", first, "b", &row), LB_OK);
  cr_assert_eq (put (store, "t1", "k", 0, "a", &row), LB_OK);
  cr_assert_eq (row.version, first);
  cr_assert_str_eq (lp_store_get (store, "k")->value, "b");
  lp_store_free (store);
}

/* A lease row is deleted and made again by another holder while the first is paused. Were versions
 * to start again from one, the first holder's old version would match the other's row. */
Test (store, version_is_not_reused_after_a_delete)
{
  LpStore *store = lp_store_new ();
  LpRow row;

  put (store, "t1", "k", 0, "a", &row);
  int64_t first = row.version;
  cr_assert_eq (put (store, "t2", "k", first, NULL, &row), LB_OK);
  cr_assert_null (lp_store_get (store, "k"));
  cr_assert_eq (put (store, "t3", "k", 0, "c", &row), LB_OK);
  cr_assert_gt (row.version, first);
  lp_store_free (store);
}

Test (store, scans_a_prefix_in_key_order)
{
  static const char *const keys[] = { "b/2", "a/9", "b/10", "c", "b/" };
  static const char *const wanted[] = { "b/", "b/10", "b/2" };
  LpStore *store = lp_store_new ();
  char token[8];
  LpRow row;
  size_t n = 0;

  for (size_t i = 0; i < 5; i++)
    {
      snprintf (token, sizeof token, "%zu", i);
      put (store, token, keys[i], 0, "v", &row);
    }
  for (const LpRow *next = lp_store_next (store, "b/", NULL); next;
       next = lp_store_next (store, "b/", next->key))
    cr_assert_str_eq (next->key, wanted[n++]);
  cr_assert_eq (n, 3);
  cr_assert_str_eq (lp_store_next (store, "b/", "b/1")->key, "b/10");
  lp_store_free (store);
}

typedef struct
{
  int calls;
  LbErrorCode error;
  char value[16];
  int64_t version;
} Seen;

static void
on_rows (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Seen *seen = user;

  seen->calls++;
  seen->error = error;
  if (n_rows > 0)
    strncpy (seen->value, rows[0].value, sizeof seen->value - 1);
}

static void
on_transact (LbErrorCode error, const LpRow *row, void *user)
{
  Seen *seen = user;

  seen->calls++;
  seen->error = error;
  seen->version = row->version;
}

Test (memory, answers_once_and_never_from_inside_the_call)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  const LpPut change = { .key = "k", .value = "v" };
  const LpTransaction transaction = { .token = "t", .puts = &change, .n_puts = 1 };
  Seen written = { 0 };
  Seen read = { 0 };
  Seen absent = { 0 };

  platform->klass->transact (platform, &transaction, LP_PRIORITY_CONFIG, on_transact, &written);
  platform->klass->get (platform, "k", on_rows, &read);
  platform->klass->get (platform, "none", on_rows, &absent);
  cr_assert_eq (written.calls + read.calls + absent.calls, 0);
  event_base_loop (base, EVLOOP_NONBLOCK);
  cr_assert_eq (written.calls, 1);
  cr_assert_gt (written.version, 0);
  cr_assert_eq (read.calls, 1);
  cr_assert_str_eq (read.value, "v");
  cr_assert_eq (absent.error, LB_ERROR_NOT_FOUND);
  platform->klass->free (platform);
  event_base_free (base);
}
