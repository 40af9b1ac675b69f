#include "lp-follow.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <criterion/criterion.h>
#include <string.h>

/* A store whose answers the test gives. */
typedef struct
{
  LpPlatform platform;
  LpListDone done[4]; /* of the calls on their way */
  void *user[4];
  size_t n_waiting;
  int lists;
  int watches;
  int64_t watched_after;
  int rows; /* that the follower passed on */
} Fake;

static void
put_off (Fake *fake, LpListDone done, void *user)
{
  fake->done[fake->n_waiting] = done;
  fake->user[fake->n_waiting++] = user;
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
  Fake *fake = (Fake *)platform;

  fake->lists++;
  put_off (fake, done, user);
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
  Fake *fake = (Fake *)platform;

  fake->watches++;
  fake->watched_after = after;
  put_off (fake, done, user);
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
  ((Fake *)user)->rows += (int)n_rows;
}

static void
answer (Fake *fake, LbErrorCode error, size_t n_rows, int64_t version)
{
  const LpRow rows[2] = { { .key = "t/00/a", .value = "1" }, { .key = "t/00/b", .value = "2" } };
  LpListDone done = fake->done[0];
  void *user = fake->user[0];

  memmove (fake->done, fake->done + 1, sizeof fake->done - sizeof fake->done[0]);
  memmove (fake->user, fake->user + 1, sizeof fake->user - sizeof fake->user[0]);
  fake->n_waiting--;
  done (error, rows, n_rows, version, user);
}

/* Rows of a batch changed while its part of the table was listed after another. A watch from the
 * younger list would never tell of it. */
Test (follow, watches_from_the_oldest_list)
{
  Fake fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);

  lp_follow_tick (follow, LB_SEC);
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.lists, 2);
  answer (&fake, LB_OK, 2, 9);
  cr_assert_not (lp_follow_has_listed (follow));
  answer (&fake, LB_OK, 1, 7);
  cr_assert (lp_follow_has_listed (follow));
  cr_assert_eq (fake.rows, 3);
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.watches, 1);
  cr_assert_eq (fake.watched_after, 7);
  answer (&fake, LB_OK, 1, 12);
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.watched_after, 12);
  cr_assert_eq (fake.rows, 4);
  lp_follow_free (follow);
}

/* One part could not be read. What is in it would be missing for good if the others' answers passed
 * for the whole table. */
Test (follow, a_list_that_failed_in_part_is_made_again)
{
  Fake fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);

  lp_follow_tick (follow, LB_SEC);
  answer (&fake, LB_ERROR_STORE_AWAY, 0, 0);
  answer (&fake, LB_OK, 1, 7);
  cr_assert_not (lp_follow_has_listed (follow));
  LbTime now = lb_clock_monotonic ();
  lp_follow_tick (follow, now);
  cr_assert_eq (fake.lists, 2, "not at once");
  lp_follow_tick (follow, now + settings.retry_delay);
  cr_assert_eq (fake.lists, 4);
  lp_follow_free (follow);
}

/* An instance that runs nothing hears now and then of a row that changes several times a second: it
 * reads the row as it is, since a watch would bring each change. When it gets something to run, it
 * hears of changes at once. */
Test (follow, lists_now_and_then_until_it_may_not)
{
  Fake fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);
  LbTime now = lb_clock_monotonic ();

  lp_follow_set_list_interval (follow, 5 * LB_SEC, now);
  lp_follow_tick (follow, now);
  answer (&fake, LB_OK, 0, 7);
  answer (&fake, LB_OK, 0, 7);
  lp_follow_tick (follow, now + 4 * LB_SEC);
  cr_assert_eq (fake.lists, 2);
  lp_follow_tick (follow, now + 6 * LB_SEC);
  cr_assert_eq (fake.lists, 4);
  cr_assert_eq (fake.watches, 0);
  answer (&fake, LB_OK, 1, 9);
  answer (&fake, LB_OK, 1, 9);
  lp_follow_set_list_interval (follow, 0, now);
  lp_follow_tick (follow, now);
  cr_assert_eq (fake.watches, 1);
  cr_assert_eq (fake.watched_after, 9);
  lp_follow_free (follow);
}

/* The store dropped its history while this instance was cut off from it. Changes of that time are
 * in no watch: the rows are listed again. A watch that merely failed goes on from where it was. */
Test (follow, lists_again_when_the_history_is_gone)
{
  Fake fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);
  LbTime later = lb_clock_monotonic () + LB_SEC;

  lp_follow_tick (follow, later);
  answer (&fake, LB_OK, 0, 7);
  answer (&fake, LB_OK, 0, 7);
  lp_follow_tick (follow, later);
  answer (&fake, LB_ERROR_STORE_AWAY, 0, 0);
  lp_follow_tick (follow, later);
  cr_assert_eq (fake.watches, 2);
  cr_assert_eq (fake.watched_after, 7);
  answer (&fake, LB_ERROR_NOT_FOUND, 0, 0);
  lp_follow_tick (follow, later);
  cr_assert_eq (fake.lists, 4);
  lp_follow_free (follow);
}

/* Guards against a fleet that starts with one call for each part and instance. */
Test (follow, a_young_table_is_read_by_its_history)
{
  LpFollowSettings history = settings;
  Fake fake = { .platform.klass = &fake_class };

  history.tries_history = true;
  LpFollow *follow = lp_follow_new (&fake.platform, &history, on_rows, &fake);
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.watches, 1);
  cr_assert_eq (fake.watched_after, 0);
  answer (&fake, LB_OK, 2, 9);
  cr_assert (lp_follow_has_listed (follow));
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.watched_after, 9);
  cr_assert_eq (fake.lists, 0);
  lp_follow_free (follow);
}

/* Guards against rows of before that no history tells. */
Test (follow, an_old_table_is_listed_at_once)
{
  LpFollowSettings history = settings;
  Fake fake = { .platform.klass = &fake_class };

  history.tries_history = true;
  LpFollow *follow = lp_follow_new (&fake.platform, &history, on_rows, &fake);
  LbTime now = lb_clock_monotonic ();
  lp_follow_tick (follow, now);
  answer (&fake, LB_ERROR_NOT_FOUND, 0, 0);
  cr_assert_not (lp_follow_has_listed (follow));
  lp_follow_tick (follow, now);
  cr_assert_eq (fake.lists, 2);
  lp_follow_free (follow);
}

/* Guards against refused calls that come back at the same rate and are refused again. */
Test (follow, calls_to_a_busy_store_come_back_later_each_time)
{
  Fake fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);
  LbTime now = lb_clock_monotonic ();

  for (int refused = 1; refused <= 4; refused++)
    {
      LbTime retry = settings.retry_delay << (refused - 1);
      lp_follow_tick (follow, now);
      cr_assert_eq (fake.lists, 2 * refused);
      now = lb_clock_monotonic ();
      answer (&fake, LB_ERROR_STORE_BUSY, 0, 0);
      answer (&fake, LB_ERROR_STORE_BUSY, 0, 0);
      lp_follow_tick (follow, now + retry - 1);
      cr_assert_eq (fake.lists, 2 * refused, "before its time");
      now += 2 * retry + LB_SEC;
    }
  lp_follow_free (follow);
}

/* Guards against an answer for each change of a table, of each instance of a fleet. */
Test (follow, changes_within_the_gap_are_one_answer)
{
  Fake fake = { .platform.klass = &fake_class };
  LpFollow *follow = lp_follow_new (&fake.platform, &settings, on_rows, &fake);

  lp_follow_set_watch_delay (follow, 2 * LB_SEC);
  lp_follow_tick (follow, LB_SEC);
  answer (&fake, LB_OK, 0, 7);
  answer (&fake, LB_OK, 0, 7);
  lp_follow_tick (follow, LB_SEC);
  cr_assert_eq (fake.watches, 1);
  LbTime now = lb_clock_monotonic ();
  answer (&fake, LB_OK, 1, 8);
  lp_follow_tick (follow, now + LB_SEC);
  cr_assert_eq (fake.watches, 1);
  lp_follow_tick (follow, now + 3 * LB_SEC);
  cr_assert_eq (fake.watches, 2);
  lp_follow_free (follow);
}
