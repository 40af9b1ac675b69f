#include "ln-crashes.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "ln-crash-row.h"
#include "lp-platform.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BAD_REQUEST 7  /* fingerprint of a request that crashes endpoints */
#define GOOD_REQUEST 8 /* fingerprint of a request that an endpoint answers */
#define MAX_ROWS 32
#define STORE_START_MS 5000000 /* the store's clock at the start of a test */

/* Fake store shared by all instances. Its rows can be listed and watched, and it can be
 * unavailable. */
typedef struct
{
  LpPlatform platform; /* first member, because callbacks cast LpPlatform * to Store * */
  LpRow rows[MAX_ROWS];
  size_t n_rows;
  int64_t version;
  int64_t now_ms;
  bool is_unavailable;
} Store;

static Store *
get_fake_store (LpPlatform *platform)
{
  return (Store *)platform;
}

static LpRow *
find_fake_store_row (Store *store, const char *key)
{
  for (size_t i = 0; i < store->n_rows; i++)
    if (strcmp (store->rows[i].key, key) == 0)
      return &store->rows[i];
  return NULL;
}

static void
put_fake_store_row (Store *store, const char *key, const char *value)
{
  LpRow *row = find_fake_store_row (store, key);

  if (!row)
    {
      row = &store->rows[store->n_rows++];
      row->key = lb_strdup (key);
    }
  free ((char *)row->value);
  row->value = value ? lb_strdup (value) : NULL;
  row->version = ++store->version;
}

static void
fake_store_transact (LpPlatform *platform,
                     const LpTransaction *transaction,
                     LpPriority priority,
                     LpTransactDone done,
                     void *user)
{
  (void)priority;
  Store *store = get_fake_store (platform);
  const LpRow answer = { .key = transaction->puts[0].key, .version = store->version + 1 };

  if (!store->is_unavailable)
    put_fake_store_row (store, transaction->puts[0].key, transaction->puts[0].value);
  done (store->is_unavailable ? LB_ERROR_STORE_AWAY : LB_OK, &answer, user);
}

static void
fake_store_list (LpPlatform *platform,
                 const char *prefix,
                 const char *from,
                 int64_t limit,
                 LpListDone done,
                 void *user)
{
  (void)prefix;
  (void)from;
  (void)limit;
  Store *store = get_fake_store (platform);

  if (store->is_unavailable)
    done (LB_ERROR_STORE_AWAY, NULL, 0, 0, user);
  else
    done (LB_OK, store->rows, store->n_rows, store->version, user);
}

static void
fake_store_watch (LpPlatform *platform,
                  const char *table,
                  int64_t after,
                  LbTime wait,
                  LpWatchDone done,
                  void *user)
{
  (void)wait;
  Store *store = get_fake_store (platform);
  LpRow changed[MAX_ROWS];
  size_t n = 0;

  cr_assert_str_eq (table, "crash");
  for (size_t i = 0; i < store->n_rows; i++)
    if (store->rows[i].version > after)
      changed[n++] = store->rows[i];
  if (store->is_unavailable)
    done (LB_ERROR_STORE_AWAY, NULL, 0, 0, user);
  else
    done (LB_OK, changed, n, store->version, user);
}

static int64_t
fake_store_get_clock_ms (const LpPlatform *platform)
{
  return ((const Store *)platform)->now_ms;
}

static const LpPlatformClass store_class = { .name = "followed",
                                             .transact = fake_store_transact,
                                             .list = fake_store_list,
                                             .watch = fake_store_watch,
                                             .store_clock_ms = fake_store_get_clock_ms };

/* Replaces the task "peers", which sends frames to other instances: counts the frames and keeps
 * the last one. */
typedef struct
{
  LnTask task;
  int n_frames;
  LnPeerMessage last;
} FakePeers;

static void
fake_peers_record_frame (LnTask *task, const LnMessage *message)
{
  FakePeers *peers = (FakePeers *)task;
  const LnPeerMessage *frame = (const LnPeerMessage *)message;

  free (peers->last.payload);
  peers->n_frames++;
  peers->last = *frame;
  peers->last.payload = lb_memdup (frame->payload, frame->length);
}

static void
fake_peers_free (LnTask *task)
{
  free (((FakePeers *)task)->last.payload);
  free (task);
}

static const LnTaskClass peers_class
    = { .name = "peers", .receive = fake_peers_record_frame, .free = fake_peers_free };

/* An instance reduced to the parts that count crashes of endpoints and share them with other
 * instances. */
typedef struct
{
  LnContext context;
  LnSettings settings;
  FakePeers *peers;
  LcQuarantine *quarantine;
  LnCrashes *crashes;
} Instance;

static void
instance_init (Instance *instance, struct event_base *base, LpPlatform *platform, const char *name)
{
  memset (instance, 0, sizeof *instance);
  ln_settings_init (&instance->settings);
  instance->context.settings = &instance->settings;
  instance->context.base = base;
  instance->context.platform = platform;
  instance->context.hub = ln_hub_new (base);
  LB_COPY (instance->context.instance, name);
  LB_COPY (instance->context.incarnation, "life");
  instance->peers = LB_NEW (FakePeers);
  instance->peers->task.klass = &peers_class;
  ln_hub_add_task (instance->context.hub, &instance->peers->task);
  instance->quarantine = lc_quarantine_new ();
  instance->crashes = ln_crashes_new (&instance->context, instance->quarantine);
}

static void
instance_clear (Instance *instance)
{
  ln_crashes_free (instance->crashes);
  lc_quarantine_free (instance->quarantine);
  ln_hub_free (instance->context.hub);
  ln_context_clear (&instance->context);
  ln_settings_clear (&instance->settings);
}

static void
exchange_crash_reports_with_store (Instance *instance)
{
  ln_crashes_tick (instance->crashes, lb_clock_monotonic ());
}

static void
report_endpoint_crash (Instance *instance, const char *endpoint, LcFingerprint fingerprint)
{
  ln_crashes_report_crash (instance->crashes, endpoint, lb_clock_monotonic (), &fingerprint, 1);
}

static bool
is_request_quarantined (const Instance *instance, LcFingerprint fingerprint)
{
  return lc_quarantine_ends_at (instance->quarantine, fingerprint) > 0;
}

typedef struct
{
  struct event_base *base;
  Store store;
  Instance a, b;
} Cluster;

static void
cluster_init_with_two_instances (Cluster *cluster)
{
  memset (cluster, 0, sizeof *cluster);
  cluster->base = event_base_new ();
  cluster->store.platform.klass = &store_class;
  cluster->store.now_ms = STORE_START_MS;
  instance_init (&cluster->a, cluster->base, &cluster->store.platform, "a");
  instance_init (&cluster->b, cluster->base, &cluster->store.platform, "b");
  exchange_crash_reports_with_store (&cluster->a);
  exchange_crash_reports_with_store (&cluster->b);
}

static void
cluster_clear (Cluster *cluster)
{
  instance_clear (&cluster->a);
  instance_clear (&cluster->b);
  for (size_t i = 0; i < cluster->store.n_rows; i++)
    {
      free ((char *)cluster->store.rows[i].key);
      free ((char *)cluster->store.rows[i].value);
    }
  event_base_free (cluster->base);
}

/* Three endpoints crash while they run the same request, which went to two instances. Neither
 * instance has seen enough crashes alone, but both quarantine the request, and so does an
 * instance that starts afterwards. */
Test (crashes, reports_are_shared_through_the_store)
{
  Cluster cluster;
  Instance fresh;

  cluster_init_with_two_instances (&cluster);
  report_endpoint_crash (&cluster.a, "e1", BAD_REQUEST);
  report_endpoint_crash (&cluster.b, "e2", BAD_REQUEST);
  report_endpoint_crash (&cluster.a, "e3", BAD_REQUEST);
  exchange_crash_reports_with_store (&cluster.a);
  exchange_crash_reports_with_store (&cluster.b);
  cr_assert (is_request_quarantined (&cluster.a, BAD_REQUEST));
  cr_assert (is_request_quarantined (&cluster.b, BAD_REQUEST));
  cr_assert_eq (cluster.a.peers->n_frames + cluster.b.peers->n_frames, 0,
                "expected no frames, as the platform has watches");
  instance_init (&fresh, cluster.base, &cluster.store.platform, "a");
  exchange_crash_reports_with_store (&fresh);
  cr_assert (is_request_quarantined (&fresh, BAD_REQUEST));
  instance_clear (&fresh);
  cluster_clear (&cluster);
}

/* The store is unavailable while endpoints crash. The reports are written once the store is
 * available again. */
Test (crashes, reports_are_written_when_the_store_is_back)
{
  Cluster cluster;

  cluster_init_with_two_instances (&cluster);
  cluster.store.is_unavailable = true;
  report_endpoint_crash (&cluster.a, "e1", BAD_REQUEST);
  report_endpoint_crash (&cluster.a, "e2", BAD_REQUEST);
  report_endpoint_crash (&cluster.a, "e3", BAD_REQUEST);
  exchange_crash_reports_with_store (&cluster.a);
  cr_assert (is_request_quarantined (&cluster.a, BAD_REQUEST));
  cr_assert_eq (cluster.store.n_rows, 0);
  cluster.store.is_unavailable = false;
  exchange_crash_reports_with_store (&cluster.a);
  cr_assert_eq (cluster.store.n_rows, 3);
  usleep (150000);
  exchange_crash_reports_with_store (&cluster.b);
  exchange_crash_reports_with_store (&cluster.b);
  cr_assert (is_request_quarantined (&cluster.b, BAD_REQUEST));
  cluster_clear (&cluster);
}

/* An instance that starts must ignore crash reports that have expired. Their age is computed
 * with the store's clock, since the clocks of instances differ. */
Test (crashes, expired_reports_do_not_count)
{
  Cluster cluster;
  Instance fresh;

  cluster_init_with_two_instances (&cluster);
  report_endpoint_crash (&cluster.a, "e1", BAD_REQUEST);
  report_endpoint_crash (&cluster.a, "e2", BAD_REQUEST);
  report_endpoint_crash (&cluster.a, "e3", BAD_REQUEST);
  cluster.store.now_ms += lc_quarantine_report_lifetime () / LB_MSEC - 1000;
  instance_init (&fresh, cluster.base, &cluster.store.platform, "c");
  exchange_crash_reports_with_store (&fresh);
  cr_assert (is_request_quarantined (&fresh, BAD_REQUEST));
  instance_clear (&fresh);
  cluster.store.now_ms += 2000;
  instance_init (&fresh, cluster.base, &cluster.store.platform, "c");
  exchange_crash_reports_with_store (&fresh);
  cr_assert_not (is_request_quarantined (&fresh, BAD_REQUEST));
  instance_clear (&fresh);
  cluster_clear (&cluster);
}

/* Guards against a store that fills with expired reports, since the store never deletes rows by
 * itself. */
Test (crashes, rows_of_expired_reports_are_removed)
{
  Cluster cluster;

  cluster_init_with_two_instances (&cluster);
  report_endpoint_crash (&cluster.a, "e1", BAD_REQUEST);
  cr_assert_not_null (cluster.store.rows[0].value);
  ln_crashes_tick (cluster.a.crashes, lb_clock_monotonic () + lc_quarantine_report_lifetime ());
  cr_assert_not_null (cluster.store.rows[0].value,
                      "expected the row to be kept for some time after it expires");
  ln_crashes_tick (cluster.a.crashes,
                   lb_clock_monotonic () + lc_quarantine_report_lifetime () + 700 * LB_SEC);
  cr_assert_null (cluster.store.rows[0].value);
  cluster_clear (&cluster);
}

/* Operators remove the rows that keep a request in quarantine, and the request is released at once.
 */
Test (crashes, rows_removed_by_operators_no_longer_count)
{
  Cluster cluster;

  cluster_init_with_two_instances (&cluster);
  report_endpoint_crash (&cluster.a, "e1", BAD_REQUEST);
  report_endpoint_crash (&cluster.b, "e2", BAD_REQUEST);
  report_endpoint_crash (&cluster.b, "e3", BAD_REQUEST);
  exchange_crash_reports_with_store (&cluster.a);
  cr_assert (is_request_quarantined (&cluster.a, BAD_REQUEST));
  put_fake_store_row (&cluster.store, cluster.store.rows[1].key, NULL);
  exchange_crash_reports_with_store (&cluster.a);
  exchange_crash_reports_with_store (&cluster.b);
  cr_assert_not (is_request_quarantined (&cluster.a, BAD_REQUEST));
  cr_assert_not (is_request_quarantined (&cluster.b, BAD_REQUEST));
  cluster_clear (&cluster);
}

/* All endpoints stop at once while they run a request that many callers send. An instance that
 * got an answer to the request writes this to the store, and the other instances end the
 * quarantine. */
Test (crashes, an_answer_at_one_instance_ends_the_quarantine_at_all_instances)
{
  Cluster cluster;

  cluster_init_with_two_instances (&cluster);
  lc_quarantine_record_answer (cluster.a.quarantine, GOOD_REQUEST, lb_clock_monotonic ());
  report_endpoint_crash (&cluster.b, "e1", GOOD_REQUEST);
  report_endpoint_crash (&cluster.b, "e2", GOOD_REQUEST);
  report_endpoint_crash (&cluster.b, "e3", GOOD_REQUEST);
  cr_assert (is_request_quarantined (&cluster.b, GOOD_REQUEST));
  exchange_crash_reports_with_store (&cluster.a);
  exchange_crash_reports_with_store (&cluster.b);
  cr_assert_not (is_request_quarantined (&cluster.a, GOOD_REQUEST));
  cr_assert_not (is_request_quarantined (&cluster.b, GOOD_REQUEST));
  cluster_clear (&cluster);
}

/* A malformed row of a crash report must be ignored, and the other rows must count. */
Test (crashes, a_malformed_row_is_ignored)
{
  static const char *const texts[] = { "",
                                       "[]",
                                       "{}",
                                       "{\"contents\": 7}",
                                       "{\"contents\": [\"x\"]}",
                                       "\xff\xfe",
                                       "{\"endpoint\": 3, \"contents\": []}",
                                       "{\"contents\": [null]}" };
  Cluster cluster;
  char key[64];

  cluster_init_with_two_instances (&cluster);
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      snprintf (key, sizeof key, "crash/all/bad-%zu", i);
      put_fake_store_row (&cluster.store, key, texts[i]);
    }
  report_endpoint_crash (&cluster.b, "e1", BAD_REQUEST);
  report_endpoint_crash (&cluster.b, "e2", BAD_REQUEST);
  report_endpoint_crash (&cluster.b, "e3", BAD_REQUEST);
  exchange_crash_reports_with_store (&cluster.a);
  cr_assert (is_request_quarantined (&cluster.a, BAD_REQUEST));
  cr_assert_eq (lc_quarantine_count_fingerprints (cluster.a.quarantine), 1);
  cluster_clear (&cluster);
}

/* --- platforms that cannot watch rows for changes --- */

/* Instances send crash reports to each other in frames; an instance that starts reads the rows. */
Test (crashes, reports_are_sent_in_frames_where_rows_cannot_be_watched)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  Instance a, b, fresh;
  static const char *const endpoints[] = { "e1", "e2", "e3" };

  instance_init (&a, base, platform, "a");
  instance_init (&b, base, platform, "b");
  for (size_t i = 0; i < 3; i++)
    {
      report_endpoint_crash (&a, endpoints[i], BAD_REQUEST);
      event_base_loop (base, EVLOOP_NONBLOCK);
      cr_assert_eq (a.peers->n_frames, (int)i + 1);
      cr_assert (ln_crashes_receive_frame (b.crashes, &a.peers->last));
    }
  cr_assert (is_request_quarantined (&b, BAD_REQUEST));
  instance_init (&fresh, base, platform, "c");
  exchange_crash_reports_with_store (&fresh);
  event_base_loop (base, EVLOOP_NONBLOCK);
  cr_assert (is_request_quarantined (&fresh, BAD_REQUEST));
  instance_clear (&fresh);
  instance_clear (&a);
  instance_clear (&b);
  platform->klass->free (platform);
  event_base_free (base);
}

/* A supervisor restarts an endpoint under the same name after each crash. The endpoint crashes
 * three times, ten seconds apart, on the same request. An instance that starts afterwards must
 * count three crashes, not one. */
Test (crashes, reports_keep_their_times_where_the_store_has_no_clock)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  Instance a, fresh;
  const LcFingerprint fingerprint = BAD_REQUEST;
  LbTime now = lb_clock_monotonic ();

  instance_init (&a, base, platform, "a");
  exchange_crash_reports_with_store (&a);
  for (int i = 2; i >= 0; i--)
    ln_crashes_report_crash (a.crashes, "e1", now - i * 10 * LB_SEC, &fingerprint, 1);
  cr_assert (is_request_quarantined (&a, BAD_REQUEST));
  instance_init (&fresh, base, platform, "b");
  exchange_crash_reports_with_store (&fresh);
  event_base_loop (base, EVLOOP_NONBLOCK);
  cr_assert (is_request_quarantined (&fresh, BAD_REQUEST));
  instance_clear (&fresh);
  instance_clear (&a);
  platform->klass->free (platform);
  event_base_free (base);
}

/* Frames with crash reports were lost with their connection; the next scan reads the reports from
 * the store. */
Test (crashes, a_scan_reads_reports_whose_frames_were_lost)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  Instance a, b;
  LbTime now = lb_clock_monotonic ();

  instance_init (&a, base, platform, "a");
  instance_init (&b, base, platform, "b");
  ln_crashes_tick (b.crashes, now);
  event_base_loop (base, EVLOOP_NONBLOCK);
  report_endpoint_crash (&a, "e1", BAD_REQUEST);
  report_endpoint_crash (&a, "e2", BAD_REQUEST);
  report_endpoint_crash (&a, "e3", BAD_REQUEST);
  event_base_loop (base, EVLOOP_NONBLOCK);
  cr_assert_not (is_request_quarantined (&b, BAD_REQUEST));
  ln_crashes_tick (b.crashes, now + 6 * LB_SEC);
  event_base_loop (base, EVLOOP_NONBLOCK);
  cr_assert (is_request_quarantined (&b, BAD_REQUEST));
  instance_clear (&a);
  instance_clear (&b);
  platform->klass->free (platform);
  event_base_free (base);
}

Test (crashes, a_malformed_frame_is_rejected)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  Instance a;
  char garbled[] = { '\x93', '\xc1', 0 };
  const LnPeerMessage frame = { .payload = garbled, .length = sizeof garbled };

  instance_init (&a, base, platform, "a");
  cr_assert_not (ln_crashes_receive_frame (a.crashes, &frame));
  instance_clear (&a);
  platform->klass->free (platform);
  event_base_free (base);
}
