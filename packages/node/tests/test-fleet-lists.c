#include "ln-fleet-lists.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lp-platform.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PERIOD (500 * LB_MSEC)

typedef struct
{
  LcFleetRow row;
  int64_t version;
  bool is_gone; /* renews no more */
} Instance;

/* A store that holds the rows of two instances, both in one part, and answers at once. */
typedef struct
{
  LpPlatform platform; /* first */
  Instance instances[2];
  int64_t version;
} Store;

static int64_t
store_ms (const LpPlatform *platform)
{
  (void)platform;
  return lb_clock_monotonic () / LB_MSEC;
}

static void
store_list (LpPlatform *platform,
            const char *prefix,
            const char *from,
            int64_t limit,
            LpListDone done,
            void *user)
{
  (void)from;
  (void)limit;
  Store *store = (Store *)platform;
  LpRow rows[2] = { { 0 } };
  struct json_object *objects[2];
  size_t n = strcmp (prefix, "instance/0/") == 0 ? 2 : 0;

  for (size_t i = 0; i < n; i++)
    {
      objects[i] = lc_fleet_row_to_json (&store->instances[i].row);
      rows[i] = (LpRow){ .key = store->instances[i].row.name,
                         .value = json_object_to_json_string (objects[i]),
                         .version = store->instances[i].version };
    }
  done (LB_OK, rows, n, store->version, user);
  for (size_t i = 0; i < n; i++)
    json_object_put (objects[i]);
}

static const LpPlatformClass store_class
    = { .name = "test", .list = store_list, .store_ms = store_ms };

static void
renew (Store *store)
{
  for (size_t i = 0; i < 2; i++)
    if (!store->instances[i].is_gone)
      {
        store->instances[i].version = ++store->version;
        store->instances[i].row.renewed_ms = store_ms (&store->platform);
      }
}

static void
store_init (Store *store)
{
  static const char *const names[] = { "b", "gone" };

  memset (store, 0, sizeof *store);
  store->platform.klass = &store_class;
  for (size_t i = 0; i < 2; i++)
    {
      LcFleetRow *row = &store->instances[i].row;
      *row = (LcFleetRow){ .ready = true, .period = PERIOD };
      LB_COPY (row->name, names[i]);
      LB_COPY (row->incarnation, "1");
      LB_COPY (row->caller_address, "10.0.0.1:80");
    }
}

static void
on_change (void *user)
{
  (void)user;
}

static const LcFleetMember *
find (const LnFleetLists *lists, const char *name)
{
  for (size_t i = 0; i < ln_fleet_lists_count (lists); i++)
    if (strcmp (ln_fleet_lists_at (lists, i)->row.name, name) == 0)
      return ln_fleet_lists_at (lists, i);
  return NULL;
}

/* An instance lists the others when it starts, then relies on what another one lists. A machine is
 * taken away. Half a minute later the instance lists for itself again: it remembered the machine as
 * one that lived, took the time without lists for an outage of the store, and named the machine to
 * all callers. */
Test (fleet_lists, who_left_while_another_one_listed_is_not_confirmed)
{
  Store store;

  store_init (&store);
  LnFleetLists *lists = ln_fleet_lists_new (&store.platform, "a", on_change, NULL);
  renew (&store);
  ln_fleet_lists_tick (lists, lb_clock_monotonic ());
  cr_assert (find (lists, "gone")->confirmed);
  ln_fleet_lists_set_catalog_followed (lists, true);
  store.instances[1].is_gone = true;
  usleep (3 * PERIOD + PERIOD);
  renew (&store);
  ln_fleet_lists_set_catalog_followed (lists, false);
  ln_fleet_lists_tick (lists, lb_clock_monotonic ());
  cr_assert_not (find (lists, "gone")->confirmed);
  cr_assert (find (lists, "b")->confirmed);
  ln_fleet_lists_free (lists);
}
