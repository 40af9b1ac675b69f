#include "lc-entry.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define COUNT 12
#define CALLERS 24000

/* Twelve instances in three data centres. */
static void
make_views (LcMemberView *views)
{
  memset (views, 0, COUNT * sizeof *views);
  for (int i = 0; i < COUNT; i++)
    {
      LcInstance *instance = &views[i].instance;
      views[i].alive = true;
      snprintf (instance->name, LB_NAME_MAX, "instance-%d", i);
      snprintf (instance->data_centre, LB_NAME_MAX, "hall-%c", 'a' + i % 3);
      snprintf (instance->caller_address, LB_NAME_MAX, "127.0.0.1:%d", 8000 + i);
    }
}

static LcEntryChoice
choose (const LcMemberView *views, int caller, const char *data_centre)
{
  LcEntryChoice entry;
  char name[32];

  snprintf (name, sizeof name, "caller-%d", caller);
  lc_entry_choose (&entry, views, COUNT, name, data_centre);
  return entry;
}

static void
count_first (const LcMemberView *views, const char *data_centre, int *counts)
{
  memset (counts, 0, COUNT * sizeof *counts);
  for (int caller = 0; caller < CALLERS; caller++)
    counts[choose (views, caller, data_centre).chosen[0]]++;
}

Test (entry, nearest_data_centre_first_with_a_second_elsewhere)
{
  LcMemberView views[COUNT];

  make_views (views);
  for (int caller = 0; caller < 1000; caller++)
    {
      LcEntryChoice entry = choose (views, caller, "hall-b");
      cr_assert_eq (entry.n_chosen, 3);
      cr_assert_str_eq (views[entry.chosen[0]].instance.data_centre, "hall-b");
      cr_assert_str_neq (views[entry.chosen[1]].instance.data_centre, "hall-b");
      cr_assert_str_eq (views[entry.chosen[2]].instance.data_centre, "hall-b");
      cr_assert_neq (entry.chosen[0], entry.chosen[2]);
    }
}

Test (entry, callers_spread_evenly_and_by_load)
{
  LcMemberView views[COUNT];
  int counts[COUNT];

  make_views (views);
  count_first (views, "hall-a", counts);
  for (int i = 0; i < COUNT; i += 3)
    cr_assert (counts[i] > CALLERS / 4 * 95 / 100 && counts[i] < CALLERS / 4 * 105 / 100,
               "%d of %d", counts[i], CALLERS);
  views[0].instance.load = 500;
  count_first (views, "hall-a", counts);
  cr_assert (counts[0] > CALLERS / 7 * 9 / 10 && counts[0] < CALLERS / 7 * 11 / 10);
}

/* One instance is replaced, and all callers are sent to other instances than before: caches are
 * cold everywhere and long connections are opened anew. Only the callers of the lost one may move.
 */
Test (entry, the_loss_of_one_moves_only_its_callers)
{
  LcMemberView views[COUNT];

  make_views (views);
  for (int caller = 0; caller < 2000; caller++)
    {
      views[3].alive = true;
      LcEntryChoice before = choose (views, caller, "hall-a");
      views[3].alive = false;
      LcEntryChoice after = choose (views, caller, "hall-a");
      if (before.chosen[0] != 3)
        cr_assert_eq (before.chosen[0], after.chosen[0]);
      if (before.chosen[0] == 3)
        cr_assert_eq (before.chosen[2], after.chosen[0]);
      cr_assert_eq (before.chosen[1], after.chosen[1]);
    }
}

/* A caller is sent to an instance that drains, or that does not answer: its call is refused or
 * waits for a timeout. With a whole data centre lost, the addresses must be those of others. */
Test (entry, draining_and_suspected_instances_are_never_named)
{
  LcMemberView views[COUNT];
  size_t named = 0;

  make_views (views);
  for (int i = 0; i < COUNT; i += 3)
    {
      views[i].alive = i % 2 == 0;
      views[i].draining = i % 2 == 0;
    }
  views[1].instance.caller_address[0] = '\0';
  for (int caller = 0; caller < 2000; caller++)
    {
      LcEntryChoice entry = choose (views, caller, "hall-a");
      for (size_t i = 0; i < entry.n_chosen; i++)
        {
          cr_assert_neq (entry.chosen[i] % 3, 0);
          cr_assert_neq (entry.chosen[i], 1);
        }
      named += entry.n_chosen;
    }
  cr_assert_eq (named, 6000);
  for (int i = 0; i < COUNT; i++)
    views[i].draining = true;
  cr_assert_eq (choose (views, 1, "hall-a").n_chosen, 0);
}
