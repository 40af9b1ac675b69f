#include "lc-succession.h"

#include "lb-alloc.h"
#include "lc-duty.h"

#include <criterion/criterion.h>
#include <stdio.h>

#define N_MEMBERS 16
#define RESTART_BEGAN_MS 100000
#define STRONG 300000
#define WEAK 7200 /* 0.12 of a core and 60 Mbit/s */

static LcSuccessor members[N_MEMBERS];

/* Instances m0, m1, ... of the same strength, none of which was restarted. */
static void
create_members (void)
{
  for (int i = 0; i < N_MEMBERS; i++)
    {
      members[i] = (LcSuccessor){ .strength = STRONG, .started_ms = 1000 };
      snprintf (members[i].name, sizeof members[i].name, "m%d", i);
    }
}

TestSuite (succession, .init = create_members);

static void
restart_members (int first, int n)
{
  for (int i = first; i < first + n; i++)
    members[i].started_ms = RESTART_BEGAN_MS + 1000 * (i + 1);
}

static size_t
choose (const char *model, const char *current, bool in_restart, LcSuccessionReason *reason)
{
  const LcSuccessionQuery query = { .model = model,
                                    .current = current,
                                    .restart_began_ms = in_restart ? RESTART_BEGAN_MS : 0,
                                    .is_restart_continuing = in_restart };

  return lc_succession_choose (&query, members, N_MEMBERS, reason);
}

/* During a rolling restart batches were handed to instances that were stopped next; one batch had
 * four owners within 6 s. */
Test (succession, restarted_instances_come_first_in_a_rolling_restart)
{
  LcSuccessionReason reason;

  restart_members (3, 2);
  members[5].started_ms = 0; /* an instance of the previous build reports no start */
  for (int i = 0; i < 20; i++)
    {
      char model[16];
      snprintf (model, sizeof model, "model-%d", i);
      size_t chosen = choose (model, "stopped", true, &reason);
      cr_assert (chosen == 3 || chosen == 4);
      cr_assert_eq (reason, LC_SUCCESSION_RESTARTED);
    }
  choose ("model-1", "stopped", false, &reason);
  cr_assert_eq (reason, LC_SUCCESSION_STRENGTH);
}

/* The first instances that are restarted may all be weak. If they got the batches of all models,
 * each batch would start late. */
Test (succession, weak_restarted_instances_are_not_preferred_to_strong_ones)
{
  LcSuccessionReason reason;

  restart_members (3, 2);
  members[3].strength = WEAK;
  members[4].strength = WEAK;
  size_t chosen = choose ("model", "", true, &reason);
  cr_assert_eq (reason, LC_SUCCESSION_STRENGTH);
  cr_assert (chosen != 3 && chosen != 4);
}

/* An instance that runs the batches of four models is stopped. The models must not all go to the
 * strongest of the remaining instances. */
Test (succession, models_are_spread_over_instances)
{
  LcSuccessionReason reason;
  int n_used = 0;

  for (int i = 0; i < 12; i++)
    {
      char model[16];
      snprintf (model, sizeof model, "model-%d", i);
      members[choose (model, "", false, &reason)].n_models++;
    }
  for (int i = 0; i < N_MEMBERS; i++)
    {
      n_used += members[i].n_models > 0;
      cr_assert_leq (members[i].n_models, 3);
    }
  cr_assert_geq (n_used, 7);
}

/* A move costs a connection for each slot of each engine, so a rolling restart alone must not move
 * the batches of a model: not away from a restarted owner, and not from any owner before several
 * instances were restarted, or if no restarted instance is as strong. */
Test (succession, running_owner_keeps_new_batches_without_sufficient_evidence)
{
  LcSuccessionReason reason;

  cr_assert_eq (choose ("model", "m9", false, &reason), 9);
  cr_assert_eq (reason, LC_SUCCESSION_SAME_MODEL);
  restart_members (3, 1);
  cr_assert_eq (choose ("model", "m9", true, &reason), 9);
  cr_assert_eq (choose ("model", "m3", true, &reason), 3);
  restart_members (3, 2);
  members[3].strength = WEAK;
  members[4].strength = WEAK;
  cr_assert_eq (choose ("model", "m9", true, &reason), 9);
  create_members ();
  restart_members (3, 2);
  members[9].started_ms = 0;
  cr_assert_eq (choose ("model", "m9", true, &reason), 9);
}

/* A new batch must not join an owner that the rolling restart is going to stop in the middle of the
 * batch. */
Test (succession, new_batches_leave_an_owner_that_is_going_to_be_restarted)
{
  LcSuccessionReason reason;

  restart_members (3, 2);
  size_t chosen = choose ("model", "m9", true, &reason);
  cr_assert (chosen == 3 || chosen == 4);
  cr_assert_eq (reason, LC_SUCCESSION_RESTARTED);
}

/* An instance that was restarted late finds a beginning of the rolling restart that is later than
 * the restart of the model's owner. The owner was restarted all the same, as older members show; if
 * its batches moved again, each move would cost a connection for each slot of each engine. */
Test (succession, restarted_owner_keeps_new_batches_if_the_beginning_seems_later)
{
  LcSuccessionReason reason;

  restart_members (3, 2);
  members[9].started_ms = RESTART_BEGAN_MS - 8000;
  cr_assert_eq (choose ("model", "m9", true, &reason), 9);
  cr_assert_eq (reason, LC_SUCCESSION_SAME_MODEL);
}

Test (succession, no_candidate_gives_no_next_owner)
{
  const LcSuccessionQuery query = { .model = "model", .current = "a" };
  LcSuccessionReason reason;

  cr_assert_eq (lc_succession_choose (&query, members, 0, &reason), 0);
  cr_assert_eq (reason, LC_SUCCESSION_NONE);
}

Test (succession, rolling_restart_begins_with_the_first_draining_instance)
{
  LcRollingRestart restart = { 0 };
  LbTime now = 1000 * LB_SEC;

  lc_rolling_restart_observe (&restart, false, 5000, now);
  cr_assert_eq (lc_rolling_restart_get_beginning (&restart, 1000, members, 0, now), 0);
  lc_rolling_restart_observe (&restart, true, 6000, now);
  lc_rolling_restart_observe (&restart, true, 26000, now + 20 * LB_SEC);
  now += 20 * LB_SEC;
  cr_assert_eq (lc_rolling_restart_get_beginning (&restart, 1, members, 0, now), 6000);
  cr_assert (lc_rolling_restart_is_continuing (&restart, now));
  now += 30 * LB_SEC;
  cr_assert_eq (lc_rolling_restart_get_beginning (&restart, 1, members, 0, now), 6000);
  cr_assert_not (lc_rolling_restart_is_continuing (&restart, now));
  cr_assert_eq (lc_rolling_restart_get_beginning (&restart, 1, members, 0, now + 1), 0);
  /* The next draining instance begins another rolling restart. */
  lc_rolling_restart_observe (&restart, true, 90000, now + LB_SEC);
  cr_assert_eq (lc_rolling_restart_get_beginning (&restart, 1, members, 0, now + LB_SEC), 90000);
}

/* An instance that was itself restarted first sees an instance draining after its own start. If it
 * took that for the beginning, it would not prefer the instances restarted before. */
Test (succession, restarted_instance_finds_the_beginning_by_the_starts_of_others)
{
  LcRollingRestart restart = { 0 };
  LbTime now = 1000 * LB_SEC;

  restart_members (0, 8);
  lc_rolling_restart_observe (&restart, true, RESTART_BEGAN_MS + 9000, now);
  cr_assert_eq (lc_rolling_restart_get_beginning (&restart, members[7].started_ms, members,
                                                  N_MEMBERS, now),
                members[0].started_ms);
  cr_assert_eq (lc_rolling_restart_get_beginning (&restart, members[9].started_ms, members,
                                                  N_MEMBERS, now),
                RESTART_BEGAN_MS + 9000);
}

/* Restarts all instances one after the other in an order unrelated to their names, while each of
 * four models has a running batch. Returns the number of hand-overs. */
static int
count_handovers_in_rolling_restart (bool prefers_restarted)
{
  enum
  {
    N_MODELS = 4
  };
  size_t owners[N_MODELS];
  int n_handovers = 0;
  LcSuccessionReason reason;

  create_members ();
  for (int model = 0; model < N_MODELS; model++)
    {
      owners[model] = (size_t)model;
      members[model].n_models = 1;
    }
  for (int step = 0; step < N_MEMBERS; step++)
    {
      size_t stopped = (size_t)(step * 5 + 7) % N_MEMBERS;
      LcSuccessor others[N_MEMBERS - 1];
      for (size_t i = 0, n = 0; i < N_MEMBERS; i++)
        if (i != stopped)
          others[n++] = members[i];
      for (int model = 0; model < N_MODELS; model++)
        {
          char name[16];
          if (owners[model] != stopped)
            continue;
          snprintf (name, sizeof name, "model-%d", model);
          const LcSuccessionQuery query
              = { .model = name,
                  .current = members[stopped].name,
                  .restart_began_ms = prefers_restarted ? RESTART_BEGAN_MS : 0 };
          size_t chosen = lc_succession_choose (&query, others, N_MEMBERS - 1, &reason);
          owners[model] = chosen + (chosen >= stopped);
          members[owners[model]].n_models++;
          n_handovers++;
        }
      members[stopped].n_models = 0;
      restart_members ((int)stopped, 1);
    }
  return n_handovers;
}

/* Guards against batches that are handed over again and again during a rolling restart. Without the
 * preference for restarted instances the same restart causes more hand-overs. */
Test (succession, each_model_is_handed_over_about_once_in_a_rolling_restart)
{
  int with_preference = count_handovers_in_rolling_restart (true);
  int without_preference = count_handovers_in_rolling_restart (false);

  cr_assert_leq (with_preference, 5);
  cr_assert_gt (without_preference, with_preference,
                "%d hand-overs without the preference, %d with", without_preference,
                with_preference);
}
