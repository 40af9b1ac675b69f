#include "lp-follow.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <criterion/criterion.h>
#include <string.h>

/* A store whose calls stay pending until the test answers them. */
typedef struct
{
  LpPlatform platform;
  LpListDone done[4]; /* callbacks of the pending calls, oldest first */
  void *user[4];      /* user arguments of the callbacks in done */
  size_t n_pending;
  int n_lists;
  int n_watches;
  int64_t watched_after; /* argument `after` of the last watch */
  int n_rows_delivered;  /* number of rows that the follower delivered */
} FakeStore;

static void
add_pending_call (FakeStore *fake, LpListDone done, void *user)
{
  fake->done[fake->n_pending] = done;
  fake->user[fake->n_pending++] = user;
}

static void
fake_store_list_rows (LpPlatform *platform,
                      const char *prefix,
                      const char *from,
                      int64_t limit,
                      LpListDone done,
                      void *user)
{
  (void)prefix;
  (void)from;
  (void)limit;
  FakeStore *fake = (FakeStore *)platform;

  fake->n_lists++;
  add_pending_call (fake, done, user);
}

static void
fake_store_watch_table (LpPlatform *platform,
                        const char *table,
                        int64_t after,
                        LbTime wait,
                        LpWatchDone done,
                        void *user)
{
  (void)table;
  (void)wait;
  FakeStore *fake = (FakeStore *)platform;

  fake->n_watches++;
  fake->watched_after = after;
  add_pending_call (fake, done, user);
}

static const LpPlatformClass fake_class
    = { .list = fake_store_list_rows, .watch = fake_store_watch_table };
static const char *const prefixes[] = { "t/00/", "t/01/" };
static const LpFollowSettings settings = { .table = "t",
                                           .prefixes = prefixes,
                                           .n_prefixes = 2,
                                           .watch_timeout = LB_SEC,
                                           .retry_delay = 100 * LB_MSEC };

static void
count_delivered_rows (const LpRow *rows, size_t n_rows, void *user)
{
  (void)rows;
  ((FakeStore *)user)->n_rows_delivered += (int)n_rows;
}

static void
answer_oldest_call (FakeStore *fake, LbErrorCode error, size_t n_rows, int64_t version)
{
  const LpRow rows[2] = { { .key = "t/00/a", .value = "1" }, { .key = "t/00/b", .value = "2" } };
  LpListDone done = fake->done[0];
  void *user = fake->user[0];

  memmove (fake->done, fake->done + 1, sizeof fake->done - sizeof fake->done[0]);
  memmove (fake->user, fake->user + 1, sizeof fake->user - sizeof fake->user[0]);
  fake->n_pending--;
  done (error, rows, n_rows, version, user);
}

/* A row may change between the lists of two prefixes. A watch from the version of the second list
 * would never deliver a change to a row of the first prefix. */
Test (follow, watch_continues_from_the_lowest_list_version)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, count_delivered_rows, &fake);

  lp_follow_start_call_if_due (follow, LB_SEC);
  lp_follow_start_call_if_due (follow, LB_SEC);
  cr_assert_eq (fake.n_lists, 2);
  answer_oldest_call (&fake, LB_OK, 2, 9);
  cr_assert_not (lp_follow_has_delivered_all_rows (follow));
  answer_oldest_call (&fake, LB_OK, 1, 7);
  cr_assert (lp_follow_has_delivered_all_rows (follow));
  cr_assert_eq (fake.n_rows_delivered, 3);
  lp_follow_start_call_if_due (follow, LB_SEC);
  cr_assert_eq (fake.n_watches, 1);
  cr_assert_eq (fake.watched_after, 7);
  answer_oldest_call (&fake, LB_OK, 1, 12);
  lp_follow_start_call_if_due (follow, LB_SEC);
  cr_assert_eq (fake.watched_after, 12);
  cr_assert_eq (fake.n_rows_delivered, 4);
  lp_follow_free (follow);
}

/* If the list of one prefix fails, all prefixes must be listed again. Otherwise the watch would
 * continue from the other lists, and the rows of the failed prefix would never be delivered. */
Test (follow, all_prefixes_are_listed_again_when_one_list_failed)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, count_delivered_rows, &fake);

  lp_follow_start_call_if_due (follow, LB_SEC);
  answer_oldest_call (&fake, LB_ERROR_STORE_AWAY, 0, 0);
  answer_oldest_call (&fake, LB_OK, 1, 7);
  cr_assert_not (lp_follow_has_delivered_all_rows (follow));
  LbTime now = lb_clock_monotonic ();
  lp_follow_start_call_if_due (follow, now);
  cr_assert_eq (fake.n_lists, 2, "expected no list before the retry delay has passed");
  lp_follow_start_call_if_due (follow, now + settings.retry_delay);
  cr_assert_eq (fake.n_lists, 4);
  lp_follow_free (follow);
}

/* A watch delivers each change of a row that changes several times per second, so an idle instance
 * lists the rows periodically instead. Once the instance has work, it must watch and receive
 * changes immediately. */
Test (follow, lists_periodically_until_the_interval_is_cleared)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, count_delivered_rows, &fake);
  LbTime now = lb_clock_monotonic ();

  lp_follow_set_list_interval (follow, 5 * LB_SEC, now);
  lp_follow_start_call_if_due (follow, now);
  answer_oldest_call (&fake, LB_OK, 0, 7);
  answer_oldest_call (&fake, LB_OK, 0, 7);
  lp_follow_start_call_if_due (follow, now + 4 * LB_SEC);
  cr_assert_eq (fake.n_lists, 2);
  lp_follow_start_call_if_due (follow, now + 6 * LB_SEC);
  cr_assert_eq (fake.n_lists, 4);
  cr_assert_eq (fake.n_watches, 0);
  answer_oldest_call (&fake, LB_OK, 1, 9);
  answer_oldest_call (&fake, LB_OK, 1, 9);
  lp_follow_set_list_interval (follow, 0, now);
  lp_follow_start_call_if_due (follow, now);
  cr_assert_eq (fake.n_watches, 1);
  cr_assert_eq (fake.watched_after, 9);
  lp_follow_free (follow);
}

/* The store may drop changes while this instance can't reach it. No watch delivers them, so the
 * rows must be listed again. After any other error the watch continues from its version. */
Test (follow, lists_again_when_the_store_has_dropped_changes)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, count_delivered_rows, &fake);
  LbTime later = lb_clock_monotonic () + LB_SEC;

  lp_follow_start_call_if_due (follow, later);
  answer_oldest_call (&fake, LB_OK, 0, 7);
  answer_oldest_call (&fake, LB_OK, 0, 7);
  lp_follow_start_call_if_due (follow, later);
  answer_oldest_call (&fake, LB_ERROR_STORE_AWAY, 0, 0);
  lp_follow_start_call_if_due (follow, later);
  cr_assert_eq (fake.n_watches, 2);
  cr_assert_eq (fake.watched_after, 7);
  answer_oldest_call (&fake, LB_ERROR_NOT_FOUND, 0, 0);
  lp_follow_start_call_if_due (follow, later);
  cr_assert_eq (fake.n_lists, 4);
  lp_follow_free (follow);
}

/* One watch from version 0 reads all changes of a new table. Without it, each instance of a
 * starting fleet calls the store once for each prefix. */
Test (follow, new_table_is_read_by_one_watch_from_version_0)
{
  LpFollowSettings history = settings;
  FakeStore fake = { .platform.klass = &fake_class };

  history.tries_history = true;
  LpFollow *follow = lp_follow_new (&fake.platform, &history, count_delivered_rows, &fake);
  lp_follow_start_call_if_due (follow, LB_SEC);
  cr_assert_eq (fake.n_watches, 1);
  cr_assert_eq (fake.watched_after, 0);
  answer_oldest_call (&fake, LB_OK, 2, 9);
  cr_assert (lp_follow_has_delivered_all_rows (follow));
  lp_follow_start_call_if_due (follow, LB_SEC);
  cr_assert_eq (fake.watched_after, 9);
  cr_assert_eq (fake.n_lists, 0);
  lp_follow_free (follow);
}

/* The store has dropped the oldest changes of an old table, so a watch from version 0 would miss
 * the rows that they wrote. */
Test (follow, table_with_dropped_changes_is_listed_immediately)
{
  LpFollowSettings history = settings;
  FakeStore fake = { .platform.klass = &fake_class };

  history.tries_history = true;
  LpFollow *follow = lp_follow_new (&fake.platform, &history, count_delivered_rows, &fake);
  LbTime now = lb_clock_monotonic ();
  lp_follow_start_call_if_due (follow, now);
  answer_oldest_call (&fake, LB_ERROR_NOT_FOUND, 0, 0);
  cr_assert_not (lp_follow_has_delivered_all_rows (follow));
  lp_follow_start_call_if_due (follow, now);
  cr_assert_eq (fake.n_lists, 2);
  lp_follow_free (follow);
}

/* Calls that a busy store has refused must back off. Retried at a constant rate, they would be
 * refused again. */
Test (follow, busy_store_is_retried_with_growing_delays)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, count_delivered_rows, &fake);
  LbTime now = lb_clock_monotonic ();

  for (int refused = 1; refused <= 4; refused++)
    {
      LbTime retry = settings.retry_delay << (refused - 1);
      lp_follow_start_call_if_due (follow, now);
      cr_assert_eq (fake.n_lists, 2 * refused);
      now = lb_clock_monotonic ();
      answer_oldest_call (&fake, LB_ERROR_STORE_BUSY, 0, 0);
      answer_oldest_call (&fake, LB_ERROR_STORE_BUSY, 0, 0);
      lp_follow_start_call_if_due (follow, now + retry - 1);
      cr_assert_eq (fake.n_lists, 2 * refused, "expected no retry before the backoff has ended");
      now += 2 * retry + LB_SEC;
    }
  lp_follow_free (follow);
}

/* Without the watch delay, the store sends each change of a table to each instance of a fleet. */
Test (follow, changes_within_the_watch_delay_share_one_answer)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, count_delivered_rows, &fake);

  lp_follow_set_watch_delay (follow, 2 * LB_SEC);
  lp_follow_start_call_if_due (follow, LB_SEC);
  answer_oldest_call (&fake, LB_OK, 0, 7);
  answer_oldest_call (&fake, LB_OK, 0, 7);
  lp_follow_start_call_if_due (follow, LB_SEC);
  cr_assert_eq (fake.n_watches, 1);
  LbTime now = lb_clock_monotonic ();
  answer_oldest_call (&fake, LB_OK, 1, 8);
  lp_follow_start_call_if_due (follow, now + LB_SEC);
  cr_assert_eq (fake.n_watches, 1);
  lp_follow_start_call_if_due (follow, now + 3 * LB_SEC);
  cr_assert_eq (fake.n_watches, 2);
  lp_follow_free (follow);
}
