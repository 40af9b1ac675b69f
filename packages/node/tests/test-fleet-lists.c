#include "ln-fleet-lists.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lp-platform.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RENEWAL_PERIOD (500 * LB_MSEC)

typedef struct
{
  LcFleetRow row;
  int64_t version;
  bool has_stopped; /* the machine was removed: the instance no longer renews its row */
} Instance;

/* Fake store with the rows of two instances, both in one partition. It answers at once. */
typedef struct
{
  LpPlatform platform; /* first member, because callbacks cast LpPlatform * to Store * */
  Instance instances[2];
  int64_t version;
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
    = { .name = "test", .list = list_store_rows, .store_clock_ms = get_store_clock_ms };

static void
renew_all_rows (Store *store)
{
  for (size_t i = 0; i < 2; i++)
    if (!store->instances[i].has_stopped)
      {
        store->instances[i].version = ++store->version;
        store->instances[i].row.renewed_ms = get_store_clock_ms (&store->platform);
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
      *row = (LcFleetRow){ .ready = true, .period = RENEWAL_PERIOD };
      LB_COPY (row->name, names[i]);
      LB_COPY (row->incarnation, "1");
      LB_COPY (row->caller_address, "10.0.0.1:80");
    }
}

static void
on_members_changed (void *user)
{
  (void)user;
}

static const LcFleetMember *
find_member (const LnFleetLists *lists, const char *name)
{
  for (size_t i = 0; i < ln_fleet_lists_count_members (lists); i++)
    if (strcmp (ln_fleet_lists_get_member (lists, i)->row.name, name) == 0)
      return ln_fleet_lists_get_member (lists, i);
  return NULL;
}

/* Guards against callers that get the address of a removed machine. An instance reads the member
 * list that another one publishes (the catalog) while a machine is removed. When the instance
 * listed rows itself again half a minute later, it treated the time without lists as a store
 * outage and counted the machine as alive. */
Test (fleet_lists, an_instance_removed_while_the_catalog_is_followed_is_not_confirmed)
{
  Store store;

  store_init (&store);
  LnFleetLists *lists = ln_fleet_lists_new (&store.platform, "a", on_members_changed, NULL);
  renew_all_rows (&store);
  ln_fleet_lists_tick (lists, lb_clock_monotonic ());
  cr_assert (find_member (lists, "gone")->confirmed);
  ln_fleet_lists_set_catalog_followed (lists, true);
  store.instances[1].has_stopped = true;
  usleep (3 * RENEWAL_PERIOD + RENEWAL_PERIOD);
  renew_all_rows (&store);
  ln_fleet_lists_set_catalog_followed (lists, false);
  ln_fleet_lists_tick (lists, lb_clock_monotonic ());
  cr_assert_not (find_member (lists, "gone")->confirmed);
  cr_assert (find_member (lists, "b")->confirmed);
  ln_fleet_lists_free (lists);
}
