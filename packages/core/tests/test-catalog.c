/* Simulates instances, endpoints and the store in virtual time, with faults drawn from a seed. */
#include "lc-catalog.h"
#include "lc-registration.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIME_STEP (10 * LB_MSEC)
#define STEPS_PER_TICK 5
#define STEPS_PER_RANK_UPDATE 200 /* steps between two updates of the takeover ranks */
#define LISTING_PERIOD (400 * LB_MSEC)
#define MAX_FEED_WAIT (700 * LB_MSEC)
#define CALL_TIMEOUT LB_SEC /* time after which a call without an answer is abandoned */
#define MAX_ENDPOINTS 250
#define MAX_ROWS (MAX_ENDPOINTS + 2)
#define MAX_INSTANCES 300
/* Longest time after an endpoint starts to leave in which instances may still send it new work. */
#define MAX_LEAVING_DELAY (1900 * LB_MSEC)

typedef struct
{
  char key[LB_NAME_MAX];
  char *value; /* NULL: the row was deleted */
  int64_t version;
} Row;

typedef struct
{
  LcRegistration registration;
  bool exists;
  LbTime changed_at;
} Endpoint;

typedef struct
{
  LbTime arrives_at; /* when the call reaches the store; 0: no call in progress */
  LbTime answers_at; /* when the answer reaches the caller; LB_TIME_NEVER: unknown yet, or lost */
  LbTime abandoned_at;
  bool is_carried_out;
  /* result of a list call */
  LcRegistration *list;
  size_t n_list;
  int64_t store_ms;
  /* contents and result of a write call */
  LcCatalogWrite write;
  bool ok;
  /* range of a change feed call */
  int64_t from_version;
  int64_t to_version; /* last table version that the answer includes */
} Call;

typedef struct
{
  LcCatalog *catalog;
  int start;
  LbTime cut_off_until;
  LbTime paused_until;
  LbTime in_contact_since; /* latest time at which the instance was paused or cut off from the
                              store, or started */
  Call list, write, feed;
  LbTime next_listing_at;
  int64_t followed_version; /* version of the store's table up to which this instance has read the
                               change feed; 0: none yet */
  LcRegistration snapshot[MAX_ENDPOINTS];
  size_t n_snapshot;
  LbTime valid_at;
  int64_t n_listings;
} Instance;

typedef struct
{
  gsl_rng *rng;
  LbTime now;
  int64_t version;
  Row rows[MAX_ROWS];
  size_t n_rows;
  Endpoint endpoints[MAX_ENDPOINTS];
  size_t n_endpoints;
  Instance instances[MAX_INSTANCES];
  size_t n_instances;
  LbTime outage_until; /* end of the store's outage */
  int64_t n_listings;
  int64_t n_listed_rows;
  int64_t n_feed_rows;
} World;

static double
draw_uniform_fraction (World *w)
{
  return gsl_rng_uniform (w->rng);
}

static LbTime
draw_store_latency (World *w)
{
  return 2 * LB_MSEC + (LbTime)(draw_uniform_fraction (w) * 8 * LB_MSEC);
}

static bool
is_instance_cut_off_from_store (const World *w, const Instance *instance)
{
  return w->now < instance->cut_off_until || w->now < w->outage_until;
}

static bool
is_instance_paused (const World *w, const Instance *instance)
{
  return w->now < instance->paused_until;
}

static void
clear_store_call (Call *call)
{
  free (call->list);
  lc_catalog_write_clear (&call->write);
  memset (call, 0, sizeof *call);
}

static void
start_store_call (World *w, Call *call)
{
  call->arrives_at = w->now + draw_store_latency (w);
  call->answers_at = LB_TIME_NEVER;
  call->abandoned_at = w->now + CALL_TIMEOUT;
}

static void
restart_instance (World *w, size_t index)
{
  Instance *instance = &w->instances[index];
  char name[16], incarnation[16];

  lc_catalog_free (instance->catalog);
  clear_store_call (&instance->list);
  clear_store_call (&instance->write);
  clear_store_call (&instance->feed);
  snprintf (name, sizeof name, "i-%zu", index);
  snprintf (incarnation, sizeof incarnation, "%d", ++instance->start);
  instance->catalog = lc_catalog_new (name, incarnation, (uint64_t)gsl_rng_get (w->rng), w->now);
  instance->followed_version = 0;
  instance->n_snapshot = 0;
  instance->valid_at = 0;
  instance->next_listing_at = w->now;
  instance->in_contact_since = w->now;
}

static void
world_init (World *w, size_t n_instances, size_t n_endpoints, unsigned long seed)
{
  memset (w, 0, sizeof *w);
  w->rng = gsl_rng_alloc (gsl_rng_taus);
  gsl_rng_set (w->rng, seed + 1);
  w->now = 100 * LB_SEC;
  w->version = 1;
  w->n_instances = n_instances;
  w->n_endpoints = n_endpoints;
  for (size_t i = 0; i < n_endpoints; i++)
    {
      LcRegistration *registration = &w->endpoints[i].registration;
      snprintf (registration->name, sizeof registration->name, "s-%zu", i);
      snprintf (registration->address, sizeof registration->address, "10.0.0.%zu:80", i);
      LB_COPY (registration->service, "reader");
      registration->slots = 6;
      w->endpoints[i].exists = true;
    }
  for (size_t i = 0; i < n_instances; i++)
    restart_instance (w, i);
}

static void
world_clear (World *w)
{
  for (size_t i = 0; i < w->n_instances; i++)
    {
      Instance *instance = &w->instances[i];
      lc_catalog_free (instance->catalog);
      clear_store_call (&instance->list);
      clear_store_call (&instance->write);
      clear_store_call (&instance->feed);
    }
  for (size_t i = 0; i < w->n_rows; i++)
    free (w->rows[i].value);
  gsl_rng_free (w->rng);
}

/* --- the store --- */

static Row *
find_table_row (World *w, const char *key)
{
  for (size_t i = 0; i < w->n_rows; i++)
    if (strcmp (w->rows[i].key, key) == 0)
      return &w->rows[i];
  return NULL;
}

static void
put_table_row (World *w, const LcCatalogPut *put)
{
  Row *row = find_table_row (w, put->key);

  if (!row)
    {
      cr_assert_lt (w->n_rows, MAX_ROWS);
      row = &w->rows[w->n_rows++];
      LB_COPY (row->key, put->key);
    }
  free (row->value);
  row->value = put->value ? lb_strdup (put->value) : NULL;
  row->version = w->version;
}

static void
apply_write_call_to_table (World *w, Call *call)
{
  const Row *row = find_table_row (w, lc_catalog_publisher_key ());
  int64_t version = row && row->value ? row->version : 0;

  call->ok = version == call->write.expected_version;
  if (!call->ok)
    return;
  w->version++;
  for (size_t i = 0; i < call->write.n_puts; i++)
    put_table_row (w, &call->write.puts[i]);
}

static void
read_endpoints_for_list (World *w, Call *call)
{
  call->list = LB_NEW_ARRAY (LcRegistration, MAX_ENDPOINTS);
  for (size_t i = 0; i < w->n_endpoints; i++)
    if (w->endpoints[i].exists)
      call->list[call->n_list++] = w->endpoints[i].registration;
  call->store_ms = w->now / LB_MSEC;
  w->n_listings++;
  w->n_listed_rows += (int64_t)call->n_list;
}

/* --- an instance --- */

static void
replace_snapshot_if_newer (
    World *w, Instance *instance, const LcRegistration *list, size_t n, LbTime valid_at)
{
  (void)w;
  if (valid_at < instance->valid_at)
    return;
  instance->valid_at = valid_at;
  memcpy (instance->snapshot, list, n * sizeof *list);
  instance->n_snapshot = n;
}

static void
set_catalog_listing (LcCatalog *catalog, const LcRegistration *list, size_t n, int64_t store_ms)
{
  LcCatalogItem *items = LB_NEW_ARRAY (LcCatalogItem, n + 1);

  for (size_t i = 0; i < n; i++)
    items[i] = (LcCatalogItem){ .key = lb_asprintf ("e:%s", list[i].name),
                                .value = lc_registration_to_json (&list[i]) };
  lc_catalog_set_listing (catalog, "e:", items, n, store_ms);
}

typedef struct
{
  LcRegistration list[MAX_ENDPOINTS];
  size_t n;
} Snapshot;

static void
append_row_to_snapshot (const char *name, const char *text, int64_t version, void *user)
{
  (void)version;
  Snapshot *snapshot = user;

  cr_assert (lc_registration_from_json (text, &snapshot->list[snapshot->n]));
  cr_assert_str_eq (snapshot->list[snapshot->n].name, name);
  snapshot->n++;
}

static size_t
read_catalog_snapshot (const LcCatalog *catalog, Snapshot *snapshot)
{
  snapshot->n = 0;
  lc_catalog_foreach_row (catalog, "e:", append_row_to_snapshot, snapshot);
  return snapshot->n;
}

static void
apply_list_answer_to_instance (World *w, Instance *instance)
{
  Call *call = &instance->list;

  set_catalog_listing (instance->catalog, call->list, call->n_list, call->store_ms);
  replace_snapshot_if_newer (w, instance, call->list, call->n_list, call->store_ms * LB_MSEC);
  instance->n_listings++;
}

static void
apply_feed_answer_to_instance (World *w, Instance *instance)
{
  Call *call = &instance->feed;
  bool is_base = call->from_version == 0;

  if (is_base)
    lc_catalog_begin_snapshot (instance->catalog);
  for (size_t i = 0; i < w->n_rows; i++)
    {
      const Row *row = &w->rows[i];
      if (row->version <= call->from_version || row->version > call->to_version
          || (is_base && !row->value))
        continue;
      lc_catalog_apply_row (instance->catalog, row->key, row->value, row->version);
      w->n_feed_rows++;
    }
  instance->followed_version = call->to_version;
  if (!lc_catalog_finish_update (instance->catalog, call->store_ms, w->now))
    return;
  static Snapshot snapshot;
  read_catalog_snapshot (instance->catalog, &snapshot);
  replace_snapshot_if_newer (w, instance, snapshot.list, snapshot.n,
                             lc_catalog_snapshot_valid_at (instance->catalog));
}

/* Returns true if the table was written after the answer left the store. The simulation reads the
 * table only when an answer arrives, so such an answer would hold later rows and must be requested
 * again. */
static bool
is_feed_answer_outdated (const World *w, const Call *call)
{
  return call->to_version < w->version;
}

static void
carry_out_and_answer_feed_call_if_due (World *w, Instance *instance)
{
  Call *call = &instance->feed;

  if (call->arrives_at == 0 || is_instance_cut_off_from_store (w, instance))
    return;
  if (call->answers_at == LB_TIME_NEVER && w->now >= call->arrives_at
      && (call->from_version == 0 || w->version > call->from_version
          || w->now >= call->arrives_at + MAX_FEED_WAIT))
    {
      call->to_version = w->version;
      call->store_ms = w->now / LB_MSEC;
      call->answers_at = w->now + draw_store_latency (w);
    }
  if (w->now < call->answers_at || is_instance_paused (w, instance))
    return;
  if (!is_feed_answer_outdated (w, call))
    apply_feed_answer_to_instance (w, instance);
  clear_store_call (call);
}

static void
carry_out_and_answer_list_call_if_due (World *w, Instance *instance)
{
  Call *call = &instance->list;

  if (call->arrives_at == 0)
    return;
  if (!call->is_carried_out && w->now >= call->arrives_at
      && !is_instance_cut_off_from_store (w, instance))
    {
      read_endpoints_for_list (w, call);
      call->is_carried_out = true;
      call->answers_at = w->now + draw_store_latency (w);
    }
  if (is_instance_paused (w, instance))
    return;
  if (call->is_carried_out && w->now >= call->answers_at
      && !is_instance_cut_off_from_store (w, instance))
    apply_list_answer_to_instance (w, instance);
  else if (w->now < call->abandoned_at)
    return;
  clear_store_call (call);
}

/* Simulates the write call of the instance: its arrival at the store, and its answer or timeout at
 * the instance. The store may carry out a write that the instance has abandoned, and the answer may
 * be lost. */
static void
carry_out_and_answer_write_call_if_due (World *w, Instance *instance)
{
  Call *call = &instance->write;

  if (call->arrives_at == 0)
    return;
  if (!call->is_carried_out && w->now >= call->arrives_at
      && !is_instance_cut_off_from_store (w, instance))
    {
      apply_write_call_to_table (w, call);
      call->is_carried_out = true;
      call->answers_at
          = draw_uniform_fraction (w) < 0.02 ? LB_TIME_NEVER : w->now + draw_store_latency (w);
    }
  if (is_instance_paused (w, instance))
    return;
  if (w->now < call->answers_at && w->now < call->abandoned_at)
    return;
  if (!call->is_carried_out || w->now < call->answers_at || !call->ok)
    lc_catalog_write_failed (instance->catalog, call->write.expected_version);
  clear_store_call (call);
}

static void
start_due_store_calls_of_instance (World *w, Instance *instance)
{
  LcCatalogWrite write;

  if (instance->feed.arrives_at == 0)
    {
      instance->feed.from_version = instance->followed_version;
      start_store_call (w, &instance->feed);
    }
  if (instance->list.arrives_at == 0 && w->now >= instance->next_listing_at
      && lc_catalog_needs_listing (instance->catalog, w->now))
    {
      instance->next_listing_at = w->now + LISTING_PERIOD;
      start_store_call (w, &instance->list);
    }
  if (instance->write.arrives_at != 0 && !instance->write.is_carried_out)
    return;
  if (lc_catalog_prepare_write (instance->catalog, w->now, &write))
    {
      clear_store_call (&instance->write);
      start_store_call (w, &instance->write);
      instance->write.write = write;
    }
}

static bool
is_instance_healthy (const World *w, const Instance *instance)
{
  return w->now >= instance->cut_off_until + LB_SEC && !is_instance_paused (w, instance);
}

/* Sets the order in which instances take over from a lost publisher: the first three healthy
 * instances, by index and without the publisher, get takeover ranks 0 to 2; all others get -1. */
static void
update_takeover_rank (World *w, size_t index)
{
  Instance *instance = &w->instances[index];
  const char *publisher = lc_catalog_publisher_name (instance->catalog);
  int rank = 0;

  for (size_t i = 0; i < index && !lc_catalog_is_publisher (instance->catalog); i++)
    {
      char name[16];
      snprintf (name, sizeof name, "i-%zu", i);
      rank += is_instance_healthy (w, &w->instances[i]) && strcmp (name, publisher) != 0;
    }
  lc_catalog_set_takeover_rank (instance->catalog,
                                is_instance_healthy (w, instance) && rank < 3 ? rank : -1);
}

static void
update_all_takeover_ranks (World *w)
{
  for (size_t i = 0; i < w->n_instances; i++)
    update_takeover_rank (w, i);
}

static void
reset_store_contact_start_if_paused_or_cut_off (World *w, Instance *instance)
{
  if (is_instance_cut_off_from_store (w, instance) || is_instance_paused (w, instance))
    instance->in_contact_since = w->now;
}

static bool
is_endpoint_leaving_in_snapshot (const Instance *instance, const char *name)
{
  for (size_t i = 0; i < instance->n_snapshot; i++)
    if (strcmp (instance->snapshot[i].name, name) == 0)
      return instance->snapshot[i].leaving;
  return true;
}

/* Asserts that the instance, if in contact with the store, no longer sees an endpoint as available
 * that has been leaving for longer than MAX_LEAVING_DELAY. */
static void
assert_snapshot_shows_leaving_endpoints (World *w, const Instance *instance, unsigned long seed)
{
  for (size_t i = 0; i < w->n_endpoints; i++)
    {
      const Endpoint *endpoint = &w->endpoints[i];
      LbTime visible_since = endpoint->changed_at > instance->in_contact_since
                                 ? endpoint->changed_at
                                 : instance->in_contact_since;
      if ((endpoint->registration.leaving || !endpoint->exists)
          && w->now - visible_since > MAX_LEAVING_DELAY)
        cr_assert (is_endpoint_leaving_in_snapshot (instance, endpoint->registration.name),
                   "seed %lu: %s is not seen as leaving after %lld ms", seed,
                   endpoint->registration.name, (long long)((w->now - visible_since) / LB_MSEC));
    }
}

static void
simulate_one_time_step (World *w, unsigned long seed)
{
  w->now += TIME_STEP;
  if ((w->now / TIME_STEP) % STEPS_PER_RANK_UPDATE == 0)
    update_all_takeover_ranks (w);
  for (size_t i = 0; i < w->n_instances; i++)
    {
      Instance *instance = &w->instances[i];
      reset_store_contact_start_if_paused_or_cut_off (w, instance);
      carry_out_and_answer_write_call_if_due (w, instance);
      carry_out_and_answer_list_call_if_due (w, instance);
      carry_out_and_answer_feed_call_if_due (w, instance);
      if ((w->now / TIME_STEP + (LbTime)i) % STEPS_PER_TICK == 0
          && !is_instance_paused (w, instance))
        start_due_store_calls_of_instance (w, instance);
      if ((w->now / TIME_STEP + (LbTime)i) % 10 == 0 && !is_instance_paused (w, instance))
        assert_snapshot_shows_leaving_endpoints (w, instance, seed);
    }
}

static void
run_simulation_for (World *w, LbTime time, unsigned long seed)
{
  for (LbTime end = w->now + time; w->now < end;)
    simulate_one_time_step (w, seed);
}

static void
toggle_random_endpoint_state (World *w)
{
  Endpoint *endpoint = &w->endpoints[gsl_rng_uniform_int (w->rng, w->n_endpoints)];

  if (draw_uniform_fraction (w) < 0.5)
    endpoint->registration.leaving = !endpoint->registration.leaving;
  else
    endpoint->exists = !endpoint->exists;
  endpoint->changed_at = w->now;
}

static void
inject_random_fault (World *w)
{
  size_t index = gsl_rng_uniform_int (w->rng, w->n_instances);
  Instance *instance = &w->instances[draw_uniform_fraction (w) < 0.5 ? index % 4 : index];
  double kind = draw_uniform_fraction (w);

  if (kind < 0.3)
    instance->cut_off_until = w->now + (LbTime)(draw_uniform_fraction (w) * 4 * LB_SEC);
  else if (kind < 0.6)
    instance->paused_until = w->now + (LbTime)(draw_uniform_fraction (w) * 3 * LB_SEC);
  else if (kind < 0.9)
    restart_instance (w, (size_t)(instance - w->instances));
  else if (kind < 0.95)
    w->outage_until = w->now + (LbTime)(draw_uniform_fraction (w) * 3 * LB_SEC);
  else
    for (size_t i = 0; i < w->n_instances; i++)
      restart_instance (w, i);
}

static void
assert_snapshots_match_store (const World *w, unsigned long seed)
{
  for (size_t i = 0; i < w->n_instances; i++)
    {
      const Instance *instance = &w->instances[i];
      size_t n = 0;
      for (size_t k = 0; k < w->n_endpoints; k++)
        n += w->endpoints[k].exists;
      cr_assert_eq (instance->n_snapshot, n, "seed %lu: instance %zu has %zu of %zu endpoints",
                    seed, i, instance->n_snapshot, n);
      for (size_t k = 0; k < w->n_endpoints; k++)
        if (w->endpoints[k].exists)
          cr_assert_eq (is_endpoint_leaving_in_snapshot (instance,
                                                         w->endpoints[k].registration.name),
                        w->endpoints[k].registration.leaving,
                        "seed %lu: instance %zu has the wrong leaving state for endpoint %zu", seed,
                        i, k);
    }
}

static void
run_random_fault_scenario (size_t n_instances, size_t n_endpoints, LbTime time, unsigned long seed)
{
  World *w = LB_NEW (World);

  world_init (w, n_instances, n_endpoints, seed);
  for (LbTime end = w->now + time; w->now < end;)
    {
      run_simulation_for (w, (LbTime)(draw_uniform_fraction (w) * LB_SEC), seed);
      if (draw_uniform_fraction (w) < 0.5)
        inject_random_fault (w);
      toggle_random_endpoint_state (w);
    }
  for (size_t i = 0; i < w->n_instances; i++)
    w->instances[i].cut_off_until = w->instances[i].paused_until = 0;
  w->outage_until = 0;
  run_simulation_for (w, 2 * LB_SEC, seed);
  assert_snapshots_match_store (w, seed);
  world_clear (w);
  free (w);
}

/* Instances die, are paused or cut off, the store fails, all instances lose power, and endpoints
 * register, leave and disappear meanwhile. Two seconds after the last fault every snapshot must
 * match the store. At no time may an instance in contact with the store send work to an endpoint
 * that has been leaving for too long. */
Test (catalog, snapshots_match_the_store_after_the_last_fault, .timeout = 300)
{
  const char *seeds = getenv ("CATALOG_SEEDS");
  unsigned long n = seeds ? strtoul (seeds, NULL, 10) : 12;

  for (unsigned long seed = 0; seed < n; seed++)
    run_random_fault_scenario (30, seed % 5 == 0 ? 240 : 20, 20 * LB_SEC, seed);
}

Test (catalog, snapshots_match_the_store_with_three_hundred_instances, .timeout = 300)
{
  run_random_fault_scenario (300, 60, 15 * LB_SEC, 7);
}

/* Guards against instances that list the endpoints' rows themselves although nothing changes.
 * Without the catalog (the list that one instance publishes for all), 300 instances that each list
 * 60 endpoints read 45,000 rows a second; with it they must stay below 180 listed rows and 900
 * change feed rows a second. */
Test (catalog, an_unchanged_site_reads_few_rows)
{
  World *w = LB_NEW (World);

  world_init (w, 300, 60, 1);
  run_simulation_for (w, 5 * LB_SEC, 1);
  w->n_listed_rows = 0;
  w->n_feed_rows = 0;
  run_simulation_for (w, 10 * LB_SEC, 1);
  cr_assert_leq (w->n_listed_rows, 30 * 60, "%lld rows listed in 10 s, at most 1800 expected",
                 (long long)w->n_listed_rows);
  cr_assert_leq (w->n_feed_rows, 300 * 30,
                 "%lld rows read from the change feed in 10 s, at most 9000 expected",
                 (long long)w->n_feed_rows);
  world_clear (w);
  free (w);
}

/* The publisher loses power. The next candidate must publish before any other instance has to list
 * the rows itself: 300 instances that list at the same time would overload the store. */
Test (catalog, a_dead_publisher_is_replaced_before_others_list)
{
  World *w = LB_NEW (World);
  int64_t before = 0;

  world_init (w, 100, 40, 3);
  run_simulation_for (w, 5 * LB_SEC, 3);
  cr_assert (lc_catalog_is_publisher (w->instances[0].catalog));
  w->instances[0].paused_until = w->now + 10 * LB_SEC;
  for (size_t i = 4; i < w->n_instances; i++)
    before += w->instances[i].n_listings;
  run_simulation_for (w, 3 * LB_SEC, 3);
  for (size_t i = 4; i < w->n_instances; i++)
    before -= w->instances[i].n_listings;
  cr_assert_eq (before, 0, "followers listed the rows %lld times, expected none",
                (long long)-before);
  world_clear (w);
  free (w);
}

#define PUBLISHER_ROW(ms, whole)                                                                   \
  "{\"publisher\":\"p\",\"incarnation\":\"1\",\"epoch\":1,\"listed_ms\":" ms ",\"whole\":" whole "}"
#define REGISTRATION(name)                                                                         \
  "{\"name\":\"" name                                                                              \
  "\",\"address\":\"10.0.0.1:80\",\"service\":\"s\",\"slots\":1,\"leaving\":false}"

/* The write of a published endpoint list is delayed by two seconds: the list is too old when it
 * arrives, and must not be used. */
Test (catalog, a_delayed_snapshot_is_not_used)
{
  LcCatalog *catalog = lc_catalog_new ("a", "1", 0, LB_SEC);

  lc_catalog_begin_snapshot (catalog);
  lc_catalog_apply_row (catalog, "e:s-1", REGISTRATION ("s-1"), 2);
  lc_catalog_apply_row (catalog, "publisher", PUBLISHER_ROW ("5000", "true"), 3);
  cr_assert_not (lc_catalog_finish_update (catalog, 7000, LB_SEC));
  cr_assert_not (lc_catalog_is_snapshot_fresh (catalog, LB_SEC));
  lc_catalog_apply_row (catalog, "publisher", PUBLISHER_ROW ("7000", "true"), 4);
  cr_assert (lc_catalog_finish_update (catalog, 7100, 2 * LB_SEC));
  cr_assert (lc_catalog_is_snapshot_fresh (catalog, 2 * LB_SEC));
  lc_catalog_free (catalog);
}

/* More endpoint rows changed than the publisher can put into one write of its list: instances must
 * not use the list before the remaining rows have arrived. */
Test (catalog, an_incomplete_listing_is_not_used)
{
  LcCatalog *catalog = lc_catalog_new ("a", "1", 0, LB_SEC);
  static Snapshot snapshot;

  lc_catalog_begin_snapshot (catalog);
  lc_catalog_apply_row (catalog, "e:s-1", REGISTRATION ("s-1"), 2);
  lc_catalog_apply_row (catalog, "publisher", PUBLISHER_ROW ("5000", "false"), 2);
  cr_assert_not (lc_catalog_finish_update (catalog, 5010, LB_SEC));
  cr_assert_not (lc_catalog_is_snapshot_fresh (catalog, LB_SEC));
  lc_catalog_apply_row (catalog, "e:s-2", REGISTRATION ("s-2"), 3);
  lc_catalog_apply_row (catalog, "publisher", PUBLISHER_ROW ("5000", "true"), 3);
  cr_assert (lc_catalog_finish_update (catalog, 5020, LB_SEC));
  cr_assert_eq (read_catalog_snapshot (catalog, &snapshot), 2);
  cr_assert_eq (lc_catalog_snapshot_valid_at (catalog), LB_SEC - 20 * LB_MSEC);
  lc_catalog_free (catalog);
}

/* The store dropped its change history while this instance was cut off, and with it the deletion of
 * an endpoint's row. The instance reads all rows again and must drop the rows that are missing. */
Test (catalog, rows_read_anew_replace_the_old_ones)
{
  LcCatalog *catalog = lc_catalog_new ("a", "1", 0, LB_SEC);
  static Snapshot snapshot;

  lc_catalog_begin_snapshot (catalog);
  lc_catalog_apply_row (catalog, "e:s-1", REGISTRATION ("s-1"), 2);
  lc_catalog_apply_row (catalog, "e:s-2", REGISTRATION ("s-2"), 2);
  lc_catalog_apply_row (catalog, "publisher", PUBLISHER_ROW ("5000", "true"), 3);
  cr_assert (lc_catalog_finish_update (catalog, 5000, LB_SEC));
  lc_catalog_begin_snapshot (catalog);
  lc_catalog_apply_row (catalog, "e:s-2", REGISTRATION ("s-2"), 2);
  lc_catalog_apply_row (catalog, "publisher", PUBLISHER_ROW ("6000", "true"), 9);
  cr_assert (lc_catalog_finish_update (catalog, 6000, 2 * LB_SEC));
  cr_assert_eq (read_catalog_snapshot (catalog, &snapshot), 1);
  cr_assert_str_eq (snapshot.list[0].name, "s-2");
  lc_catalog_free (catalog);
}

/* The publisher stopped, and this instance must not publish. It must list the endpoints itself
 * early enough to notice an endpoint that leaves. */
Test (catalog, a_snapshot_expires_without_a_publisher)
{
  LcCatalog *catalog = lc_catalog_new ("a", "1", 299999, LB_SEC);

  lc_catalog_begin_snapshot (catalog);
  lc_catalog_apply_row (catalog, "publisher", PUBLISHER_ROW ("5000", "true"), 3);
  cr_assert (lc_catalog_finish_update (catalog, 5000, LB_SEC));
  cr_assert_not (lc_catalog_needs_listing (catalog, LB_SEC + 850 * LB_MSEC));
  cr_assert (lc_catalog_needs_listing (catalog, LB_SEC + 1250 * LB_MSEC));
  lc_catalog_free (catalog);
}

/* A publisher lists 200 endpoints for the first time: none of the writes that publish the list may
 * exceed the limit of the store's transactions. */
Test (catalog, a_long_listing_is_split_into_several_writes)
{
  enum
  {
    N = 200
  };
  LcCatalog *catalog = lc_catalog_new ("a", "1", 0, LB_SEC);
  LcRegistration *list = LB_NEW_ARRAY (LcRegistration, N);
  LcCatalogWrite write;
  LbTime now = 10 * LB_SEC;
  int64_t version = 0;
  int writes = 0;

  for (int i = 0; i < N; i++)
    {
      snprintf (list[i].name, sizeof list[i].name, "s-%d", i);
      LB_COPY (list[i].address, "10.0.0.1:80");
      LB_COPY (list[i].service, "s");
      list[i].slots = 1;
    }
  lc_catalog_set_takeover_rank (catalog, 0);
  set_catalog_listing (catalog, list, N, 5000);
  while (lc_catalog_prepare_write (catalog, now, &write))
    {
      cr_assert_leq (write.n_puts, 99);
      cr_assert_eq (write.expected_version, version);
      version++;
      writes++;
      for (size_t i = 0; i < write.n_puts; i++)
        lc_catalog_apply_row (catalog, write.puts[i].key, write.puts[i].value, version);
      bool has_snapshot = lc_catalog_finish_update (catalog, 5000, now);
      cr_assert_eq (has_snapshot, writes == 3);
      lc_catalog_write_clear (&write);
    }
  cr_assert_eq (writes, 3);
  cr_assert (lc_catalog_is_publisher (catalog));
  free (list);
  lc_catalog_free (catalog);
}

Test (catalog, a_registration_is_unchanged_after_a_round_trip)
{
  LcRegistration registration = { .slots = 6, .n_models = 2, .leaving = true };
  LcRegistration read;

  LB_COPY (registration.name, "s-1");
  LB_COPY (registration.address, "10.0.0.1:80");
  LB_COPY (registration.service, "reader");
  LB_COPY (registration.models[0].name, "m0");
  LB_COPY (registration.models[1].name, "m1");
  char *text = lc_registration_to_json (&registration);
  cr_assert (lc_registration_from_json (text, &read));
  char *again = lc_registration_to_json (&read);
  cr_assert_str_eq (again, text);
  free (again);
  free (text);
}

Test (catalog, invalid_registrations_are_rejected)
{
  static const char *const texts[]
      = { "", "{}", "[]", "{\"name\":\"a\",\"address\":\"b\",\"service\":\"c\",\"slots\":0}",
          "{\"name\":\"a\",\"address\":\"b\",\"service\":\"c\",\"slots\":1,\"models\":[1]}" };
  LcRegistration registration;

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    cr_assert_not (lc_registration_from_json (texts[i], &registration),
                   "the invalid registration '%s' was accepted", texts[i]);
}

/* Guards against instances that list the endpoints' rows themselves, because a publisher with a
 * long period has not published its next list yet. */
Test (catalog, timeouts_scale_with_the_publishers_period)
{
  LcCatalog *catalog = lc_catalog_new ("a", "1", 0, LB_SEC);

  lc_catalog_apply_row (catalog, lc_catalog_publisher_key (),
                        "{\"publisher\":\"b\",\"incarnation\":\"1\",\"epoch\":1,"
                        "\"listed_ms\":1000,\"period_ms\":1000,\"whole\":true}",
                        5);
  cr_assert (lc_catalog_finish_update (catalog, 1000 + 2000, LB_SEC),
             "a snapshot that is two periods old was rejected");
  cr_assert_eq (lc_catalog_publisher_listing_period (catalog), LB_SEC);
  cr_assert (lc_catalog_is_snapshot_fresh (catalog, LB_SEC + 2 * LB_SEC));
  cr_assert_not (lc_catalog_is_snapshot_fresh (catalog, LB_SEC + 2300 * LB_MSEC));
  lc_catalog_set_takeover_rank (catalog, 0);
  cr_assert_not (lc_catalog_needs_listing (catalog, LB_SEC + 1400 * LB_MSEC));
  cr_assert (lc_catalog_needs_listing (catalog, LB_SEC + 1600 * LB_MSEC));
  lc_catalog_free (catalog);
}
