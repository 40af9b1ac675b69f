#include "lp-store.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <string.h>

static LbErrorCode
put_row_if_version_matches (LpStore *store,
                            const char *token,
                            const char *key,
                            int64_t expected_version,
                            const char *value,
                            LpRow *row)
{
  const LpCondition condition = { .key = key, .version = expected_version };
  const LpPut change = { .key = key, .value = value };
  const LpTransaction transaction = {
    .token = token, .conditions = &condition, .n_conditions = 1, .puts = &change, .n_puts = 1
  };

  return lp_store_transact (store, &transaction, row);
}

Test (store, put_with_a_failed_condition_is_refused)
{
  LpStore *store = lp_store_new ();
  LpRow row;

  cr_assert_eq (put_row_if_version_matches (store, "t1", "k", 0, "a", &row), LB_OK);
  int64_t first = row.version;
  cr_assert_eq (put_row_if_version_matches (store, "t2", "k", 0, "b", &row),
                LB_ERROR_CONDITION_FAILED);
  cr_assert_str_eq (row.key, "k");
  cr_assert_eq (row.version, first);
  cr_assert_str_eq (lp_store_get_row (store, "k")->value, "a");
  cr_assert_eq (put_row_if_version_matches (store, "t3", "k", first, "b", &row), LB_OK);
  cr_assert_gt (row.version, first);
  lp_store_free (store);
}

/* A write is applied but its reply is lost, so the client repeats the write. Applied a second time,
 * its condition would fail, and the operator would see a conflict with their own change. */
Test (store, repeated_token_gets_the_first_answer)
{
  LpStore *store = lp_store_new ();
  LpRow row;

  cr_assert_eq (put_row_if_version_matches (store, "t1", "k", 0, "a", &row), LB_OK);
  int64_t first = row.version;
  cr_assert_eq (put_row_if_version_matches (store, "t2", "k", first, "b", &row), LB_OK);
  cr_assert_eq (put_row_if_version_matches (store, "t1", "k", 0, "a", &row), LB_OK);
  cr_assert_eq (row.version, first);
  cr_assert_str_eq (lp_store_get_row (store, "k")->value, "b");
  lp_store_free (store);
}

/* While a lease holder is paused, its lease row is deleted and created again by another holder. If
 * versions started at 1 again, the first holder's old version would match the new row. */
Test (store, version_is_not_reused_after_a_delete)
{
  LpStore *store = lp_store_new ();
  LpRow row;

  put_row_if_version_matches (store, "t1", "k", 0, "a", &row);
  int64_t first = row.version;
  cr_assert_eq (put_row_if_version_matches (store, "t2", "k", first, NULL, &row), LB_OK);
  cr_assert_null (lp_store_get_row (store, "k"));
  cr_assert_eq (put_row_if_version_matches (store, "t3", "k", 0, "c", &row), LB_OK);
  cr_assert_gt (row.version, first);
  lp_store_free (store);
}

Test (store, rows_of_a_prefix_are_returned_in_key_order)
{
  static const char *const keys[] = { "b/2", "a/9", "b/10", "c", "b/" };
  static const char *const expected[] = { "b/", "b/10", "b/2" };
  LpStore *store = lp_store_new ();
  char token[8];
  LpRow row;
  size_t n = 0;

  for (size_t i = 0; i < 5; i++)
    {
      snprintf (token, sizeof token, "%zu", i);
      put_row_if_version_matches (store, token, keys[i], 0, "v", &row);
    }
  for (const LpRow *next = lp_store_find_next_row (store, "b/", NULL); next;
       next = lp_store_find_next_row (store, "b/", next->key))
    cr_assert_str_eq (next->key, expected[n++]);
  cr_assert_eq (n, 3);
  cr_assert_str_eq (lp_store_find_next_row (store, "b/", "b/1")->key, "b/10");
  lp_store_free (store);
}

typedef struct
{
  int n_callbacks;
  LbErrorCode error;
  char value[16];
  int64_t version;
} CallResult;

static void
copy_rows_to_call_result (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  CallResult *result = user;

  result->n_callbacks++;
  result->error = error;
  if (n_rows > 0)
    strncpy (result->value, rows[0].value, sizeof result->value - 1);
}

static void
copy_transact_answer_to_call_result (LbErrorCode error, const LpRow *row, void *user)
{
  CallResult *result = user;

  result->n_callbacks++;
  result->error = error;
  result->version = row->version;
}

Test (memory, invokes_each_callback_once_and_never_inside_the_call)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  const LpPut change = { .key = "k", .value = "v" };
  const LpTransaction transaction = { .token = "t", .puts = &change, .n_puts = 1 };
  CallResult written = { 0 };
  CallResult read = { 0 };
  CallResult absent = { 0 };

  platform->klass->transact (platform, &transaction, LP_PRIORITY_CONFIG,
                             copy_transact_answer_to_call_result, &written);
  platform->klass->get (platform, "k", copy_rows_to_call_result, &read);
  platform->klass->get (platform, "none", copy_rows_to_call_result, &absent);
  cr_assert_eq (written.n_callbacks + read.n_callbacks + absent.n_callbacks, 0);
  event_base_loop (base, EVLOOP_NONBLOCK);
  cr_assert_eq (written.n_callbacks, 1);
  cr_assert_gt (written.version, 0);
  cr_assert_eq (read.n_callbacks, 1);
  cr_assert_str_eq (read.value, "v");
  cr_assert_eq (absent.error, LB_ERROR_NOT_FOUND);
  platform->klass->free (platform);
  event_base_free (base);
}
