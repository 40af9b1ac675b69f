#include "lp-platform.h"
#include "si-platform.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#define CALL_DEADLINE (600 * LB_MSEC)

/* The HTTP platform and a fake server for it, in one event loop. */
typedef struct
{
  struct event_base *base;
  SiPlatform store;
  LpPlatform *platform;
} HttpPlatformFixture;

typedef struct
{
  int n_callbacks;
  LbErrorCode error;
  int64_t version;
  char key[32];
  char value[64];
  size_t n_rows;
  int order; /* number of transactions answered before this one */
} CallResult;

static int n_answered;

static void
http_platform_fixture_init (HttpPlatformFixture *fixture, double rate)
{
  fixture->base = event_base_new ();
  cr_assert (si_platform_init (&fixture->store, fixture->base, 0));
  LpHttpSettings settings = { .deadline = CALL_DEADLINE, .rate = rate, .seed = 1 };
  strcpy (settings.address, fixture->store.server.address);
  fixture->platform = lp_http_new (fixture->base, &settings);
  n_answered = 0;
}

static void
http_platform_fixture_clear (HttpPlatformFixture *fixture)
{
  fixture->platform->klass->free (fixture->platform);
  si_platform_clear (&fixture->store);
  event_base_free (fixture->base);
}

static void
set_store_fault_from_json (HttpPlatformFixture *fixture, const char *text)
{
  struct json_object *order = json_tokener_parse (text);

  cr_assert (si_faults_set (&fixture->store.faults, order));
  json_object_put (order);
}

static void
copy_transact_answer_to_call_result (LbErrorCode error, const LpRow *row, void *user)
{
  CallResult *result = user;

  result->n_callbacks++;
  result->error = error;
  result->version = row->version;
  result->order = n_answered++;
  strncpy (result->key, row->key, sizeof result->key - 1);
}

static void
copy_rows_to_call_result (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  CallResult *result = user;

  result->n_callbacks++;
  result->error = error;
  result->n_rows = n_rows;
  if (n_rows > 0)
    strncpy (result->value, rows[0].value, sizeof result->value - 1);
}

static void
copy_object_to_call_result (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  CallResult *result = user;

  result->n_callbacks++;
  result->error = error;
  memcpy (result->value, bytes, length < sizeof result->value ? length : 0);
}

static void
copy_weight_version_to_call_result (LbErrorCode error, int64_t version, void *user)
{
  CallResult *result = user;

  result->n_callbacks++;
  result->error = error;
  result->version = version;
}

/* Runs the event loop until the call is answered, at the latest after its deadline. */
static void
wait_for_call_answer (HttpPlatformFixture *fixture, const CallResult *result)
{
  while (result->n_callbacks == 0)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  cr_assert_eq (result->n_callbacks, 1);
}

/* Starts a transaction with the value as its token. A "!" in the value requests a read-back. */
static void
start_row_put (HttpPlatformFixture *fixture,
               const char *key,
               const char *value,
               LpPriority priority,
               CallResult *result)
{
  const LpPut put = { .key = key, .value = value };
  const LpTransaction transaction
      = { .token = value, .puts = &put, .n_puts = 1, .read_back = strchr (value, '!') != NULL };

  memset (result, 0, sizeof *result);
  fixture->platform->klass->transact (fixture->platform, &transaction, priority,
                                      copy_transact_answer_to_call_result, result);
}

static CallResult
put_row_and_wait (HttpPlatformFixture *fixture, const char *key, const char *value)
{
  CallResult result;

  start_row_put (fixture, key, value, LP_PRIORITY_CONFIG, &result);
  wait_for_call_answer (fixture, &result);
  return result;
}

static CallResult
get_row_and_wait (HttpPlatformFixture *fixture, const char *key)
{
  CallResult result = { 0 };

  fixture->platform->klass->get (fixture->platform, key, copy_rows_to_call_result, &result);
  wait_for_call_answer (fixture, &result);
  return result;
}

Test (http, rows_are_written_and_read_back_and_a_failed_condition_is_reported)
{
  HttpPlatformFixture fixture;
  CallResult result;

  http_platform_fixture_init (&fixture, 0);
  result = put_row_and_wait (&fixture, "a/b c&d", "v1");
  cr_assert_eq (result.error, LB_OK);
  cr_assert_gt (result.version, 0);
  result = get_row_and_wait (&fixture, "a/b c&d");
  cr_assert_str_eq (result.value, "v1");
  cr_assert_eq (get_row_and_wait (&fixture, "none").error, LB_ERROR_NOT_FOUND);

  const LpCondition condition = { .key = "a/b c&d", .version = 0 };
  const LpTransaction refused = { .token = "t", .conditions = &condition, .n_conditions = 1 };
  CallResult conflict = { 0 };
  fixture.platform->klass->transact (fixture.platform, &refused, LP_PRIORITY_CONFIG,
                                     copy_transact_answer_to_call_result, &conflict);
  wait_for_call_answer (&fixture, &conflict);
  cr_assert_eq (conflict.error, LB_ERROR_CONDITION_FAILED);
  cr_assert_str_eq (conflict.key, "a/b c&d");
  cr_assert_gt (conflict.version, 0);
  http_platform_fixture_clear (&fixture);
}

Test (http, scan_returns_the_rows_of_all_pages)
{
  HttpPlatformFixture fixture;
  CallResult result = { 0 };
  LpRow row;
  char key[16];

  http_platform_fixture_init (&fixture, 0);
  for (int i = 0; i < 1200; i++)
    {
      snprintf (key, sizeof key, "p/%d", i);
      const LpPut put = { .key = key, .value = "v" };
      const LpTransaction transaction = { .token = key, .puts = &put, .n_puts = 1 };
      lp_store_transact (fixture.store.store, &transaction, &row);
    }
  fixture.platform->klass->scan (fixture.platform, "p/", copy_rows_to_call_result, &result);
  wait_for_call_answer (&fixture, &result);
  cr_assert_eq (result.n_rows, 1200);
  http_platform_fixture_clear (&fixture);
}

Test (http, objects_and_weight_versions_are_read_back)
{
  HttpPlatformFixture fixture;
  CallResult written = { 0 }, read = { 0 }, absent = { 0 }, none = { 0 }, newest = { 0 };

  http_platform_fixture_init (&fixture, 0);
  fixture.platform->klass->put_object (fixture.platform, "s/1", "bytes", 5,
                                       copy_object_to_call_result, &written);
  wait_for_call_answer (&fixture, &written);
  fixture.platform->klass->get_object (fixture.platform, "s/1", copy_object_to_call_result, &read);
  wait_for_call_answer (&fixture, &read);
  cr_assert_str_eq (read.value, "bytes");
  fixture.platform->klass->get_object (fixture.platform, "s/2", copy_object_to_call_result,
                                       &absent);
  wait_for_call_answer (&fixture, &absent);
  cr_assert_eq (absent.error, LB_ERROR_NOT_FOUND);
  fixture.platform->klass->get_weights (fixture.platform, "reader",
                                        copy_weight_version_to_call_result, &none);
  wait_for_call_answer (&fixture, &none);
  cr_assert_eq (none.error, LB_ERROR_NOT_FOUND);
  lp_store_set_weight_version (fixture.store.store, "reader", 41);
  fixture.platform->klass->get_weights (fixture.platform, "reader",
                                        copy_weight_version_to_call_result, &newest);
  wait_for_call_answer (&fixture, &newest);
  cr_assert_eq (newest.version, 41);
  http_platform_fixture_clear (&fixture);
}

/* A write is applied but its reply is lost. The client must neither report a failure nor apply the
 * write twice: it retries with the same token and gets the first outcome. */
Test (http, write_with_a_lost_reply_is_retried_and_applied_once)
{
  HttpPlatformFixture fixture;
  CallResult result;

  http_platform_fixture_init (&fixture, 0);
  set_store_fault_from_json (&fixture, "{\"mode\": \"lose_reply\", \"count\": 1}");
  result = put_row_and_wait (&fixture, "k", "v1");
  cr_assert_eq (result.error, LB_OK);
  cr_assert_eq (fixture.store.writes, 2);
  cr_assert_eq (lp_store_get_row (fixture.store.store, "k")->version, 1);
  cr_assert_eq (result.version, 1);
  http_platform_fixture_clear (&fixture);
}

/* The write is applied, but every reply is lost until the deadline. STORE_AWAY would tell a lease
 * holder or an operator that it was not applied. */
Test (http, write_without_replies_has_an_unknown_outcome)
{
  HttpPlatformFixture fixture;
  CallResult result;

  http_platform_fixture_init (&fixture, 0);
  set_store_fault_from_json (&fixture, "{\"mode\": \"lose_reply\"}");
  result = put_row_and_wait (&fixture, "k", "v1");
  cr_assert_eq (result.error, LB_ERROR_STORE_UNKNOWN);
  cr_assert_str_eq (lp_store_get_row (fixture.store.store, "k")->value, "v1");
  http_platform_fixture_clear (&fixture);
}

/* No reply to the write arrives, but reads are answered and the caller requested a read-back. Its
 * own value in the row proves that the transaction was applied. */
Test (http, unknown_outcome_is_resolved_by_reading_the_row_back)
{
  HttpPlatformFixture fixture;
  CallResult result;

  http_platform_fixture_init (&fixture, 0);
  /* Each attempt of the write times out. The deadline ends the write after too few failures to open
   * the breaker, so the read-back is still sent. */
  set_store_fault_from_json (&fixture,
                             "{\"mode\": \"slow\", \"ms\": 10000, \"path\": \"/table/transact\"}");
  result = put_row_and_wait (&fixture, "k", "mine!");
  cr_assert_eq (result.error, LB_OK);
  cr_assert_eq (result.version, lp_store_get_row (fixture.store.store, "k")->version);
  http_platform_fixture_clear (&fixture);
}

/* Nothing listens at the address. No byte was sent, so the write was certainly not applied. */
Test (http, refused_connection_proves_the_write_not_applied)
{
  HttpPlatformFixture fixture;
  CallResult result;

  http_platform_fixture_init (&fixture, 0);
  LpPlatform *reachable = fixture.platform;
  LpHttpSettings settings = { .deadline = CALL_DEADLINE, .seed = 1 };
  SiPlatform gone;
  cr_assert (si_platform_init (&gone, fixture.base, 0));
  strcpy (settings.address, gone.server.address);
  si_platform_clear (&gone);
  fixture.platform = lp_http_new (fixture.base, &settings);
  result = put_row_and_wait (&fixture, "k", "v1");
  cr_assert_eq (result.error, LB_ERROR_STORE_AWAY);
  fixture.platform->klass->free (fixture.platform);
  fixture.platform = reachable;
  http_platform_fixture_clear (&fixture);
}

/* While the store hangs, calls must not each wait for their deadline. After a few failures they
 * fail immediately as not applied, and are not sent. The client must use a recovered store without
 * a restart. */
Test (http, breaker_fails_fast_and_recovers_with_the_store)
{
  HttpPlatformFixture fixture;
  CallResult result;

  http_platform_fixture_init (&fixture, 0);
  set_store_fault_from_json (&fixture, "{\"mode\": \"hang\"}");
  for (int i = 0; i < 10; i++)
    put_row_and_wait (&fixture, "k", "v1");
  int64_t before = fixture.store.received;
  result = put_row_and_wait (&fixture, "k", "v2");
  cr_assert_eq (result.error, LB_ERROR_STORE_AWAY);
  cr_assert_eq (fixture.store.received, before);
  set_store_fault_from_json (&fixture, "{\"mode\": \"none\"}");
  while ((result = put_row_and_wait (&fixture, "k", "v3")).error != LB_OK)
    cr_assert_eq (result.error, LB_ERROR_STORE_AWAY);
  cr_assert_str_eq (get_row_and_wait (&fixture, "k").value, "v3");
  http_platform_fixture_clear (&fixture);
}

Test (http, busy_store_is_retried_then_reported_at_the_deadline)
{
  HttpPlatformFixture fixture;
  CallResult result;

  http_platform_fixture_init (&fixture, 0);
  set_store_fault_from_json (&fixture, "{\"mode\": \"busy\", \"count\": 2}");
  cr_assert_eq (put_row_and_wait (&fixture, "k", "v1").error, LB_OK);
  set_store_fault_from_json (&fixture, "{\"mode\": \"busy\"}");
  result = put_row_and_wait (&fixture, "k", "v2");
  cr_assert_eq (result.error, LB_ERROR_STORE_BUSY);
  cr_assert_str_eq (lp_store_get_row (fixture.store.store, "k")->value, "v1");
  http_platform_fixture_clear (&fixture);
}

/* A burst of status rows uses up an instance's rate limit when its lease must be renewed. If the
 * renewal waited behind the status rows, the lease would expire and another instance would take
 * over the work of a healthy one. */
Test (http, lease_is_sent_before_status_rows_at_the_rate_limit)
{
  HttpPlatformFixture fixture;
  CallResult status[30];
  CallResult lease;
  char value[16];

  http_platform_fixture_init (&fixture, 40);
  for (int i = 0; i < 30; i++)
    {
      snprintf (value, sizeof value, "s%d", i);
      start_row_put (&fixture, value, value, LP_PRIORITY_STATUS, &status[i]);
    }
  start_row_put (&fixture, "lease", "l", LP_PRIORITY_LEASE, &lease);
  wait_for_call_answer (&fixture, &lease);
  cr_assert_eq (lease.error, LB_OK);
  cr_assert_lt (lease.order, 12);
  http_platform_fixture_clear (&fixture);
}
