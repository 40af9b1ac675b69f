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

#define BAD 7
#define GOOD 8
#define MAX_ROWS 32
#define STORE_MS 5000000 /* the store's clock when a test begins */

/* A store in which rows are listed and watched, and that can be away. One for all instances. */
typedef struct
{
  LpPlatform platform; /* first */
  LpRow rows[MAX_ROWS];
  size_t n_rows;
  int64_t version;
  int64_t now_ms;
  bool away;
} Store;

static Store *
store_of (LpPlatform *platform)
{
  return (Store *)platform;
}

static LpRow *
find_row (Store *store, const char *key)
{
  for (size_t i = 0; i < store->n_rows; i++)
    if (strcmp (store->rows[i].key, key) == 0)
      return &store->rows[i];
  return NULL;
}

static void
put_row (Store *store, const char *key, const char *value)
{
  LpRow *row = find_row (store, key);

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
fake_transact (LpPlatform *platform,
               const LpTransaction *transaction,
               LpPriority priority,
               LpTransactDone done,
               void *user)
{
  (void)priority;
  Store *store = store_of (platform);
  const LpRow answer = { .key = transaction->puts[0].key, .version = store->version + 1 };

  if (!store->away)
    put_row (store, transaction->puts[0].key, transaction->puts[0].value);
  done (store->away ? LB_ERROR_STORE_AWAY : LB_OK, &answer, user);
}

static void
fake_list (LpPlatform *platform,
           const char *prefix,
           const char *from,
           int64_t limit,
           LpListDone done,
           void *user)
{
  (void)prefix;
  (void)from;
  (void)limit;
  Store *store = store_of (platform);

  if (store->away)
    done (LB_ERROR_STORE_AWAY, NULL, 0, 0, user);
  else
    done (LB_OK, store->rows, store->n_rows, store->version, user);
}

static void
fake_watch (LpPlatform *platform,
            const char *table,
            int64_t after,
            LbTime wait,
            LpWatchDone done,
            void *user)
{
  (void)wait;
  Store *store = store_of (platform);
  LpRow changed[MAX_ROWS];
  size_t n = 0;

  cr_assert_str_eq (table, "crash");
  for (size_t i = 0; i < store->n_rows; i++)
    if (store->rows[i].version > after)
      changed[n++] = store->rows[i];
  if (store->away)
    done (LB_ERROR_STORE_AWAY, NULL, 0, 0, user);
  else
    done (LB_OK, changed, n, store->version, user);
}

static int64_t
fake_store_ms (const LpPlatform *platform)
{
  return ((const Store *)platform)->now_ms;
}

static const LpPlatformClass followed_class = { .name = "followed",
                                                .transact = fake_transact,
                                                .list = fake_list,
                                                .watch = fake_watch,
                                                .store_ms = fake_store_ms };

/* Stands where the peers task is: keeps what it was asked to send. */
typedef struct
{
  LnTask task;
  int frames;
  LnPeerMessage last;
} FakePeers;

static void
peers_receive (LnTask *task, const LnMessage *message)
{
  FakePeers *peers = (FakePeers *)task;
  const LnPeerMessage *frame = (const LnPeerMessage *)message;

  free (peers->last.payload);
  peers->frames++;
  peers->last = *frame;
  peers->last.payload = lb_memdup (frame->payload, frame->length);
}

static void
peers_free (LnTask *task)
{
  free (((FakePeers *)task)->last.payload);
  free (task);
}

static const LnTaskClass peers_class
    = { .name = "peers", .receive = peers_receive, .free = peers_free };

/* One instance, as far as endpoints that end go. */
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
  ln_hub_add (instance->context.hub, &instance->peers->task);
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
tick (Instance *instance)
{
  ln_crashes_tick (instance->crashes, lb_clock_monotonic ());
}

static void
see_end (Instance *instance, const char *endpoint, LcFingerprint content)
{
  ln_crashes_report_crash (instance->crashes, endpoint, lb_clock_monotonic (), &content, 1);
}

static bool
is_kept_out (const Instance *instance, LcFingerprint content)
{
  return lc_quarantine_ends_at (instance->quarantine, content) > 0;
}

typedef struct
{
  struct event_base *base;
  Store store;
  Instance a, b;
} World;

static void
world_init (World *w)
{
  memset (w, 0, sizeof *w);
  w->base = event_base_new ();
  w->store.platform.klass = &followed_class;
  w->store.now_ms = STORE_MS;
  instance_init (&w->a, w->base, &w->store.platform, "a");
  instance_init (&w->b, w->base, &w->store.platform, "b");
  tick (&w->a);
  tick (&w->b);
}

static void
world_clear (World *w)
{
  instance_clear (&w->a);
  instance_clear (&w->b);
  for (size_t i = 0; i < w->store.n_rows; i++)
    {
      free ((char *)w->store.rows[i].key);
      free ((char *)w->store.rows[i].value);
    }
  event_base_free (w->base);
}

/* Three endpoints end under one request, which went to two instances: neither has seen enough
 * alone, and both know it. So does one that starts afterwards. */
Test (crashes, go_through_the_store)
{
  World w;
  Instance fresh;

  world_init (&w);
  see_end (&w.a, "e1", BAD);
  see_end (&w.b, "e2", BAD);
  see_end (&w.a, "e3", BAD);
  tick (&w.a);
  tick (&w.b);
  cr_assert (is_kept_out (&w.a, BAD));
  cr_assert (is_kept_out (&w.b, BAD));
  cr_assert_eq (w.a.peers->frames + w.b.peers->frames, 0, "the store tells all");
  instance_init (&fresh, w.base, &w.store.platform, "a");
  tick (&fresh);
  cr_assert (is_kept_out (&fresh, BAD));
  instance_clear (&fresh);
  world_clear (&w);
}

/* The store is away while endpoints end. What was seen is written once it is back. */
Test (crashes, are_told_when_the_store_is_back)
{
  World w;

  world_init (&w);
  w.store.away = true;
  see_end (&w.a, "e1", BAD);
  see_end (&w.a, "e2", BAD);
  see_end (&w.a, "e3", BAD);
  tick (&w.a);
  cr_assert (is_kept_out (&w.a, BAD));
  cr_assert_eq (w.store.n_rows, 0);
  w.store.away = false;
  tick (&w.a);
  cr_assert_eq (w.store.n_rows, 3);
  usleep (150000);
  tick (&w.b);
  tick (&w.b);
  cr_assert (is_kept_out (&w.b, BAD));
  world_clear (&w);
}

/* Reports are placed in time by the store's clock, since instances' own clocks differ: what ended
 * long ago counts no more for an instance that starts now. */
Test (crashes, of_long_ago_do_not_count)
{
  World w;
  Instance fresh;

  world_init (&w);
  see_end (&w.a, "e1", BAD);
  see_end (&w.a, "e2", BAD);
  see_end (&w.a, "e3", BAD);
  w.store.now_ms += lc_quarantine_report_lifetime () / LB_MSEC - 1000;
  instance_init (&fresh, w.base, &w.store.platform, "c");
  tick (&fresh);
  cr_assert (is_kept_out (&fresh, BAD));
  instance_clear (&fresh);
  w.store.now_ms += 2000;
  instance_init (&fresh, w.base, &w.store.platform, "c");
  tick (&fresh);
  cr_assert_not (is_kept_out (&fresh, BAD));
  instance_clear (&fresh);
  world_clear (&w);
}

/* Nothing in the store expires by itself: without this it would fill with reports of endpoints that
 * ended months ago. */
Test (crashes, that_count_no_more_are_removed)
{
  World w;

  world_init (&w);
  see_end (&w.a, "e1", BAD);
  cr_assert_not_null (w.store.rows[0].value);
  ln_crashes_tick (w.a.crashes, lb_clock_monotonic () + lc_quarantine_report_lifetime ());
  cr_assert_not_null (w.store.rows[0].value, "no instance may be behind");
  ln_crashes_tick (w.a.crashes,
                   lb_clock_monotonic () + lc_quarantine_report_lifetime () + 700 * LB_SEC);
  cr_assert_null (w.store.rows[0].value);
  world_clear (&w);
}

/* The operators know better, and remove the rows that keep a request out. It runs again at once. */
Test (crashes, that_the_operators_remove_count_no_more)
{
  World w;

  world_init (&w);
  see_end (&w.a, "e1", BAD);
  see_end (&w.b, "e2", BAD);
  see_end (&w.b, "e3", BAD);
  tick (&w.a);
  cr_assert (is_kept_out (&w.a, BAD));
  put_row (&w.store, w.store.rows[1].key, NULL);
  tick (&w.a);
  tick (&w.b);
  cr_assert_not (is_kept_out (&w.a, BAD));
  cr_assert_not (is_kept_out (&w.b, BAD));
  world_clear (&w);
}

/* All endpoints end at once under a request that many callers make. The instance that has answered
 * it says so, and the others let it run. */
Test (crashes, an_answer_at_one_instance_clears_at_all)
{
  World w;

  world_init (&w);
  lc_quarantine_record_answer (w.a.quarantine, GOOD, lb_clock_monotonic ());
  see_end (&w.b, "e1", GOOD);
  see_end (&w.b, "e2", GOOD);
  see_end (&w.b, "e3", GOOD);
  cr_assert (is_kept_out (&w.b, GOOD));
  tick (&w.a);
  tick (&w.b);
  cr_assert_not (is_kept_out (&w.a, GOOD));
  cr_assert_not (is_kept_out (&w.b, GOOD));
  world_clear (&w);
}

/* A row that can't be read names nobody, and the others hold. */
Test (crashes, a_row_that_is_none_changes_nothing)
{
  static const char *const texts[] = { "",
                                       "[]",
                                       "{}",
                                       "{\"contents\": 7}",
                                       "{\"contents\": [\"x\"]}",
                                       "\xff\xfe",
                                       "{\"endpoint\": 3, \"contents\": []}",
                                       "{\"contents\": [null]}" };
  World w;
  char key[64];

  world_init (&w);
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      snprintf (key, sizeof key, "crash/all/bad-%zu", i);
      put_row (&w.store, key, texts[i]);
    }
  see_end (&w.b, "e1", BAD);
  see_end (&w.b, "e2", BAD);
  see_end (&w.b, "e3", BAD);
  tick (&w.a);
  cr_assert (is_kept_out (&w.a, BAD));
  cr_assert_eq (lc_quarantine_count (w.a.quarantine), 1);
  world_clear (&w);
}

/* --- a platform whose rows can't be followed --- */

/* Instances that run hear by frames; one that starts reads the rows. */
Test (crashes, go_by_frames_where_rows_can_not_be_followed)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  Instance a, b, fresh;
  static const char *const endpoints[] = { "e1", "e2", "e3" };

  instance_init (&a, base, platform, "a");
  instance_init (&b, base, platform, "b");
  for (size_t i = 0; i < 3; i++)
    {
      see_end (&a, endpoints[i], BAD);
      event_base_loop (base, EVLOOP_NONBLOCK);
      cr_assert_eq (a.peers->frames, (int)i + 1);
      cr_assert (ln_crashes_receive_frame (b.crashes, &a.peers->last));
    }
  cr_assert (is_kept_out (&b, BAD));
  instance_init (&fresh, base, platform, "c");
  tick (&fresh);
  event_base_loop (base, EVLOOP_NONBLOCK);
  cr_assert (is_kept_out (&fresh, BAD));
  instance_clear (&fresh);
  instance_clear (&a);
  instance_clear (&b);
  platform->klass->free (platform);
  event_base_free (base);
}

/* One service that its supervisor starts again under its name crashes three times under a request,
 * ten seconds apart. An instance that starts afterwards must not take that for one crash. */
Test (crashes, keep_their_times_where_the_store_has_no_clock)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  Instance a, fresh;
  const LcFingerprint content = BAD;
  LbTime now = lb_clock_monotonic ();

  instance_init (&a, base, platform, "a");
  tick (&a);
  for (int i = 2; i >= 0; i--)
    ln_crashes_report_crash (a.crashes, "e1", now - i * 10 * LB_SEC, &content, 1);
  cr_assert (is_kept_out (&a, BAD));
  instance_init (&fresh, base, platform, "b");
  tick (&fresh);
  event_base_loop (base, EVLOOP_NONBLOCK);
  cr_assert (is_kept_out (&fresh, BAD));
  instance_clear (&fresh);
  instance_clear (&a);
  platform->klass->free (platform);
  event_base_free (base);
}

/* A frame was lost with its connection: the next scan tells what it said. */
Test (crashes, a_scan_makes_good_what_frames_did_not_tell)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  Instance a, b;
  LbTime now = lb_clock_monotonic ();

  instance_init (&a, base, platform, "a");
  instance_init (&b, base, platform, "b");
  ln_crashes_tick (b.crashes, now);
  event_base_loop (base, EVLOOP_NONBLOCK);
  see_end (&a, "e1", BAD);
  see_end (&a, "e2", BAD);
  see_end (&a, "e3", BAD);
  event_base_loop (base, EVLOOP_NONBLOCK);
  cr_assert_not (is_kept_out (&b, BAD));
  ln_crashes_tick (b.crashes, now + 6 * LB_SEC);
  event_base_loop (base, EVLOOP_NONBLOCK);
  cr_assert (is_kept_out (&b, BAD));
  instance_clear (&a);
  instance_clear (&b);
  platform->klass->free (platform);
  event_base_free (base);
}

Test (crashes, other_frames_are_left_to_others)
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
