#include "lp-platform.h"
#include "si-platform.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#define DEADLINE (600 * LB_MSEC)

/* The HTTP adapter and the stand-in of the platform in one event loop. */
typedef struct
{
  struct event_base *base;
  SiPlatform store;
  LpPlatform *platform;
} Bench;

typedef struct
{
  int calls;
  LbErrorCode error;
  int64_t version;
  char key[32];
  char value[64];
  size_t n_rows;
  int order; /* how many of its kind were answered before */
} Seen;

static int answered;

static void
bench_init (Bench *bench, double rate)
{
  bench->base = event_base_new ();
  cr_assert (si_platform_init (&bench->store, bench->base, 0));
  LpHttpSettings settings = { .deadline = DEADLINE, .rate = rate, .seed = 1 };
  strcpy (settings.address, bench->store.server.address);
  bench->platform = lp_http_new (bench->base, &settings);
  answered = 0;
}

static void
bench_clear (Bench *bench)
{
  bench->platform->klass->free (bench->platform);
  si_platform_clear (&bench->store);
  event_base_free (bench->base);
}

static void
set_fault (Bench *bench, const char *text)
{
  struct json_object *order = json_tokener_parse (text);

  cr_assert (si_faults_set (&bench->store.faults, order));
  json_object_put (order);
}

static void
on_transact (LbErrorCode error, const LpRow *row, void *user)
{
  Seen *seen = user;

  seen->calls++;
  seen->error = error;
  seen->version = row->version;
  seen->order = answered++;
  strncpy (seen->key, row->key, sizeof seen->key - 1);
}

static void
on_rows (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Seen *seen = user;

  seen->calls++;
  seen->error = error;
  seen->n_rows = n_rows;
  if (n_rows > 0)
    strncpy (seen->value, rows[0].value, sizeof seen->value - 1);
}

static void
on_object (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Seen *seen = user;

  seen->calls++;
  seen->error = error;
  memcpy (seen->value, bytes, length < sizeof seen->value ? length : 0);
}

static void
on_weights (LbErrorCode error, int64_t version, void *user)
{
  Seen *seen = user;

  seen->calls++;
  seen->error = error;
  seen->version = version;
}

/* Every call is answered at the latest after its deadline, so this ends. */
static void
wait_for (Bench *bench, const Seen *seen)
{
  while (seen->calls == 0)
    event_base_loop (bench->base, EVLOOP_ONCE);
  cr_assert_eq (seen->calls, 1);
}

static void
start_put (Bench *bench, const char *key, const char *value, LpPriority priority, Seen *seen)
{
  const LpPut put = { .key = key, .value = value };
  const LpTransaction transaction
      = { .token = value, .puts = &put, .n_puts = 1, .read_back = strchr (value, '!') != NULL };

  memset (seen, 0, sizeof *seen);
  bench->platform->klass->transact (bench->platform, &transaction, priority, on_transact, seen);
}

static Seen
put (Bench *bench, const char *key, const char *value)
{
  Seen seen;

  start_put (bench, key, value, LP_PRIORITY_CONFIG, &seen);
  wait_for (bench, &seen);
  return seen;
}

static Seen
get (Bench *bench, const char *key)
{
  Seen seen = { 0 };

  bench->platform->klass->get (bench->platform, key, on_rows, &seen);
  wait_for (bench, &seen);
  return seen;
}

Test (http, table_round_trip)
{
  Bench bench;
  Seen seen;

  bench_init (&bench, 0);
  seen = put (&bench, "a/b c&d", "v1");
  cr_assert_eq (seen.error, LB_OK);
  cr_assert_gt (seen.version, 0);
  seen = get (&bench, "a/b c&d");
  cr_assert_str_eq (seen.value, "v1");
  cr_assert_eq (get (&bench, "none").error, LB_ERROR_NOT_FOUND);

  const LpCondition condition = { .key = "a/b c&d", .version = 0 };
  const LpTransaction refused = { .token = "t", .conditions = &condition, .n_conditions = 1 };
  Seen conflict = { 0 };
  bench.platform->klass->transact (bench.platform, &refused, LP_PRIORITY_CONFIG, on_transact,
                                   &conflict);
  wait_for (&bench, &conflict);
  cr_assert_eq (conflict.error, LB_ERROR_CONDITION_FAILED);
  cr_assert_str_eq (conflict.key, "a/b c&d");
  cr_assert_gt (conflict.version, 0);
  bench_clear (&bench);
}

Test (http, scan_gathers_all_pages)
{
  Bench bench;
  Seen seen = { 0 };
  LpRow row;
  char key[16];

  bench_init (&bench, 0);
  for (int i = 0; i < 1200; i++)
    {
      snprintf (key, sizeof key, "p/%d", i);
      const LpPut put = { .key = key, .value = "v" };
      const LpTransaction transaction = { .token = key, .puts = &put, .n_puts = 1 };
      lp_store_transact (bench.store.store, &transaction, &row);
    }
  bench.platform->klass->scan (bench.platform, "p/", on_rows, &seen);
  wait_for (&bench, &seen);
  cr_assert_eq (seen.n_rows, 1200);
  bench_clear (&bench);
}

Test (http, objects_and_weights)
{
  Bench bench;
  Seen written = { 0 }, read = { 0 }, absent = { 0 }, none = { 0 }, newest = { 0 };

  bench_init (&bench, 0);
  bench.platform->klass->put_object (bench.platform, "s/1", "bytes", 5, on_object, &written);
  wait_for (&bench, &written);
  bench.platform->klass->get_object (bench.platform, "s/1", on_object, &read);
  wait_for (&bench, &read);
  cr_assert_str_eq (read.value, "bytes");
  bench.platform->klass->get_object (bench.platform, "s/2", on_object, &absent);
  wait_for (&bench, &absent);
  cr_assert_eq (absent.error, LB_ERROR_NOT_FOUND);
  bench.platform->klass->get_weights (bench.platform, "reader", on_weights, &none);
  wait_for (&bench, &none);
  cr_assert_eq (none.error, LB_ERROR_NOT_FOUND);
  lp_store_set_weights (bench.store.store, "reader", 41);
  bench.platform->klass->get_weights (bench.platform, "reader", on_weights, &newest);
  wait_for (&bench, &newest);
  cr_assert_eq (newest.version, 41);
  bench_clear (&bench);
}

/* An operator's change is applied, and its reply is lost. The client must neither report a failure
 * nor apply it twice: it asks again with the same token and is told the first outcome. */
Test (http, lost_reply_is_asked_for_again_and_applied_once)
{
  Bench bench;
  Seen seen;

  bench_init (&bench, 0);
  set_fault (&bench, "{\"mode\": \"lose_reply\", \"count\": 1}");
  seen = put (&bench, "k", "v1");
  cr_assert_eq (seen.error, LB_OK);
  cr_assert_eq (bench.store.writes, 2);
  cr_assert_eq (lp_store_get (bench.store.store, "k")->version, 1);
  cr_assert_eq (seen.version, 1);
  bench_clear (&bench);
}

/* Every reply is lost until the deadline: the write is there, so STORE_AWAY, which says "surely not
 * applied", would be a lie on which a lease holder or an operator acts. */
Test (http, write_without_any_reply_is_unknown_and_never_away)
{
  Bench bench;
  Seen seen;

  bench_init (&bench, 0);
  set_fault (&bench, "{\"mode\": \"lose_reply\"}");
  seen = put (&bench, "k", "v1");
  cr_assert_eq (seen.error, LB_ERROR_STORE_UNKNOWN);
  cr_assert_str_eq (lp_store_get (bench.store.store, "k")->value, "v1");
  bench_clear (&bench);
}

/* As above, but reads are answered and the caller asked for the read-back: its own value in the row
 * proves that the transaction was applied. */
Test (http, unknown_write_is_read_back_when_asked)
{
  Bench bench;
  Seen seen;

  bench_init (&bench, 0);
  /* Slow, so that the attempts are fewer than the failures which open the breaker. */
  set_fault (&bench, "{\"mode\": \"slow\", \"ms\": 10000, \"path\": \"/table/transact\"}");
  seen = put (&bench, "k", "mine!");
  cr_assert_eq (seen.error, LB_OK);
  cr_assert_eq (seen.version, lp_store_get (bench.store.store, "k")->version);
  bench_clear (&bench);
}

/* Nobody listens: no byte left this process, so the write is surely not applied and the caller may
 * be told so. */
Test (http, refused_connection_is_away)
{
  Bench bench;
  Seen seen;

  bench_init (&bench, 0);
  LpPlatform *reachable = bench.platform;
  LpHttpSettings settings = { .deadline = DEADLINE, .seed = 1 };
  SiPlatform gone;
  cr_assert (si_platform_init (&gone, bench.base, 0));
  strcpy (settings.address, gone.server.address);
  si_platform_clear (&gone);
  bench.platform = lp_http_new (bench.base, &settings);
  seen = put (&bench, "k", "v1");
  cr_assert_eq (seen.error, LB_ERROR_STORE_AWAY);
  bench.platform->klass->free (bench.platform);
  bench.platform = reachable;
  bench_clear (&bench);
}

/* The store hangs for long. Calls must not each wait for it: after a few failures they are refused
 * at once, surely not applied, with no further load on the store; and when it is back it is used
 * again without a restart. */
Test (http, breaker_fails_fast_and_finds_the_store_again)
{
  Bench bench;
  Seen seen;

  bench_init (&bench, 0);
  set_fault (&bench, "{\"mode\": \"hang\"}");
  for (int i = 0; i < 10; i++)
    put (&bench, "k", "v1");
  int64_t before = bench.store.received;
  seen = put (&bench, "k", "v2");
  cr_assert_eq (seen.error, LB_ERROR_STORE_AWAY);
  cr_assert_eq (bench.store.received, before);
  set_fault (&bench, "{\"mode\": \"none\"}");
  while ((seen = put (&bench, "k", "v3")).error != LB_OK)
    cr_assert_eq (seen.error, LB_ERROR_STORE_AWAY);
  cr_assert_str_eq (get (&bench, "k").value, "v3");
  bench_clear (&bench);
}

Test (http, busy_is_retried_and_then_said)
{
  Bench bench;
  Seen seen;

  bench_init (&bench, 0);
  set_fault (&bench, "{\"mode\": \"busy\", \"count\": 2}");
  cr_assert_eq (put (&bench, "k", "v1").error, LB_OK);
  set_fault (&bench, "{\"mode\": \"busy\"}");
  seen = put (&bench, "k", "v2");
  cr_assert_eq (seen.error, LB_ERROR_STORE_BUSY);
  cr_assert_str_eq (lp_store_get (bench.store.store, "k")->value, "v1");
  bench_clear (&bench);
}

/* A burst of status rows fills this instance's own rate just as its lease is due. Were the renewal
 * to wait its turn, the lease would lapse and another instance take over a healthy one's work. */
Test (http, lease_goes_before_status_when_the_rate_is_used_up)
{
  Bench bench;
  Seen status[30];
  Seen lease;
  char value[16];

  bench_init (&bench, 40);
  for (int i = 0; i < 30; i++)
    {
      snprintf (value, sizeof value, "s%d", i);
      start_put (&bench, value, value, LP_PRIORITY_STATUS, &status[i]);
    }
  start_put (&bench, "lease", "l", LP_PRIORITY_LEASE, &lease);
  wait_for (&bench, &lease);
  cr_assert_eq (lease.error, LB_OK);
  cr_assert_lt (lease.order, 12);
  bench_clear (&bench);
}
