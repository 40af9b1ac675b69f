#include "ln-context.h"
#include "ln-unwritten-rows.h"
#include "ln-usage-rows.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lp-platform.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MAX_CALLS 256

/* Fake store that collects the calls; the test answers them. */
typedef struct
{
  LpPlatform platform; /* first member, because callbacks cast LpPlatform * to Store * */
  size_t n_calls;
  LpTransactDone done[MAX_CALLS];
  void *user[MAX_CALLS];
} Store;

static void
collect_transaction (LpPlatform *platform,
                     const LpTransaction *transaction,
                     LpPriority priority,
                     LpTransactDone done,
                     void *user)
{
  (void)transaction;
  (void)priority;
  Store *store = (Store *)platform;

  cr_assert_lt (store->n_calls, MAX_CALLS);
  store->done[store->n_calls] = done;
  store->user[store->n_calls++] = user;
}

static const LpPlatformClass store_class = { .name = "test", .transact = collect_transaction };

static void
answer_all_calls (Store *store, LbErrorCode error)
{
  const LpRow row = { .key = "" };
  size_t n = store->n_calls;

  store->n_calls = 0;
  for (size_t i = 0; i < n; i++)
    store->done[i](error, &row, store->user[i]);
}

/* Guards against an instance that sends all its crash reports at once, again and again, to a store
 * that fails. */
Test (store_writes, unwritten_rows_are_sent_a_few_at_a_time)
{
  Store store = { .platform.klass = &store_class };
  LnUnwrittenRows *rows = ln_unwritten_rows_new (&store.platform, "1");
  size_t n_written = 0;
  char key[16];

  for (int i = 0; i < 40; i++)
    {
      snprintf (key, sizeof key, "crash/%d", i);
      ln_unwritten_rows_write (rows, key, lb_strdup ("text"));
    }
  cr_assert_leq (store.n_calls, 8);
  answer_all_calls (&store, LB_ERROR_STORE_AWAY);
  for (int i = 0; i < 10 && n_written < 40; i++)
    {
      ln_unwritten_rows_retry_writes (rows);
      cr_assert_leq (store.n_calls, 8);
      n_written += store.n_calls;
      answer_all_calls (&store, LB_OK);
    }
  cr_assert_eq (n_written, 40);
  ln_unwritten_rows_free (rows);
}

/* Guards against one row that waits many times in one queue, once for each of its texts. */
Test (store_writes, newer_text_replaces_one_that_waits)
{
  Store store = { .platform.klass = &store_class };
  LnUnwrittenRows *rows = ln_unwritten_rows_new (&store.platform, "1");

  for (int i = 0; i < 20; i++)
    {
      ln_unwritten_rows_write (rows, "crash/a", lb_strdup ("text"));
      answer_all_calls (&store, LB_ERROR_STORE_AWAY);
    }
  ln_unwritten_rows_retry_writes (rows);
  cr_assert_eq (store.n_calls, 1);
  answer_all_calls (&store, LB_OK);
  ln_unwritten_rows_free (rows);
}

/* Guards against an instance that writes the counts of all windows of an outage at once, and again
 * as soon as the writes fail. */
Test (store_writes, usage_of_an_outage_is_written_a_few_windows_at_a_time)
{
  Store store = { .platform.klass = &store_class };
  LnContext context = { .platform = &store.platform };
  LnUsageRows *rows = NULL;
  LbTime now = lb_clock_monotonic ();

  LB_COPY (context.instance, "a");
  LB_COPY (context.incarnation, "1");
  rows = ln_usage_rows_new (&context, 1000);
  for (int64_t window = 0; window < 20; window++)
    ln_usage_rows_count_request (rows, "post", window * 1000);
  ln_usage_rows_tick (rows, 3, 19000, now);
  cr_assert_leq (store.n_calls, 4);
  answer_all_calls (&store, LB_ERROR_STORE_AWAY);
  ln_usage_rows_tick (rows, 3, 19000, now + 50 * LB_MSEC);
  cr_assert_eq (store.n_calls, 0);
  for (int i = 1; i <= 20 && !ln_usage_rows_are_all_written (rows); i++)
    {
      ln_usage_rows_tick (rows, 3, 19000, now + i * LB_SEC);
      cr_assert_leq (store.n_calls, 4);
      answer_all_calls (&store, LB_OK);
    }
  cr_assert (ln_usage_rows_are_all_written (rows));
  ln_usage_rows_free (rows);
}
