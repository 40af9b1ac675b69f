#include "lp-follow.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <criterion/criterion.h>
#include <string.h>

/* A store whose calls stay pending until the test answers them. */
typedef struct
{
  LpPlatform platform;
  LpListDone done[4]; /* of the pending calls, oldest first */
  void *user[4];
  size_t n_pending;
  int n_lists;
  int n_watches;
  int64_t watched_after;
  int n_rows_delivered; /* by the follower */
} FakeStore;

static void
add_pending (FakeStore *fake, LpListDone done, void *user)
{
  fake->done[fake->n_pending] = done;
  fake->user[fake->n_pending++] = user;
}

static void
fake_list (LpPlatform *platform,
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
  add_pending (fake, done, user);
}

static void
fake_watch (LpPlatform *platform,
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
  add_pending (fake, done, user);
}

static const LpPlatformClass fake_class = { .list = fake_list, .watch = fake_watch };
static const char *const prefixes[] = { "t/00/", "t/01/" };
static const LpFollowSettings settings = { .table = "t",
                                           .prefixes = prefixes,
                                           .n_prefixes = 2,
                                           .watch_timeout = LB_SEC,
                                           .retry_delay = 100 * LB_MSEC };

static void
on_rows (const LpRow *rows, size_t n_rows, void *user)
{
  (void)rows;
  ((FakeStore *)user)->n_rows_delivered += (int)n_rows;
}

static void
answer_first (FakeStore *fake, LbErrorCode error, size_t n_rows, int64_t version)
{
  const LpRow rows[2] = { { .key = "t/00/a", .value = "1" }, { .key = "t/00/b", .value = "2" } };
  LpListDone done = fake->done[0];
  void *user = fake->user[0];

  memmove (fake->done, fake->done + 1, sizeof fake->done - sizeof fake->done[0]);
  memmove (fake->user, fake->user + 1, sizeof fake->user - sizeof fake->user[0]);
  fake->n_pending--;
  done (error, rows, n_rows, version, user);
}

/* A row may change after its prefix was listed and before the next one is. A watch from the later
 * list's version would never deliver that change. */
Test (follow, watch_continues_from_the_oldest_list)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);

  lp_follow_tick (follow, LB_SEC);
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.n_lists, 2);
  answer_first (&fake, LB_OK, 2, 9);
  cr_assert_not (lp_follow_has_delivered_all_rows (follow));
  answer_first (&fake, LB_OK, 1, 7);
  cr_assert (lp_follow_has_delivered_all_rows (follow));
  cr_assert_eq (fake.n_rows_delivered, 3);
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.n_watches, 1);
  cr_assert_eq (fake.watched_after, 7);
  answer_first (&fake, LB_OK, 1, 12);
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.watched_after, 12);
  cr_assert_eq (fake.n_rows_delivered, 4);
  lp_follow_free (follow);
}

/* If the list of one prefix fails and the others' answers pass for the whole table, its rows are
 * missing for good. */
Test (follow, partly_failed_list_is_repeated)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);

  lp_follow_tick (follow, LB_SEC);
  answer_first (&fake, LB_ERROR_STORE_AWAY, 0, 0);
  answer_first (&fake, LB_OK, 1, 7);
  cr_assert_not (lp_follow_has_delivered_all_rows (follow));
  LbTime now = lb_clock_monotonic ();
  lp_follow_tick (follow, now);
  cr_assert_eq (fake.n_lists, 2, "lists again before the retry delay");
  lp_follow_tick (follow, now + settings.retry_delay);
  cr_assert_eq (fake.n_lists, 4);
  lp_follow_free (follow);
}

/* An idle instance reads a row that changes several times per second only periodically, since a
 * watch would deliver each change. Once it has work, it must receive changes at once. */
Test (follow, lists_periodically_until_the_interval_is_cleared)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);
  LbTime now = lb_clock_monotonic ();

  lp_follow_set_list_interval (follow, 5 * LB_SEC, now);
  lp_follow_tick (follow, now);
  answer_first (&fake, LB_OK, 0, 7);
  answer_first (&fake, LB_OK, 0, 7);
  lp_follow_tick (follow, now + 4 * LB_SEC);
  cr_assert_eq (fake.n_lists, 2);
  lp_follow_tick (follow, now + 6 * LB_SEC);
  cr_assert_eq (fake.n_lists, 4);
  cr_assert_eq (fake.n_watches, 0);
  answer_first (&fake, LB_OK, 1, 9);
  answer_first (&fake, LB_OK, 1, 9);
  lp_follow_set_list_interval (follow, 0, now);
  lp_follow_tick (follow, now);
  cr_assert_eq (fake.n_watches, 1);
  cr_assert_eq (fake.watched_after, 9);
  lp_follow_free (follow);
}

/* If the store dropped its history while this instance was cut off, no watch delivers the changes
 * of that time, so the rows must be listed again. A watch that only failed continues from its
 * version. */
Test (follow, lists_again_when_the_history_is_gone)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);
  LbTime later = lb_clock_monotonic () + LB_SEC;

  lp_follow_tick (follow, later);
  answer_first (&fake, LB_OK, 0, 7);
  answer_first (&fake, LB_OK, 0, 7);
  lp_follow_tick (follow, later);
  answer_first (&fake, LB_ERROR_STORE_AWAY, 0, 0);
  lp_follow_tick (follow, later);
  cr_assert_eq (fake.n_watches, 2);
  cr_assert_eq (fake.watched_after, 7);
  answer_first (&fake, LB_ERROR_NOT_FOUND, 0, 0);
  lp_follow_tick (follow, later);
  cr_assert_eq (fake.n_lists, 4);
  lp_follow_free (follow);
}

/* Without the history, a starting fleet makes one call for each prefix and instance. */
Test (follow, new_table_is_read_by_its_history)
{
  LpFollowSettings history = settings;
  FakeStore fake = { .platform.klass = &fake_class };

  history.tries_history = true;
  LpFollow *follow = lp_follow_new (&fake.platform, &history, on_rows, &fake);
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.n_watches, 1);
  cr_assert_eq (fake.watched_after, 0);
  answer_first (&fake, LB_OK, 2, 9);
  cr_assert (lp_follow_has_delivered_all_rows (follow));
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.watched_after, 9);
  cr_assert_eq (fake.n_lists, 0);
  lp_follow_free (follow);
}

/* The history of an old table lacks the rows written before it begins. */
Test (follow, table_without_its_whole_history_is_listed_at_once)
{
  LpFollowSettings history = settings;
  FakeStore fake = { .platform.klass = &fake_class };

  history.tries_history = true;
  LpFollow *follow = lp_follow_new (&fake.platform, &history, on_rows, &fake);
  LbTime now = lb_clock_monotonic ();
  lp_follow_tick (follow, now);
  answer_first (&fake, LB_ERROR_NOT_FOUND, 0, 0);
  cr_assert_not (lp_follow_has_delivered_all_rows (follow));
  lp_follow_tick (follow, now);
  cr_assert_eq (fake.n_lists, 2);
  lp_follow_free (follow);
}

/* Calls that a busy store refused must not return at the same rate and be refused again. */
Test (follow, busy_store_is_retried_with_growing_delays)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);
  LbTime now = lb_clock_monotonic ();

  for (int refused = 1; refused <= 4; refused++)
    {
      LbTime retry = settings.retry_delay << (refused - 1);
      lp_follow_tick (follow, now);
      cr_assert_eq (fake.n_lists, 2 * refused);
      now = lb_clock_monotonic ();
      answer_first (&fake, LB_ERROR_STORE_BUSY, 0, 0);
      answer_first (&fake, LB_ERROR_STORE_BUSY, 0, 0);
      lp_follow_tick (follow, now + retry - 1);
      cr_assert_eq (fake.n_lists, 2 * refused, "retried before the backoff ended");
      now += 2 * retry + LB_SEC;
    }
  lp_follow_free (follow);
}

/* Without the delay, each instance of a fleet gets an answer for each change of a table. */
Test (follow, changes_within_the_watch_delay_share_one_answer)
{
  FakeStore fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);

  lp_follow_set_watch_delay (follow, 2 * LB_SEC);
  lp_follow_tick (follow, LB_SEC);
  answer_first (&fake, LB_OK, 0, 7);
  answer_first (&fake, LB_OK, 0, 7);
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.n_watches, 1);
  LbTime now = lb_clock_monotonic ();
  answer_first (&fake, LB_OK, 1, 8);
  lp_follow_tick (follow, now + LB_SEC);
  cr_assert_eq (fake.n_watches, 1);
  lp_follow_tick (follow, now + 3 * LB_SEC);
  cr_assert_eq (fake.n_watches, 2);
  lp_follow_free (follow);
}
