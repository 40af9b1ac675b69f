#include "ln-fleet-lists.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lc-duty.h"
#include "lp-platform.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_HIGH_CAPACITY_INSTANCES 200 /* instances on machines of high capacity */

typedef struct
{
  char key[LN_FLEET_KEY_SIZE];
  char *value;
} Row;

/* Fake store with one row for each instance of a fleet. It answers at once and counts the list
 * calls and the returned rows. */
typedef struct
{
  LpPlatform platform; /* first member, because callbacks cast LpPlatform * to Store * */
  Row *rows;           /* sorted by key */
  size_t n_rows;
  size_t n_lists;
  size_t n_rows_returned;
} Store;

static int64_t
get_store_clock_ms (const LpPlatform *platform)
{
  (void)platform;
  return lb_clock_monotonic () / LB_MSEC;
}

static void
list_store_rows (LpPlatform *platform,
                 const char *prefix,
                 const char *from,
                 int64_t limit,
                 LpListDone done,
                 void *user)
{
  (void)from;
  Store *store = (Store *)platform;
  LpRow *rows = LB_NEW_ARRAY (LpRow, store->n_rows + 1);
  size_t n = 0;

  for (size_t i = 0; i < store->n_rows && (limit == 0 || n < (size_t)limit); i++)
    if (strncmp (store->rows[i].key, prefix, strlen (prefix)) == 0)
      rows[n++] = (LpRow){ .key = store->rows[i].key,
                           .value = store->rows[i].value,
                           .version = (int64_t)i + 1 };
  store->n_lists++;
  store->n_rows_returned += n;
  done (LB_OK, rows, n, (int64_t)store->n_rows, user);
  free (rows);
}

static const LpPlatformClass store_class
    = { .name = "test", .list = list_store_rows, .store_clock_ms = get_store_clock_ms };

static int
compare_rows_by_key (const void *a, const void *b)
{
  return strcmp (((const Row *)a)->key, ((const Row *)b)->key);
}

static void
format_instance_name (size_t index, char *name)
{
  snprintf (name, LB_NAME_MAX, "front-%zu", index);
}

static void
store_init (Store *store, size_t n_instances)
{
  *store = (Store){ .platform.klass = &store_class,
                    .rows = LB_NEW_ARRAY (Row, n_instances),
                    .n_rows = n_instances };
  for (size_t i = 0; i < n_instances; i++)
    {
      LcFleetRow row = { .ready = true, .period = LB_SEC };
      row.strength = i < N_HIGH_CAPACITY_INSTANCES ? lc_duty_machine_strength (0.5, 600)
                                                   : lc_duty_machine_strength (0.12, 60);
      row.renewed_ms = get_store_clock_ms (&store->platform);
      format_instance_name (i, row.name);
      LB_COPY (row.incarnation, "1");
      LB_COPY (row.caller_address, "10.0.0.1:80");
      ln_fleet_row_format_key (&row, false, store->rows[i].key);
      struct json_object *object = lc_fleet_row_to_json (&row);
      store->rows[i].value = lb_strdup (json_object_to_json_string (object));
      json_object_put (object);
    }
  qsort (store->rows, n_instances, sizeof *store->rows, compare_rows_by_key);
}

static void
store_clear (Store *store)
{
  for (size_t i = 0; i < store->n_rows; i++)
    free (store->rows[i].value);
  free (store->rows);
}

static void
on_members_changed (void *user)
{
  (void)user;
}

static size_t
count_high_capacity_members (const LnFleetLists *lists)
{
  size_t n = 0;

  for (size_t i = 0; i < ln_fleet_lists_count_members (lists); i++)
    n += ln_fleet_lists_get_member (lists, i)->row.strength == lc_duty_machine_strength (0.5, 600);
  return n;
}

/* Guards against costs that grow with the fleet: list calls that return more rows, and a directory
 * (the list of instances that each instance keeps) with more entries. */
Test (fleet_directory, listing_cost_does_not_grow_with_the_fleet)
{
  const size_t sizes[] = { 1000, 2000 };

  for (size_t i = 0; i < 2; i++)
    {
      Store store;
      store_init (&store, sizes[i]);
      LnFleetLists *lists
          = ln_fleet_lists_new (&store.platform, "front-0", on_members_changed, NULL);
      ln_fleet_lists_tick (lists, lb_clock_monotonic ());
      cr_assert_eq (store.n_rows_returned, LN_FLEET_DIRECTORY_MAX);
      cr_assert_leq (store.n_lists, 9);
      cr_assert_eq (ln_fleet_lists_count_members (lists), LN_FLEET_DIRECTORY_MAX);
      cr_assert_geq (count_high_capacity_members (lists) * 100, LN_FLEET_DIRECTORY_MAX * 80);
      ln_fleet_lists_free (lists);
      store_clear (&store);
    }
}

/* Guards against a directory (the list of instances that each instance keeps) that lacks some
 * instances although the fleet is small enough to list all. */
Test (fleet_directory, directory_contains_every_instance_of_a_small_fleet)
{
  Store store;

  store_init (&store, 100);
  LnFleetLists *lists = ln_fleet_lists_new (&store.platform, "front-0", on_members_changed, NULL);
  ln_fleet_lists_tick (lists, lb_clock_monotonic ());
  cr_assert_eq (ln_fleet_lists_count_members (lists), 100);
  cr_assert_not (ln_fleet_lists_omits_instance (lists, "front-99"));
  cr_assert_not (ln_fleet_lists_omits_instance (lists, "unknown"));
  ln_fleet_lists_free (lists);
  store_clear (&store);
}

Test (fleet_directory, instances_outside_the_directory_are_reported_as_omitted)
{
  Store store;
  size_t n_omitted = 0;
  LbName name;

  store_init (&store, 1000);
  LnFleetLists *lists = ln_fleet_lists_new (&store.platform, "front-0", on_members_changed, NULL);
  ln_fleet_lists_tick (lists, lb_clock_monotonic ());
  for (size_t i = 0; i < 1000; i++)
    {
      format_instance_name (i, name);
      n_omitted += ln_fleet_lists_omits_instance (lists, name);
    }
  cr_assert_eq (n_omitted, 1000 - LN_FLEET_DIRECTORY_MAX);
  ln_fleet_lists_free (lists);
  store_clear (&store);
}
