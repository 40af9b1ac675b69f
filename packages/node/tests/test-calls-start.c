#include "node-fixture.h"

#include "lc-fingerprint.h"

/* A platform that answers the scan for crashed endpoints when the test says so. */
typedef struct
{
  LpPlatform platform; /* first */
  LpRowsDone scanned;  /* NULL: nobody waits */
  void *user;
} SlowStore;

static void
slow_scan (LpPlatform *platform, const char *prefix, LpRowsDone done, void *user)
{
  (void)prefix;
  SlowStore *store = (SlowStore *)platform;

  store->scanned = done;
  store->user = user;
}

static void
slow_free (LpPlatform *platform)
{
  (void)platform;
}

static const LpPlatformClass slow_class = { .name = "slow", .free = slow_free, .scan = slow_scan };

/* Three endpoints crashed under this call before the instance started. */
static void
answer_scan (SlowStore *store, const char *path, const char *body)
{
  char content[LC_FINGERPRINT_TEXT_SIZE];
  LpRow rows[3];

  lc_fingerprint_to_text (lc_fingerprint_of_request ("", "POST", NULL, path, body, strlen (body)),
                          content);
  for (int i = 0; i < 3; i++)
    rows[i] = (LpRow){ .key = lb_asprintf ("crash/all/e%d", i),
                       .value
                       = lb_asprintf ("{\"endpoint\":\"e%d\",\"contents\":[\"%s\"]}", i, content) };
  store->scanned (LB_OK, rows, 3, store->user);
  for (int i = 0; i < 3; i++)
    {
      free ((char *)rows[i].key);
      free ((char *)rows[i].value);
    }
}

static void
expect_refusal (Fixture *f, const char *error)
{
  Peer caller;

  caller_open (f, &caller);
  caller_post (&caller, "/services/s/order", "", "BAD");
  FIXTURE_WAIT_UNTIL (f, peer_has (&caller, "not_run"));
  cr_assert (strstr (caller.text, error), "expected %s, got %s", error, caller.text);
  peer_close (&caller);
}

/* All instances were killed and start again. One of them, on a busy machine, had its resources
 * before the reports of crashed endpoints, took a call under which three had crashed, and crashed
 * the fourth, the last one. */
Test (calls_start, nothing_runs_before_crashed_endpoints_are_known)
{
  SlowStore store = { .platform.klass = &slow_class };
  Fixture f;
  Peer service = { 0 };
  LbName address;
  int listener = fixture_listen (address);

  fixture_init (&f);
  f.context.platform = &store.platform;
  fixture_start (&f);
  fixture_configure (&f, NULL, (const char *[]){ address, NULL });
  expect_refusal (&f, "not_ready");
  cr_assert (store.scanned);
  answer_scan (&store, "/order", "BAD");
  expect_refusal (&f, "quarantined");
  cr_assert_not (endpoint_try_accept (listener, &service), "it ran: %s", service.text);
  fixture_clear (&f);
  close (listener);
}
