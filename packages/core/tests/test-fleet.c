#include "lc-fleet.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

#define RENEWAL_PERIOD (500 * LB_MSEC)

static LcFleetRow
make_fleet_row (const char *name, const char *incarnation)
{
  LcFleetRow row = { .ready = true, .period = RENEWAL_PERIOD };

  LB_COPY (row.name, name);
  LB_COPY (row.incarnation, incarnation);
  LB_COPY (row.caller_address, "10.0.0.1:80");
  return row;
}

static LbTime round_trip;

static bool
apply_list_of_instances_a_and_b (LcFleet *fleet, int64_t version_a, int64_t version_b, LbTime now)
{
  LcFleetRow a = make_fleet_row ("a", "1");
  LcFleetRow b = make_fleet_row ("b", "1");

  lc_fleet_begin_list (fleet, &(LcFleetList){ .received_at = now,
                                              .round_trip = round_trip,
                                              .period = RENEWAL_PERIOD });
  lc_fleet_add_row (fleet, &a, version_a, now);
  lc_fleet_add_row (fleet, &b, version_b, now);
  return lc_fleet_finish_list (fleet, now);
}

static bool
is_member_alive (const LcFleet *fleet, const char *name)
{
  for (size_t i = 0; i < lc_fleet_count_members (fleet); i++)
    if (strcmp (lc_fleet_member_at (fleet, i)->row.name, name) == 0)
      return lc_fleet_member_at (fleet, i)->alive;
  return false;
}

/* A machine loses power and its row stops changing: after three missed renewals the instance must
 * count as dead, so that its work is taken over. With four, steps with one long text finished late
 * after each power loss. */
Test (fleet, an_instance_is_dead_after_three_missed_renewals)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LbTime now = LB_SEC;
  int64_t version = 10;

  apply_list_of_instances_a_and_b (fleet, version, 5, now);
  cr_assert (is_member_alive (fleet, "b"));
  for (LbTime silence = 0; silence < 3 * RENEWAL_PERIOD; silence += RENEWAL_PERIOD)
    {
      now += RENEWAL_PERIOD;
      apply_list_of_instances_a_and_b (fleet, ++version, 5, now);
      cr_assert (is_member_alive (fleet, "b"));
    }
  now += RENEWAL_PERIOD;
  cr_assert (apply_list_of_instances_a_and_b (fleet, ++version, 5, now));
  cr_assert_not (is_member_alive (fleet, "b"));
  cr_assert (is_member_alive (fleet, "a"));
  lc_fleet_free (fleet);
}

/* The store answers sixty times slower than usual, so that all renewals are seen late: no instance
 * may be declared dead. */
Test (fleet, a_slow_store_makes_no_instance_dead)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LbTime now = LB_SEC;

  round_trip = 250 * LB_MSEC;
  apply_list_of_instances_a_and_b (fleet, 1, 5, now);
  for (int i = 0; i < 4; i++)
    {
      now += RENEWAL_PERIOD;
      apply_list_of_instances_a_and_b (fleet, 2 + i, 5, now);
      cr_assert (is_member_alive (fleet, "b"));
    }
  now += RENEWAL_PERIOD;
  apply_list_of_instances_a_and_b (fleet, 8, 5, now);
  cr_assert_not (is_member_alive (fleet, "b"), "a slow store must not hide a dead instance");
  round_trip = 0;
  lc_fleet_free (fleet);
}

/* The store is unreachable for six seconds, and nobody can renew. When it answers again, instances
 * must not declare each other dead: every batch would change its owner. */
Test (fleet, a_store_outage_does_not_count_as_silence)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LbTime now = LB_SEC;

  apply_list_of_instances_a_and_b (fleet, 1, 2, now);
  now += 6 * LB_SEC;
  apply_list_of_instances_a_and_b (fleet, 1, 2, now);
  cr_assert (is_member_alive (fleet, "b"));
  lc_fleet_free (fleet);
}

/* The store is unreachable for four seconds. One instance reaches it first and lists the rows 50 ms
 * later, but the others' renewals were lost and follow most of a second later. Guards against
 * declaring the owner of a step dead in between, which restarts the step elsewhere. */
Test (fleet, instances_have_time_to_renew_after_a_store_outage)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LbTime now = LB_SEC;

  apply_list_of_instances_a_and_b (fleet, 1, 2, now);
  now += 4 * LB_SEC;
  for (int i = 0; i < 5; i++, now += RENEWAL_PERIOD)
    {
      apply_list_of_instances_a_and_b (fleet, 1, 2, now);
      cr_assert (is_member_alive (fleet, "b"),
                 "expected b to be alive, but it is dead %d periods after the outage", i);
    }
  now += RENEWAL_PERIOD;
  apply_list_of_instances_a_and_b (fleet, 1, 2, now);
  cr_assert_not (is_member_alive (fleet, "b"),
                 "expected b to be dead, since it did not renew again");
  lc_fleet_free (fleet);
}

static const LcFleetMember *
find_member (const LcFleetMember *members, size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (members[i].row.name, name) == 0)
      return &members[i];
  return NULL;
}

/* In a site of 295 instances, the rows of all instances are renewed and listed only every few
 * seconds. When the owner of a step lost power, that was detected only after 2.5 s, and all texts
 * of the step were late. So an instance that owns steps also renews a second row, the row on duty.
 * That row is listed every 0.3 s and must reveal the loss sooner. */
Test (fleet, a_row_on_duty_shows_a_dead_owner_sooner)
{
  enum
  {
    ALL_MS = 2360,
    DUTY_MS = 300
  };
  LcFleet *all = lc_fleet_new ("a");
  LcFleet *on_duty = lc_fleet_new ("a");
  LcFleetRow general_row = make_fleet_row ("b", "1");
  LcFleetRow duty_row = make_fleet_row ("b", "1");
  LcFleetMember members[4];
  LbTime now = LB_SEC;
  LbTime detected_at = 0;

  general_row.period = ALL_MS * LB_MSEC;
  duty_row.period = DUTY_MS * LB_MSEC;
  for (int ms = 0; ms <= 5000 && detected_at == 0; ms += DUTY_MS, now += DUTY_MS * LB_MSEC)
    {
      if (ms % ALL_MS < DUTY_MS)
        {
          lc_fleet_begin_list (all,
                               &(LcFleetList){ .received_at = now, .period = ALL_MS * LB_MSEC });
          lc_fleet_add_row (all, &general_row, 5, now);
          lc_fleet_finish_list (all, now);
        }
      lc_fleet_begin_list (on_duty,
                           &(LcFleetList){ .received_at = now, .period = DUTY_MS * LB_MSEC });
      lc_fleet_add_row (on_duty, &duty_row, 4, now);
      lc_fleet_finish_list (on_duty, now);
      size_t n = lc_fleet_merge_members (all, on_duty, members);
      if (!find_member (members, n, "b")->alive)
        detected_at = now;
    }
  cr_assert_gt (detected_at, 0);
  cr_assert_leq (detected_at - LB_SEC, 1200 * LB_MSEC);
  lc_fleet_free (all);
  lc_fleet_free (on_duty);
}

/* The owner of a step was killed and restarted, and owns no step since. The second row that it
 * renewed as an owner (the row on duty) is from the previous incarnation and no longer changes. The
 * newer general row must show the instance as alive. */
Test (fleet, a_row_on_duty_of_an_earlier_incarnation_is_ignored)
{
  LcFleet *all = lc_fleet_new ("a");
  LcFleet *on_duty = lc_fleet_new ("a");
  LcFleetRow current_row = make_fleet_row ("b", "2");
  LcFleetRow old_duty_row = make_fleet_row ("b", "1");
  LcFleetRow newcomer = make_fleet_row ("c", "1");
  LcFleetMember members[4];

  for (LbTime now = LB_SEC; now < 6 * LB_SEC; now += RENEWAL_PERIOD)
    {
      lc_fleet_begin_list (all, &(LcFleetList){ .received_at = now, .period = RENEWAL_PERIOD });
      lc_fleet_add_row (all, &current_row, 10 + now, now);
      lc_fleet_finish_list (all, now);
      lc_fleet_begin_list (on_duty, &(LcFleetList){ .received_at = now, .period = RENEWAL_PERIOD });
      lc_fleet_add_row (on_duty, &old_duty_row, 4, now);
      lc_fleet_add_row (on_duty, &newcomer, 11 + now, now);
      lc_fleet_finish_list (on_duty, now);
    }
  size_t n = lc_fleet_merge_members (all, on_duty, members);
  cr_assert_eq (n, 2);
  cr_assert (find_member (members, n, "b")->alive);
  cr_assert_str_eq (find_member (members, n, "b")->row.incarnation, "2");
  cr_assert (find_member (members, n, "c")->alive,
             "expected c to be alive: a row on duty alone is enough");
  lc_fleet_free (all);
  lc_fleet_free (on_duty);
}

/* Callers get the address of an instance until the instance is declared dead, and a call to a dead
 * instance waits for its timeout. So an instance that missed one renewal must not count as fresh,
 * and its address is given to callers after all others. */
Test (fleet, an_instance_that_missed_a_renewal_is_not_fresh)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LbTime now = LB_SEC;

  apply_list_of_instances_a_and_b (fleet, 1, 5, now);
  cr_assert (lc_fleet_member_at (fleet, 1)->fresh);
  now += 2 * RENEWAL_PERIOD;
  apply_list_of_instances_a_and_b (fleet, 2, 5, now);
  cr_assert (lc_fleet_member_at (fleet, 1)->alive);
  cr_assert_not (lc_fleet_member_at (fleet, 1)->fresh);
  lc_fleet_free (fleet);
}

static bool
is_member_confirmed (const LcFleet *fleet, const char *name)
{
  for (size_t i = 0; i < lc_fleet_count_members (fleet); i++)
    if (strcmp (lc_fleet_member_at (fleet, i)->row.name, name) == 0)
      return lc_fleet_member_at (fleet, i)->confirmed;
  return false;
}

/* Makes the fleet of an instance that has just started and listed the row of "b" once, when the
 * store's clock was at 100,000 ms. */
static LcFleet *
make_fleet_after_first_list_with_b (int64_t renewed_ms_of_b)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LcFleetRow b = make_fleet_row ("b", "1");

  b.renewed_ms = renewed_ms_of_b;
  lc_fleet_begin_list (fleet, &(LcFleetList){ .received_at = LB_SEC,
                                              .store_ms = 100000,
                                              .period = RENEWAL_PERIOD });
  lc_fleet_add_row (fleet, &b, 5, LB_SEC);
  lc_fleet_finish_list (fleet, LB_SEC);
  return fleet;
}

/* All processes are killed and start again. One machine was removed 47 s before, but its row is
 * still in the store. An instance that has just started must not give that address to callers,
 * since nothing listens there. */
Test (fleet, an_old_row_seen_for_the_first_time_is_not_confirmed)
{
  LcFleet *fleet = make_fleet_after_first_list_with_b (100000 - 47000);

  cr_assert_not (is_member_confirmed (fleet, "b"));
  cr_assert (is_member_alive (fleet, "b"),
             "expected b to be alive: its batches must not be taken over after a single listing");
  lc_fleet_free (fleet);
}

/* All processes are killed and start again within a second. Callers need the addresses of the
 * instances at once, before each has renewed its row. */
Test (fleet, a_recent_row_seen_for_the_first_time_is_confirmed)
{
  LcFleet *fleet = make_fleet_after_first_list_with_b (100000 - 900);

  cr_assert (is_member_confirmed (fleet, "b"));
  lc_fleet_free (fleet);
}

/* An instance that has had no answer from the store yet does not know the store's clock, and writes
 * its row without the time of renewal. Only the next renewal of this row may confirm to other
 * instances that the instance runs. */
Test (fleet, the_next_renewal_confirms_an_instance)
{
  LcFleet *fleet = make_fleet_after_first_list_with_b (0);
  LcFleetRow b = make_fleet_row ("b", "1");

  cr_assert_not (is_member_confirmed (fleet, "b"));
  lc_fleet_begin_list (fleet,
                       &(LcFleetList){ .received_at = 2 * LB_SEC, .period = RENEWAL_PERIOD });
  lc_fleet_add_row (fleet, &b, 6, 2 * LB_SEC);
  cr_assert (lc_fleet_finish_list (fleet, 2 * LB_SEC),
             "expected a change: the confirmation counts as one");
  cr_assert (is_member_confirmed (fleet, "b"));
  lc_fleet_free (fleet);
}

/* Guards against callers that get the address of a dead instance after a restart of all: the store
 * applies one of its renewals seconds late, which looks like a sign of life. */
Test (fleet, a_renewal_that_the_store_applies_late_does_not_confirm_an_instance)
{
  LcFleet *fleet = make_fleet_after_first_list_with_b (100000 - 47000);
  LcFleetRow b = make_fleet_row ("b", "1");

  b.renewed_ms = 100000 - 46500;
  lc_fleet_begin_list (fleet, &(LcFleetList){ .received_at = 2 * LB_SEC,
                                              .store_ms = 101000,
                                              .period = RENEWAL_PERIOD });
  lc_fleet_add_row (fleet, &b, 6, 2 * LB_SEC);
  lc_fleet_finish_list (fleet, 2 * LB_SEC);
  cr_assert_not (is_member_confirmed (fleet, "b"));
  lc_fleet_free (fleet);
}

/* Guards against a store whose clock began anew: the rows of dead instances are then from the
 * future, which must not count as recent. */
Test (fleet, a_row_from_the_future_is_not_confirmed)
{
  LcFleet *fleet = make_fleet_after_first_list_with_b (900000);

  cr_assert_not (is_member_confirmed (fleet, "b"));
  lc_fleet_free (fleet);
}

Test (fleet, a_row_is_unchanged_after_a_round_trip)
{
  LcFleetRow first = make_fleet_row ("a", "17");
  LcFleetRow second;

  first.draining = true;
  first.renewed_ms = 9;
  struct json_object *object = lc_fleet_row_to_json (&first);
  cr_assert (lc_fleet_row_from_json (object, &second));
  cr_assert_str_eq (second.incarnation, "17");
  cr_assert (second.draining);
  cr_assert_eq (second.renewed_ms, 9);
  cr_assert_eq (second.period, RENEWAL_PERIOD);
  json_object_put (object);
  object = json_tokener_parse ("{\"name\": 3}");
  cr_assert_not (lc_fleet_row_from_json (object, &second));
  json_object_put (object);
}

/* The start time shows which instances a rolling restart has already restarted. It may become known
 * only after the first row was written, and other instances must be told then. A row of the
 * previous build has none. */
Test (fleet, start_time_of_an_instance_is_passed_on)
{
  LcFleet *fleet = lc_fleet_new ("a");
  LcFleetRow row = make_fleet_row ("b", "1");
  LcFleetRow read;
  struct json_object *object = lc_fleet_row_to_json (&row);

  cr_assert (lc_fleet_row_from_json (object, &read));
  cr_assert_eq (read.started_ms, 0);
  json_object_put (object);
  for (int64_t version = 1; version <= 2; version++)
    {
      lc_fleet_begin_list (fleet, &(LcFleetList){ .received_at = version * LB_SEC });
      row.started_ms = version == 2 ? 7000 : 0;
      lc_fleet_add_row (fleet, &row, version, version * LB_SEC);
      cr_assert (lc_fleet_finish_list (fleet, version * LB_SEC));
    }
  char *text = lc_fleet_member_to_text (lc_fleet_member_at (fleet, 0));
  LcFleetMember member;
  cr_assert (lc_fleet_member_from_text (text, &member));
  cr_assert_eq (member.row.started_ms, 7000);
  free (text);
  lc_fleet_free (fleet);
}
