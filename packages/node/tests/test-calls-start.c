#include "node-fixture.h"

#include "lc-fingerprint.h"

/* A fake store. Answers the scan for crash reports only when the test calls
 * answer_scan_with_crash_reports. */
typedef struct
{
  LpPlatform platform;   /* first member, because callbacks cast LpPlatform * to SlowStore * */
  LpRowsDone on_scanned; /* NULL: no scan pending */
  void *user;
} SlowStore;

static void
slow_store_scan (LpPlatform *platform, const char *prefix, LpRowsDone done, void *user)
{
  (void)prefix;
  SlowStore *store = (SlowStore *)platform;

  store->on_scanned = done;
  store->user = user;
}

static void
slow_store_free (LpPlatform *platform)
{
  (void)platform;
}

static const LpPlatformClass slow_store_class
    = { .name = "slow", .free = slow_store_free, .scan = slow_store_scan };

/* Answers the pending scan with three endpoints' crash reports for the call with path and body. */
static void
answer_scan_with_crash_reports (SlowStore *store, const char *path, const char *body)
{
  char content[LC_FINGERPRINT_TEXT_SIZE];
  LpRow rows[3];

  lc_fingerprint_to_text (lc_fingerprint_of_request ("", "POST", NULL, path, body, strlen (body)),
                          content);
  for (int i = 0; i < 3; i++)
    rows[i] = (LpRow){ .key = lb_asprintf ("crash/all/e%d", i),
                       .value
                       = lb_asprintf ("{\"endpoint\":\"e%d\",\"contents\":[\"%s\"]}", i, content) };
  store->on_scanned (LB_OK, rows, 3, store->user);
  for (int i = 0; i < 3; i++)
    {
      free ((char *)rows[i].key);
      free ((char *)rows[i].value);
    }
}

static void
expect_call_is_refused_with_error (Fixture *f, const char *error)
{
  TestConnection caller;

  caller_connect (f, &caller);
  caller_send_post (&caller, "/services/s/order", "", "BAD");
  FIXTURE_WAIT_UNTIL (f, connection_has_received (&caller, "not_run"));
  cr_assert (strstr (caller.text, error), "expected %s, got %s", error, caller.text);
  connection_close (&caller);
}

/* After a restart of all instances, one instance on a busy machine had received its configuration
 * but not the crash reports yet. The instance accepted a call that had already crashed three
 * endpoints, and the call crashed the fourth and last endpoint. */
Test (calls_start, calls_are_refused_until_crash_reports_are_known)
{
  SlowStore store = { .platform.klass = &slow_store_class };
  Fixture f;
  TestConnection service = { 0 };
  LbName address;
  int listener = fixture_open_listener (address);

  fixture_init_settings_and_event_base (&f);
  f.context.platform = &store.platform;
  fixture_start_front_and_calls (&f);
  fixture_apply_engines_and_services (&f, NULL, (const char *[]){ address, NULL });
  expect_call_is_refused_with_error (&f, "not_ready");
  cr_assert (store.on_scanned);
  answer_scan_with_crash_reports (&store, "/order", "BAD");
  expect_call_is_refused_with_error (&f, "quarantined");
  cr_assert_not (endpoint_try_accept_call (listener, &service),
                 "the call was sent to the endpoint: %s", service.text);
  fixture_clear (&f);
  close (listener);
}
