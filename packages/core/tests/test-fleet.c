#include "lc-fleet.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

#define PERIOD (500 * LB_MSEC)

static LcFleetRow
row (const char *name, const char *incarnation)
{
  LcFleetRow row = { .ready = true, .period = PERIOD };

  LB_COPY (row.name, name);
  LB_COPY (row.incarnation, incarnation);
  LB_COPY (row.caller_address, "10.0.0.1:80");
  return row;
}

static LbTime took;

static bool
list (LcFleet *fleet, int64_t version_a, int64_t version_b, LbTime now)
{
  LcFleetRow a = row ("a", "1");
  LcFleetRow b = row ("b", "1");

  lc_fleet_begin_list (fleet,
                       &(LcFleetList){ .received_at = now, .round_trip = took, .period = PERIOD });
  lc_fleet_add_row (fleet, &a, version_a, now);
  lc_fleet_add_row (fleet, &b, version_b, now);
  return lc_fleet_finish_list (fleet, now);
}

static bool
is_alive (const LcFleet *fleet, const char *name)
{
  for (size_t i = 0; i < lc_fleet_count (fleet); i++)
    if (strcmp (lc_fleet_at (fleet, i)->row.name, name) == 0)
      return lc_fleet_at (fleet, i)->alive;
  return false;
}

/* A machine loses power. Its row stands still; after three renewals that did not come it is dead,
 * and what it ran is taken over. With four, steps whose longest text takes most of their time were
 * late after each such loss. */
Test (fleet, an_instance_whose_row_stands_still_is_dead)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LbTime now = LB_SEC;
  int64_t version = 10;

  list (fleet, version, 5, now);
  cr_assert (is_alive (fleet, "b"));
  for (LbTime past = 0; past < 3 * PERIOD; past += PERIOD)
    {
      now += PERIOD;
      list (fleet, ++version, 5, now);
      cr_assert (is_alive (fleet, "b"));
    }
  now += PERIOD;
  cr_assert (list (fleet, ++version, 5, now));
  cr_assert_not (is_alive (fleet, "b"));
  cr_assert (is_alive (fleet, "a"));
  lc_fleet_free (fleet);
}

/* The store answers sixty times slower. Rows show late, all of them: nobody is dead. */
Test (fleet, a_slow_store_kills_nobody)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LbTime now = LB_SEC;

  took = 250 * LB_MSEC;
  list (fleet, 1, 5, now);
  for (int i = 0; i < 4; i++)
    {
      now += PERIOD;
      list (fleet, 2 + i, 5, now);
      cr_assert (is_alive (fleet, "b"));
    }
  now += PERIOD;
  list (fleet, 8, 5, now);
  cr_assert_not (is_alive (fleet, "b"), "but it may be dead all the same");
  took = 0;
  lc_fleet_free (fleet);
}

/* The store is away for six seconds and nobody can renew. When it answers again all instances would
 * look dead to one another, and every batch would change its owner. */
Test (fleet, time_without_the_store_does_not_count)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LbTime now = LB_SEC;

  list (fleet, 1, 2, now);
  now += 6 * LB_SEC;
  list (fleet, 1, 2, now);
  cr_assert (is_alive (fleet, "b"));
  lc_fleet_free (fleet);
}

/* The store is silent for four seconds. One instance is the first to hear of its return and lists
 * the others 50 ms later; their renewals were swallowed, and the next ones come most of a second
 * after that. It took the owner of a step for dead, and the step began anew elsewhere. */
Test (fleet, others_have_time_to_renew_when_the_store_is_back)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LbTime now = LB_SEC;

  list (fleet, 1, 2, now);
  now += 4 * LB_SEC;
  for (int i = 0; i < 5; i++, now += PERIOD)
    {
      list (fleet, 1, 2, now);
      cr_assert (is_alive (fleet, "b"), "%d periods after the return", i);
    }
  now += PERIOD;
  list (fleet, 1, 2, now);
  cr_assert_not (is_alive (fleet, "b"), "it does not come back");
  lc_fleet_free (fleet);
}

static const LcFleetMember *
find (const LcFleetMember *members, size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (members[i].row.name, name) == 0)
      return &members[i];
  return NULL;
}

/* A site of 295 instances renews and lists all of them each few seconds. The owner of a step loses
 * power: by these lists it was missed after 2.5 s, with all texts of its step. Its second row is
 * listed each 0.3 s and shows it sooner. */
Test (fleet, an_owner_is_missed_by_its_row_on_duty)
{
  enum
  {
    ALL_MS = 2360,
    DUTY_MS = 300
  };
  LcFleet *all = lc_fleet_new ("a");
  LcFleet *on_duty = lc_fleet_new ("a");
  LcFleetRow idle = row ("b", "1");
  LcFleetRow busy = row ("b", "1");
  LcFleetMember members[4];
  LbTime now = LB_SEC;
  LbTime missed_at = 0;

  idle.period = ALL_MS * LB_MSEC;
  busy.period = DUTY_MS * LB_MSEC;
  for (int ms = 0; ms <= 5000 && missed_at == 0; ms += DUTY_MS, now += DUTY_MS * LB_MSEC)
    {
      if (ms % ALL_MS < DUTY_MS)
        {
          lc_fleet_begin_list (all,
                               &(LcFleetList){ .received_at = now, .period = ALL_MS * LB_MSEC });
          lc_fleet_add_row (all, &idle, 5, now);
          lc_fleet_finish_list (all, now);
        }
      lc_fleet_begin_list (on_duty,
                           &(LcFleetList){ .received_at = now, .period = DUTY_MS * LB_MSEC });
      lc_fleet_add_row (on_duty, &busy, 4, now);
      lc_fleet_finish_list (on_duty, now);
      size_t n = lc_fleet_merge (all, on_duty, members);
      if (!find (members, n, "b")->alive)
        missed_at = now;
    }
  cr_assert_gt (missed_at, 0);
  cr_assert_leq (missed_at - LB_SEC, 1200 * LB_MSEC);
  lc_fleet_free (all);
  lc_fleet_free (on_duty);
}

/* An owner was killed and has started again, without a duty. Its second row is that of the start
 * before, and stands still for good: the younger one tells that it lives. */
Test (fleet, a_row_on_duty_of_an_earlier_start_does_not_count)
{
  LcFleet *all = lc_fleet_new ("a");
  LcFleet *on_duty = lc_fleet_new ("a");
  LcFleetRow new_start = row ("b", "2");
  LcFleetRow old_start = row ("b", "1");
  LcFleetRow newcomer = row ("c", "1");
  LcFleetMember members[4];

  for (LbTime now = LB_SEC; now < 6 * LB_SEC; now += PERIOD)
    {
      lc_fleet_begin_list (all, &(LcFleetList){ .received_at = now, .period = PERIOD });
      lc_fleet_add_row (all, &new_start, 10 + now, now);
      lc_fleet_finish_list (all, now);
      lc_fleet_begin_list (on_duty, &(LcFleetList){ .received_at = now, .period = PERIOD });
      lc_fleet_add_row (on_duty, &old_start, 4, now);
      lc_fleet_add_row (on_duty, &newcomer, 11 + now, now);
      lc_fleet_finish_list (on_duty, now);
    }
  size_t n = lc_fleet_merge (all, on_duty, members);
  cr_assert_eq (n, 2);
  cr_assert (find (members, n, "b")->alive);
  cr_assert_str_eq (find (members, n, "b")->row.incarnation, "2");
  cr_assert (find (members, n, "c")->alive, "it has no other row yet");
  lc_fleet_free (all);
  lc_fleet_free (on_duty);
}

/* Callers are told the addresses of instances; one that died is told until it is missed, and those
 * who connect to it wait. One missed renewal is enough to be told last. */
Test (fleet, an_instance_that_missed_a_renewal_is_not_fresh)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LbTime now = LB_SEC;

  list (fleet, 1, 5, now);
  cr_assert (lc_fleet_at (fleet, 1)->fresh);
  now += 2 * PERIOD;
  list (fleet, 2, 5, now);
  cr_assert (lc_fleet_at (fleet, 1)->alive);
  cr_assert_not (lc_fleet_at (fleet, 1)->fresh);
  lc_fleet_free (fleet);
}

static bool
is_confirmed (const LcFleet *fleet, const char *name)
{
  for (size_t i = 0; i < lc_fleet_count (fleet); i++)
    if (strcmp (lc_fleet_at (fleet, i)->row.name, name) == 0)
      return lc_fleet_at (fleet, i)->confirmed;
  return false;
}

/* The first list of an instance that has just started; the store's clock stands at 100,000 ms. */
static LcFleet *
list_first (int64_t renewed_ms_of_b)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LcFleetRow b = row ("b", "1");

  b.renewed_ms = renewed_ms_of_b;
  lc_fleet_begin_list (fleet, &(LcFleetList){
                                  .received_at = LB_SEC, .store_ms = 100000, .period = PERIOD });
  lc_fleet_add_row (fleet, &b, 5, LB_SEC);
  lc_fleet_finish_list (fleet, LB_SEC);
  return fleet;
}

/* All processes are killed and start again. One machine was taken away 47 s before, and its row
 * still stands in the store. A started instance sees the row for the first time and named that
 * machine to callers, which went to where nobody listens. */
Test (fleet, an_old_row_seen_for_the_first_time_is_not_confirmed)
{
  LcFleet *fleet = list_first (100000 - 47000);

  cr_assert_not (is_confirmed (fleet, "b"));
  cr_assert (is_alive (fleet, "b"),
             "its batches are not taken from it on the strength of one list");
  lc_fleet_free (fleet);
}

/* All processes are killed and start again within a second. Callers need their addresses at once,
 * before each has renewed its row again. */
Test (fleet, a_young_row_seen_for_the_first_time_is_confirmed)
{
  LcFleet *fleet = list_first (100000 - 900);

  cr_assert (is_confirmed (fleet, "b"));
  lc_fleet_free (fleet);
}

/* The row of an instance that had not heard from the store yet does not say when it was written. */
Test (fleet, a_renewal_that_is_seen_confirms)
{
  LcFleet *fleet = list_first (0);
  LcFleetRow b = row ("b", "1");

  cr_assert_not (is_confirmed (fleet, "b"));
  lc_fleet_begin_list (fleet, &(LcFleetList){ .received_at = 2 * LB_SEC, .period = PERIOD });
  lc_fleet_add_row (fleet, &b, 6, 2 * LB_SEC);
  cr_assert (lc_fleet_finish_list (fleet, 2 * LB_SEC), "others are told");
  cr_assert (is_confirmed (fleet, "b"));
  lc_fleet_free (fleet);
}

Test (fleet, a_row_says_the_same_after_a_round_trip)
{
  LcFleetRow first = row ("a", "17");
  LcFleetRow second;

  first.draining = true;
  first.renewed_ms = 9;
  struct json_object *object = lc_fleet_row_to_json (&first);
  cr_assert (lc_fleet_row_from_json (object, &second));
  cr_assert_str_eq (second.incarnation, "17");
  cr_assert (second.draining);
  cr_assert_eq (second.renewed_ms, 9);
  cr_assert_eq (second.period, PERIOD);
  json_object_put (object);
  object = json_tokener_parse ("{\"name\": 3}");
  cr_assert_not (lc_fleet_row_from_json (object, &second));
  json_object_put (object);
}
