#include "lc-entry.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define N_INSTANCES 12
#define N_CALLERS 24000

/* Fills in live instances in three data centres. */
static void
make_views_of_live_instances (LcMemberView *views)
{
  memset (views, 0, N_INSTANCES * sizeof *views);
  for (int i = 0; i < N_INSTANCES; i++)
    {
      LcInstance *instance = &views[i].instance;
      views[i].alive = true;
      snprintf (instance->name, LB_NAME_MAX, "instance-%d", i);
      snprintf (instance->data_centre, LB_NAME_MAX, "hall-%c", 'a' + i % 3);
      snprintf (instance->caller_address, LB_NAME_MAX, "127.0.0.1:%d", 8000 + i);
    }
}

static LcEntryChoice
choose_instances_for_caller (const LcMemberView *views, int caller, const char *data_centre)
{
  LcEntryChoice choice;
  char name[32];

  snprintf (name, sizeof name, "caller-%d", caller);
  lc_entry_choose_instances (&choice, views, N_INSTANCES, name, data_centre);
  return choice;
}

static void
count_callers_by_first_instance (const LcMemberView *views, const char *data_centre, int *counts)
{
  memset (counts, 0, N_INSTANCES * sizeof *counts);
  for (int caller = 0; caller < N_CALLERS; caller++)
    counts[choose_instances_for_caller (views, caller, data_centre).chosen[0]]++;
}

Test (entry, first_address_in_own_data_centre_second_elsewhere)
{
  LcMemberView views[N_INSTANCES];

  make_views_of_live_instances (views);
  for (int caller = 0; caller < 1000; caller++)
    {
      LcEntryChoice choice = choose_instances_for_caller (views, caller, "hall-b");
      cr_assert_eq (choice.n_chosen, 3);
      cr_assert_str_eq (views[choice.chosen[0]].instance.data_centre, "hall-b");
      cr_assert_str_neq (views[choice.chosen[1]].instance.data_centre, "hall-b");
      cr_assert_str_eq (views[choice.chosen[2]].instance.data_centre, "hall-b");
      cr_assert_neq (choice.chosen[0], choice.chosen[2]);
    }
}

Test (entry, callers_are_distributed_evenly_and_by_load)
{
  LcMemberView views[N_INSTANCES];
  int counts[N_INSTANCES];

  make_views_of_live_instances (views);
  count_callers_by_first_instance (views, "hall-a", counts);
  for (int i = 0; i < N_INSTANCES; i += 3)
    cr_assert (counts[i] > N_CALLERS / 4 * 95 / 100 && counts[i] < N_CALLERS / 4 * 105 / 100,
               "%d of %d callers, expected a quarter with a tolerance of 5 %%", counts[i],
               N_CALLERS);
  views[0].instance.load = 500;
  count_callers_by_first_instance (views, "hall-a", counts);
  cr_assert (counts[0] > N_CALLERS / 7 * 9 / 10 && counts[0] < N_CALLERS / 7 * 11 / 10);
}

/* If the loss of one instance moved all callers to other instances, caches would be cold on all
 * instances and long-lived connections would be reopened. Only the callers of the lost instance may
 * move. */
Test (entry, loss_of_an_instance_moves_only_its_callers)
{
  LcMemberView views[N_INSTANCES];

  make_views_of_live_instances (views);
  for (int caller = 0; caller < 2000; caller++)
    {
      views[3].alive = true;
      LcEntryChoice before = choose_instances_for_caller (views, caller, "hall-a");
      views[3].alive = false;
      LcEntryChoice after = choose_instances_for_caller (views, caller, "hall-a");
      if (before.chosen[0] != 3)
        cr_assert_eq (before.chosen[0], after.chosen[0]);
      if (before.chosen[0] == 3)
        cr_assert_eq (before.chosen[2], after.chosen[0]);
      cr_assert_eq (before.chosen[1], after.chosen[1]);
    }
}

/* A call to a draining instance is rejected, and a call to a suspected instance may time out. If
 * all instances of a data centre are lost, the addresses must be in other data centres. */
Test (entry, draining_and_suspected_instances_are_never_chosen)
{
  LcMemberView views[N_INSTANCES];
  size_t n_chosen = 0;

  make_views_of_live_instances (views);
  for (int i = 0; i < N_INSTANCES; i += 3)
    {
      views[i].alive = i % 2 == 0;
      views[i].draining = i % 2 == 0;
    }
  views[1].instance.caller_address[0] = '\0';
  for (int caller = 0; caller < 2000; caller++)
    {
      LcEntryChoice choice = choose_instances_for_caller (views, caller, "hall-a");
      for (size_t i = 0; i < choice.n_chosen; i++)
        {
          cr_assert_neq (choice.chosen[i] % 3, 0);
          cr_assert_neq (choice.chosen[i], 1);
        }
      n_chosen += choice.n_chosen;
    }
  cr_assert_eq (n_chosen, 6000);
  for (int i = 0; i < N_INSTANCES; i++)
    views[i].draining = true;
  cr_assert_eq (choose_instances_for_caller (views, 1, "hall-a").n_chosen, 0);
}
