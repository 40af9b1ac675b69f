#include "pt-process.h"
#include "pt-relay.h"
#include "si-sampler.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"
#include "lh-fetch.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Instances on a shared platform as real processes; the store, the engines and the callers are
 * played by the test itself, in one loop. */

#define MAX_INSTANCES 3
#define N_ENGINES 3
#define LIMIT (60 * LB_SEC) /* of any wait: generous, since the machine may be busy */

typedef struct
{
  PtProcess process;
  PtRelay to_store;
  LbName name;
  LbName address;
  LbName metrics_address;
} Instance;

typedef struct
{
  struct event_base *base;
  LhPool *pool;
  char folder[64];
  SiRows rows;
  SiSampler engines[N_ENGINES];
  SiSampler lookup;
  Instance instances[MAX_INSTANCES];
  size_t n_instances;
  /* the last answer to a caller */
  int answers;
  LbErrorCode failure;
  int status;
  char *body;
  char retry_after[32];
  char stamp[64];
} World;

static const char config[]
    = "{\"version\": %d, \"routes\": ["
      "{\"name\": \"lookup\", \"host\": \"h.example\", \"prefix\": \"/lookup/\", \"kind\": "
      "\"safe\","
      " \"timeoutMs\": 20000, \"service\": \"lookups\", \"attempts\": 3},"
      "{\"name\": \"steps\", \"host\": \"h.example\", \"prefix\": \"/steps/\","
      " \"kind\": \"weight_rollout\", \"service\": \"engines\", \"attempts\": 3}%s],"
      "\"services\": [{\"name\": \"engines\", \"maxConns\": 100, \"engine\": {\"stride\": 1}},"
      " {\"name\": \"lookups\", \"maxConns\": 100}, {\"name\": \"others\"}],"
      "\"limits\": {\"maxBodyBytes\": 12582912}}";

static void
turn (World *w)
{
  event_base_loop (w->base, EVLOOP_NONBLOCK);
  for (size_t i = 0; i < w->n_instances; i++)
    pt_process_poll (&w->instances[i].process);
  usleep (500);
}

#define UNTIL(w, condition)                                                                        \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + LIMIT;                                                 \
      bool met_ = false;                                                                           \
      while (!(met_ = (condition)) && lb_clock_monotonic () < end_)                                \
        turn (w);                                                                                  \
      cr_assert (met_, "never came true: %s", #condition);                                         \
    }                                                                                              \
  while (0)

static void
put_config (World *w, int version, const char *more_routes)
{
  char *text = lb_asprintf (config, version, more_routes);

  si_rows_put (&w->rows, "op", "", "config", text);
  free (text);
}

static void
world_init (World *w)
{
  char name[16];

  memset (w, 0, sizeof *w);
  signal (SIGPIPE, SIG_IGN);
  snprintf (w->folder, sizeof w->folder, "/tmp/lentilspindle-shared-XXXXXX");
  cr_assert (mkdtemp (w->folder));
  w->base = event_base_new ();
  w->pool = lh_pool_new (w->base);
  cr_assert (si_rows_init (&w->rows, w->base, 0));
  for (int i = 0; i < N_ENGINES; i++)
    {
      snprintf (name, sizeof name, "i-engine-%d", i);
      cr_assert (si_sampler_init (&w->engines[i], w->base, &w->rows, name, "engines", "m"));
    }
  cr_assert (si_sampler_init (&w->lookup, w->base, &w->rows, "i-lookup", "lookups", ""));
  put_config (w, 1, "");
}

static void
world_clear (World *w)
{
  char command[128];

  for (size_t i = 0; i < w->n_instances; i++)
    {
      pt_process_clear (&w->instances[i].process);
      pt_relay_clear (&w->instances[i].to_store);
    }
  lh_pool_free (w->pool);
  for (int i = 0; i < N_ENGINES; i++)
    si_sampler_clear (&w->engines[i]);
  si_sampler_clear (&w->lookup);
  si_rows_clear (&w->rows);
  event_base_free (w->base);
  free (w->body);
  for (size_t i = 0; i < w->n_instances; i++)
    for (int kind = 0; kind < 3; kind++)
      {
        static const char *const kinds[] = { "json", "addr", "log" };
        snprintf (command, sizeof command, "%s/%s.%s", w->folder, w->instances[i].name,
                  kinds[kind]);
        unlink (command);
      }
  rmdir (w->folder);
}

/* --- callers --- */

static void
on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  World *w = user;
  const char *retry_after = lh_fetch_header (fetch, "Retry-After");
  const char *stamp = lh_fetch_header (fetch, "Server-Stamp");

  w->answers++;
  w->failure = result->failure;
  w->status = result->status;
  free (w->body);
  w->body = lb_strndup (result->body ? result->body : "", result->body_length);
  LB_COPY (w->retry_after, retry_after ? retry_after : "");
  LB_COPY (w->stamp, stamp ? stamp : "");
}

static LhFetch *
begin_call (World *w,
            size_t instance,
            const char *method,
            const char *path,
            const char *id,
            const char *body)
{
  const LhHeader headers[] = { { "Attempt-Id", id }, { "Deadline-Ms", "20000" } };
  const LhHandlers handlers = { .on_done = on_done };
  const LhRequest request = { .method = method,
                              .address = w->instances[instance].address,
                              .path = path,
                              .host = "h.example",
                              .headers = headers,
                              .n_headers = 2,
                              .body = body,
                              .body_length = strlen (body),
                              .fresh_connection = true };

  return lh_fetch_start (w->pool, &request, &handlers, w, NULL);
}

static void
call (World *w,
      size_t instance,
      const char *method,
      const char *path,
      const char *id,
      const char *body)
{
  int before = w->answers;

  begin_call (w, instance, method, path, id, body);
  UNTIL (w, w->answers > before);
}

/* --- instances --- */

static const SiServer *
store_of (const World *w, size_t instance)
{
  return instance == 0 ? &w->rows.server : &w->rows.far;
}

static void
write_settings (World *w, Instance *instance)
{
  const SiServer *store = store_of (w, (size_t)(instance - w->instances));
  char path[128];

  pt_relay_init (&instance->to_store, w->base, store->address);
  snprintf (path, sizeof path, "%s/%s.json", w->folder, instance->name);
  FILE *out = fopen (path, "w");
  cr_assert (out);
  fprintf (out,
           "{\"instance\": {\"name\": \"%s\", \"data_centre\": \"hall-a\","
           " \"caller_address\": \"127.0.0.1:0\", \"peer_address\": \"127.0.0.1:0\","
           " \"metrics_address\": \"127.0.0.1:0\"},"
           " \"platform\": {\"kind\": \"shared\", \"address\": \"%s\", \"deadline_ms\": 1000},"
           " \"batches\": {\"keep_ended_s\": 5},"
           " \"drain\": {\"drain_ms\": 300, \"entry_ttl_ms\": 2000},"
           " \"address_file\": \"%s/%s.addr\"}",
           instance->name, instance->to_store.address, w->folder, instance->name);
  fclose (out);
}

static bool
read_address (World *w, Instance *instance)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.addr", w->folder, instance->name);
  struct json_object *object = json_object_from_file (path);
  LB_COPY (instance->address, object ? lb_json_text (object, "caller_address", "") : "");
  LB_COPY (instance->metrics_address, object ? lb_json_text (object, "metrics_address", "") : "");
  json_object_put (object);
  return instance->address[0] != '\0';
}

static void
read_metrics (World *w, size_t instance)
{
  const LhHandlers handlers = { .on_done = on_done };
  const LhRequest request = { .method = "GET",
                              .address = w->instances[instance].metrics_address,
                              .path = "/metrics",
                              .fresh_connection = true };
  int before = w->answers;

  lh_fetch_start (w->pool, &request, &handlers, w, NULL);
  UNTIL (w, w->answers > before);
}

static bool
is_ready (World *w, size_t instance)
{
  call (w, instance, "GET", "/-/readiness", "", "");
  return w->status == 200;
}

static void
start_process (World *w, Instance *instance)
{
  char settings[128];
  char log[128];
  const char *const argv[] = { "lentilspindled", "--config", settings, NULL };

  snprintf (settings, sizeof settings, "%s/%s.json", w->folder, instance->name);
  snprintf (log, sizeof log, "%s/%s.log", w->folder, instance->name);
  pt_process_start (&instance->process, argv, log);
}

static size_t
start_instance (World *w)
{
  size_t index = w->n_instances;
  Instance *instance = &w->instances[index];

  snprintf (instance->name, sizeof instance->name, "n%zu", index);
  write_settings (w, instance);
  start_process (w, instance);
  w->n_instances++;
  UNTIL (w, read_address (w, instance));
  UNTIL (w, is_ready (w, index));
  return index;
}

/* --- batches --- */

static char *
make_batch (int n_items)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *items = json_object_new_array ();

  json_object_object_add (object, "step", json_object_new_int (1));
  json_object_object_add (object, "model", json_object_new_string ("m"));
  json_object_object_add (object, "minVersion", json_object_new_int (1));
  json_object_object_add (object, "targetGroups", json_object_new_int (1));
  for (int i = 0; i < n_items; i++)
    {
      char *text = lb_asprintf ("{\"id\": \"item%d\", \"path\": \"/steps/1/x\", \"body\": \"QUJD\","
                                " \"headers\": {\"Token-Counts\": \"5,20\"}, \"group\": \"g\","
                                " \"scorer\": {\"id\": \"score%d\", \"host\": \"h.example\","
                                " \"path\": \"/lookup/s\", \"body\": \"QUJD\"}}",
                                i, i);
      json_object_array_add (items, json_tokener_parse (text));
      free (text);
    }
  json_object_object_add (object, "requests", items);
  char *body = lb_strdup (json_object_to_json_string (object));
  json_object_put (object);
  return body;
}

static void
submit (World *w, size_t instance, const char *id, int n_items)
{
  char *body = make_batch (n_items);

  call (w, instance, "POST", "/steps/1", id, body);
  free (body);
}

static struct json_object *
read_results (World *w, size_t instance, const char *id)
{
  char *path = lb_asprintf ("/-/lots/%s?after=0", id);

  call (w, instance, "GET", path, "", "");
  free (path);
  return w->status == 200 ? json_tokener_parse (w->body) : NULL;
}

static int64_t
count_listed (World *w, size_t instance, const char *id)
{
  struct json_object *page = read_results (w, instance, id);
  int64_t next = page ? lb_json_int (page, "next", 0) : -1;

  json_object_put (page);
  return next;
}

static bool
is_whole_text (const char *item, const char *text, int events)
{
  char *expected = lb_strdup ("");

  for (int i = 1; i <= events; i++)
    {
      char *longer = lb_asprintf ("%s%s%s.%d", expected, i > 1 ? "\n" : "", item, i);
      free (expected);
      expected = longer;
    }
  bool same = strcmp (expected, text) == 0;
  free (expected);
  return same;
}

/* Each item stands exactly once, whole, with a score of its own scorer call. */
static void
assert_all_listed (World *w, size_t instance, const char *id, int n_items)
{
  struct json_object *page = read_results (w, instance, id);
  struct json_object *results = lb_json_member (page, "results");
  int seen[64] = { 0 };
  char score[64];

  cr_assert_eq (json_object_array_length (results), n_items);
  for (int i = 0; i < n_items; i++)
    {
      struct json_object *result = json_object_array_get_idx (results, (size_t)i);
      const char *item = lb_json_text (result, "id", "");
      int number = atoi (item + strlen ("item"));
      snprintf (score, sizeof score, "stamp-score%d", number);
      cr_assert_str_eq (lb_json_text (result, "state", ""), "completed");
      cr_assert (is_whole_text (item, lb_json_text (result, "text", ""), w->engines[0].events));
      cr_assert_str_eq (lb_json_text (result, "score", ""), score);
      cr_assert_eq (seen[number]++, 0, "%s stands twice", item);
    }
  json_object_put (page);
}

static size_t
count_runs (const World *w)
{
  size_t n = 0;

  for (int i = 0; i < N_ENGINES; i++)
    n += w->engines[i].n_runs;
  return n;
}

static size_t
find_owner (World *w)
{
  size_t owner = w->n_instances;

  for (size_t i = 0; i < w->n_instances; i++)
    {
      read_metrics (w, i);
      if (strstr (w->body, "lentilspindle_batches_owned 1"))
        owner = i;
    }
  return owner;
}

Test (shared, a_step_and_a_call_go_the_whole_way)
{
  World w;

  world_init (&w);
  size_t a = start_instance (&w);
  call (&w, a, "POST", "/lookup/1?q=2", "c1", "hello");
  cr_assert_eq (w.status, 200);
  cr_assert_str_eq (w.body, "answer to c1");
  cr_assert_str_eq (w.stamp, "stamp-c1");
  call (&w, a, "GET", "/nowhere/", "c2", "");
  cr_assert_eq (w.status, 404);
  submit (&w, a, "b1", 12);
  cr_assert_eq (w.status, 202);
  UNTIL (&w, count_listed (&w, a, "b1") == 12);
  assert_all_listed (&w, a, "b1", 12);
  call (&w, a, "GET", "/-/items/b1?id=item3", "", "");
  cr_assert_eq (w.status, 200);
  cr_assert_str_eq (w.body, "ABC");
  call (&w, a, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (w.status, 200);
  call (&w, a, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (w.status, 200, "ending it again changes nothing");
  call (&w, a, "GET", "/-/lots/unknown?after=0", "", "");
  cr_assert_eq (w.status, 404);
  call (&w, a, "GET", "/-/resolve?name=h.example", "", "");
  cr_assert (strstr (w.body, w.instances[a].address));
  world_clear (&w);
}

/* A trainer names new weights. Every engine is ordered to load them, each order once, and a sample
 * made afterwards names them. */
Test (shared, named_weights_reach_every_engine)
{
  World w;

  world_init (&w);
  size_t a = start_instance (&w);
  si_rows_put (&w.rows, "op", "", "version/m", "{\"model\": \"m\", \"version\": 2}");
  UNTIL (&w, w.engines[0].version == 2 && w.engines[1].version == 2 && w.engines[2].version == 2);
  for (int i = 0; i < N_ENGINES; i++)
    cr_assert_eq (w.engines[i].orders, 1);
  submit (&w, a, "b1", 1);
  UNTIL (&w, count_listed (&w, a, "b1") == 1);
  struct json_object *page = read_results (&w, a, "b1");
  struct json_object *result = json_object_array_get_idx (lb_json_member (page, "results"), 0);
  cr_assert_str_eq (json_object_to_json_string_ext (lb_json_member (result, "versions"),
                                                    JSON_C_TO_STRING_PLAIN),
                    "[2]");
  json_object_put (page);
  world_clear (&w);
}

/* How often the instance's log holds the text. */
static int
count_logged (const World *w, size_t instance, const char *text)
{
  const char *at = w->instances[instance].process.text;
  int count = 0;

  while (at && (at = strstr (at, text)))
    {
      at += strlen (text);
      count++;
    }
  return count;
}

/* An engine is killed and starts again under its id at once, between two of a trainer's versions.
 * Its count of orders is zero again. Were the count of its start before kept, it would refuse each
 * order for its count, keep its old weights, and the trainer's texts would be thrown away for their
 * age. */
Test (shared, an_engine_that_started_again_under_its_id_takes_the_next_weights)
{
  World w;

  world_init (&w);
  start_instance (&w);
  for (int version = 2; version <= 6; version++)
    {
      char row[64];
      snprintf (row, sizeof row, "{\"model\": \"m\", \"version\": %d}", version);
      si_rows_put (&w.rows, "op", "", "version/m", row);
      UNTIL (&w, w.engines[0].version == version && w.engines[1].version == version
                     && w.engines[2].version == version);
      si_sampler_start_again (&w.engines[version % N_ENGINES]);
    }
  cr_assert_eq (w.engines[0].misplaced, 0);
  world_clear (&w);
}

static double
metric (World *w, size_t instance, const char *name)
{
  char line[96];

  read_metrics (w, instance);
  snprintf (line, sizeof line, "\n%s ", name);
  const char *at = strstr (w->body, line);
  return at ? strtod (at + strlen (line), NULL) : 0;
}

static double
lists_of_endpoints (World *w, size_t instance)
{
  return metric (w, instance, "lentilspindle_store_table_calls_total{table=\"servers\"}");
}

static double
beliefs (World *w, size_t instance)
{
  return metric (w, instance, "lentilspindle_catalog_beliefs_total");
}

static void
put_other (World *w, int index, const char *state)
{
  char key[16];
  char *text = lb_asprintf ("{\"service\": \"others\", \"address\": \"127.0.0.1:%d\", \"zone\": "
                            "\"hall-a\", \"version\": \"v1\", \"slots\": 8, \"state\": \"%s\","
                            " \"coldLeftMs\": 0, \"seq\": 1}",
                            20000 + index, state);

  snprintf (key, sizeof key, "i-other-%02d", index);
  si_rows_put (&w->rows, "servers", "", key, text);
  free (text);
}

/* The instance lists no endpoints while it hears of three new lists through the catalog. */
static bool
only_follows (World *w, size_t instance)
{
  double lists = lists_of_endpoints (w, instance);
  double heard = beliefs (w, instance);

  UNTIL (w, beliefs (w, instance) >= heard + 3 || lists_of_endpoints (w, instance) > lists);
  return lists_of_endpoints (w, instance) <= lists;
}

/* Whoever orders the weights lists the endpoints as well. */
static bool
some_only_follows (World *w)
{
  bool found = false;

  for (size_t i = 0; i < w->n_instances; i++)
    found |= only_follows (w, i);
  return found;
}

/* Among all but one, which was killed. */
static size_t
find_publisher (World *w, size_t killed)
{
  for (size_t i = 0; i < w->n_instances; i++)
    if (i != killed && metric (w, i, "lentilspindle_catalog_writes_total") > 0)
      return i;
  return w->n_instances;
}

/* A decision's line tells whose list it went by. Whoever has a duty at the engines lists for
 * itself, so it is looked for among all but the publisher. */
static bool
some_decision_names (World *w, size_t publisher)
{
  char *text = lb_asprintf ("\"lister\":\"%s\"", w->instances[publisher].name);
  int found = 0;

  for (size_t i = 0; i < w->n_instances; i++)
    {
      call (w, i, "POST", "/lookup/1", "c1", "hello");
      cr_assert_eq (w->status, 200);
      if (i != publisher)
        found += count_logged (w, i, text);
    }
  free (text);
  return found > 0;
}

/* A site with many endpoints. One of three instances lists them for all; an endpoint that leaves is
 * heard of by the two others all the same. That one is killed, and another one goes on. */
Test (shared, one_instance_lists_the_endpoints_for_all)
{
  World w;
  size_t publisher;

  world_init (&w);
  for (int i = 0; i < 50; i++)
    put_other (&w, i, "ready");
  for (int i = 0; i < 3; i++)
    start_instance (&w);
  UNTIL (&w, (publisher = find_publisher (&w, 3)) < w.n_instances);
  UNTIL (&w, some_only_follows (&w));
  UNTIL (&w, some_decision_names (&w, publisher));
  put_other (&w, 7, "draining");
  for (size_t i = 0; i < 3; i++)
    UNTIL (&w, count_logged (&w, i, "endpoint_lists_leaving") == 1);
  pt_process_signal (&w.instances[publisher].process, SIGKILL);
  UNTIL (&w, find_publisher (&w, publisher) < w.n_instances);
  put_other (&w, 8, "draining");
  for (size_t i = 0; i < 3; i++)
    if (i != publisher)
      UNTIL (&w, count_logged (&w, i, "endpoint_lists_leaving") == 2);
  world_clear (&w);
}

/* Other writers leave rows in the endpoints' table. Calls go to the endpoints that are there, no
 * engine that nobody named is given weights, and the log tells each such row once. */
Test (shared, rows_of_other_writers_name_no_endpoint)
{
  static const char stray[]
      = "{\"service\": \"strangers\", \"address\": \"127.0.0.1:1\", \"zone\": \"hall-a\","
        " \"version\": \"v1\", \"slots\": 8, \"state\": \"ready\", \"coldLeftMs\": 0, \"seq\": 1,"
        " \"models\": [{\"name\": \"m\", \"version\": 1}]}";
  LbTime enough;
  World w;

  world_init (&w);
  si_rows_put (&w.rows, "servers", "", "i-stray", stray);
  si_rows_put (&w.rows, "servers", "", "i-half", "{\"service\": \"lookups\", \"slots\": \"many\"}");
  si_rows_put (&w.rows, "servers", "", "i-bytes", "\x01\x02");
  size_t a = start_instance (&w);
  si_rows_put (&w.rows, "op", "", "version/m", "{\"model\": \"m\", \"version\": 2}");
  UNTIL (&w, w.engines[0].version == 2 && w.engines[1].version == 2 && w.engines[2].version == 2);
  for (int i = 0; i < 10; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "c%d", i);
      call (&w, a, "GET", "/lookup/x", id, "");
      cr_assert_eq (w.status, 200);
    }
  enough = lb_clock_monotonic () + 2 * LB_SEC;
  UNTIL (&w, lb_clock_monotonic () > enough);
  cr_assert_eq (count_logged (&w, a, "endpoint_unreadable"), 3);
  cr_assert_eq (count_logged (&w, a, "weights_order\",\"endpoint\":\"i-stray"), 0);
  world_clear (&w);
}

/* An instance starts while the store is slow: it has the routes and not yet the endpoints. Its
 * first callers were told that there is no such route (404), and did not come back. */
Test (shared, a_route_whose_endpoints_are_not_known_yet_is_not_missing)
{
  World w;

  world_init (&w);
  start_instance (&w);
  w.rows.away_table = "servers";
  Instance *instance = &w.instances[w.n_instances++];
  LB_COPY (instance->name, "n1");
  write_settings (&w, instance);
  start_process (&w, instance);
  UNTIL (&w, read_address (&w, instance));
  LbTime end = lb_clock_monotonic () + LB_SEC;
  while (lb_clock_monotonic () < end)
    {
      call (&w, 1, "POST", "/lookup/1", "c1", "hello");
      cr_assert_eq (w.status, 503, "%s", w.body);
      cr_assert_neq (w.retry_after[0], '\0');
    }
  w.rows.away_table = NULL;
  UNTIL (&w, is_ready (&w, 1));
  call (&w, 1, "POST", "/lookup/1", "c2", "hello");
  cr_assert_eq (w.status, 200);
  world_clear (&w);
}

/* The operators allow bodies of 12 MiB. A caller's body of 9 MiB was refused as too large, since
 * the instance went by the bound of its own settings, 8 MiB. */
Test (shared, the_desired_state_says_how_much_callers_may_send)
{
  World w;
  size_t length = (size_t)9 << 20;
  char *body = lb_malloc (length + 1);

  memset (body, 'x', length);
  body[length] = '\0';
  world_init (&w);
  start_instance (&w);
  call (&w, 0, "GET", "/lookup/1", "c1", body);
  cr_assert_eq (w.status, 200, "%d %s", w.status, w.body);
  free (body);
  world_clear (&w);
}

/* A service of the platform has a path /metrics of its own. Its callers got the counters of the
 * instance instead, since the front answered that path before it looked at the routes. */
Test (shared, metrics_have_an_address_of_their_own)
{
  World w;

  world_init (&w);
  put_config (&w, 1,
              ", {\"name\": \"counts\", \"host\": \"h.example\", \"prefix\": \"/metrics\","
              " \"kind\": \"safe\", \"timeoutMs\": 20000, \"service\": \"lookups\","
              " \"attempts\": 3}");
  start_instance (&w);
  call (&w, 0, "GET", "/metrics", "c1", "");
  cr_assert_eq (w.status, 200);
  cr_assert_null (strstr (w.body, "lentilspindle_requests_total"), "%s", w.body);
  cr_assert_eq (w.lookup.calls, 1);
  read_metrics (&w, 0);
  cr_assert_eq (w.status, 200);
  cr_assert (strstr (w.body, "lentilspindle_requests_total"));
  cr_assert (strstr (w.body, "lentilspindle_request_seconds_bucket"));
  world_clear (&w);
}

/* The instance that runs a batch is killed in the middle. The trainer reads on at the other one:
 * every sample comes, none twice, and what stood at a position before still stands there. */
Test (shared, a_batch_outlives_its_owner)
{
  World w;

  world_init (&w);
  for (int i = 0; i < N_ENGINES; i++)
    w.engines[i].event_time = 40 * LB_MSEC;
  start_instance (&w);
  start_instance (&w);
  submit (&w, 0, "b1", 40);
  cr_assert_eq (w.status, 202);
  UNTIL (&w, count_listed (&w, 0, "b1") >= 5);
  struct json_object *before = read_results (&w, 1, "b1");
  /* The batch runs at one of the two; the row says which. */
  const char *encoded = NULL;
  for (int part = 0; part < 16 && !encoded; part++)
    {
      char name[8];
      snprintf (name, sizeof name, "%02x", part);
      encoded = si_rows_get (&w.rows, "head", name, "b1");
    }
  cr_assert (encoded);
  size_t survivor = 0;
  for (size_t i = 0; i < 2; i++)
    {
      read_metrics (&w, i);
      if (strstr (w.body, "lentilspindle_batches_owned 1"))
        survivor = 1 - i;
    }
  pt_process_signal (&w.instances[1 - survivor].process, SIGKILL);
  UNTIL (&w, count_listed (&w, survivor, "b1") == 40);
  assert_all_listed (&w, survivor, "b1", 40);
  struct json_object *after = read_results (&w, survivor, "b1");
  struct json_object *old = lb_json_member (before, "results");
  for (size_t i = 0; i < json_object_array_length (old); i++)
    cr_assert_str_eq (json_object_to_json_string (json_object_array_get_idx (old, i)),
                      json_object_to_json_string (
                          json_object_array_get_idx (lb_json_member (after, "results"), i)));
  json_object_put (before);
  json_object_put (after);
  world_clear (&w);
}

/* A trainer does not hear the answer to its submission and sends the same batch to another instance
 * at once. It is accepted once: one row, and each item run once. */
Test (shared, the_same_batch_at_two_instances_is_accepted_once)
{
  World w;
  char *body = make_batch (6);

  world_init (&w);
  start_instance (&w);
  start_instance (&w);
  int before = w.answers;
  begin_call (&w, 0, "POST", "/steps/1", "b1", body);
  begin_call (&w, 1, "POST", "/steps/1", "b1", body);
  UNTIL (&w, w.answers == before + 2);
  cr_assert_eq (w.status, 202);
  cr_assert_eq (si_rows_count (&w.rows, "head"), 1);
  UNTIL (&w, count_listed (&w, 0, "b1") == 6);
  assert_all_listed (&w, 1, "b1", 6);
  cr_assert_eq (count_runs (&w), 6);
  free (body);
  world_clear (&w);
}

/* Each text of a step is generated twice, and the engines are busy for twice as long. The instance
 * that accepted the batch hears late that another one took it, so it thinks that its offer was not
 * taken and begins a run of its own, which can list nothing. */
Test (shared, an_offer_that_was_taken_is_not_run_twice)
{
  World w;
  size_t owner;

  world_init (&w);
  for (int i = 0; i < N_ENGINES; i++)
    w.engines[i].event_time = 100 * LB_MSEC;
  start_instance (&w);
  start_instance (&w);
  submit (&w, 0, "b1", 4);
  UNTIL (&w, (owner = find_owner (&w)) < 2);
  UNTIL (&w, count_listed (&w, 0, "b1") == 4);
  w.rows.late = store_of (&w, 1 - owner);
  /* A watch that began before is over. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  UNTIL (&w, lb_clock_monotonic () >= end);
  size_t before = count_runs (&w);
  submit (&w, 1 - owner, "b2", 6);
  cr_assert_eq (w.status, 202);
  UNTIL (&w, count_listed (&w, owner, "b2") == 6);
  cr_assert_eq (count_runs (&w) - before, 6);
  world_clear (&w);
}

/* The instance that a batch is offered to is cut off and hears of it two seconds late. The acceptor
 * runs the batch by then; the other took it away in the middle, and what its texts had got was made
 * again, at engines that others waited for. */
Test (shared, an_offer_that_is_heard_late_is_not_taken)
{
  World w;
  size_t preferred;

  world_init (&w);
  for (int i = 0; i < N_ENGINES; i++)
    w.engines[i].event_time = 150 * LB_MSEC;
  start_instance (&w);
  start_instance (&w);
  submit (&w, 0, "b1", 2);
  UNTIL (&w, (preferred = find_owner (&w)) < 2);
  UNTIL (&w, count_listed (&w, 0, "b1") == 2);
  w.rows.late = store_of (&w, preferred);
  /* A watch that began before is over. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  UNTIL (&w, lb_clock_monotonic () >= end);
  size_t before = count_runs (&w);
  submit (&w, 1 - preferred, "b2", 6);
  cr_assert_eq (w.status, 202);
  UNTIL (&w, count_listed (&w, 1 - preferred, "b2") == 6);
  assert_all_listed (&w, 1 - preferred, "b2", 6);
  cr_assert_eq (count_runs (&w) - before, 6);
  world_clear (&w);
}

/* With 84 instances the store is busy and instances are taken for dead in turn, with their batches:
 * a part of the store takes 200 writes a second, and renewals, lease and plan lay in the unnamed
 * part with the heartbeats of all endpoints. None of ours lies there. */
Test (shared, nothing_of_ours_lies_where_endpoints_write)
{
  static const char *const names[] = { "n0", "n1" };
  World w;

  world_init (&w);
  start_instance (&w);
  start_instance (&w);
  UNTIL (&w, si_rows_count (&w.rows, "instance") == 2);
  UNTIL (&w, si_rows_count (&w.rows, "lease") == 1);
  for (size_t i = 0; i < 2; i++)
    cr_assert_null (si_rows_get (&w.rows, "instance", "", names[i]));
  cr_assert_null (si_rows_get (&w.rows, "lease", "", "weights"));
  world_clear (&w);
}

/* After some hours every batch is refused: the store is full of batches that ended long ago, since
 * nothing in it expires. What an ended batch left is removed; one that is open stays. */
Test (shared, what_an_ended_batch_left_is_removed)
{
  World w;

  world_init (&w);
  start_instance (&w);
  start_instance (&w);
  submit (&w, 0, "b1", 6);
  submit (&w, 1, "b2", 3);
  UNTIL (&w, count_listed (&w, 0, "b1") == 6);
  UNTIL (&w, count_listed (&w, 0, "b2") == 3);
  call (&w, 1, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (w.status, 200);
  UNTIL (&w, si_rows_count (&w.rows, "head") == 1);
  cr_assert_eq (si_rows_count (&w.rows, "result"), 3);
  cr_assert_eq (si_rows_count_objects (&w.rows), 1);
  UNTIL (&w, (call (&w, 0, "GET", "/-/lots/b1", "", ""), w.status == 404));
  UNTIL (&w, (call (&w, 1, "GET", "/-/lots/b1", "", ""), w.status == 404));
  assert_all_listed (&w, 0, "b2", 3);
  world_clear (&w);
}

static bool
is_long_text_listed (World *w, size_t instance, int position, size_t length)
{
  char path[64];

  snprintf (path, sizeof path, "/-/lots/b1?after=%d", position);
  call (w, instance, "GET", path, "", "");
  struct json_object *page = json_tokener_parse (w->body);
  struct json_object *results = lb_json_member (page, "results");
  bool is_listed
      = json_object_is_type (results, json_type_array) && json_object_array_length (results) > 0;
  if (is_listed)
    {
      struct json_object *result = json_object_array_get_idx (results, 0);
      cr_assert_str_eq (lb_json_text (result, "state", ""), "completed");
      cr_assert_gt (strlen (lb_json_text (result, "text", "")), length);
      cr_assert_eq (lb_json_int (page, "next", 0), position + 1);
    }
  json_object_put (page);
  return is_listed;
}

/* A trainer waits in vain for a step with one text of 120 KB: a row of the store holds 64 KiB, the
 * write of that result was refused again and again, and all results behind it waited. */
Test (shared, a_text_longer_than_a_row_is_listed)
{
  World w;

  world_init (&w);
  for (int i = 0; i < N_ENGINES; i++)
    w.engines[i].padding = 40000;
  start_instance (&w);
  start_instance (&w);
  submit (&w, 0, "b1", 4);
  for (int i = 0; i < 4; i++)
    UNTIL (&w, is_long_text_listed (&w, (size_t)i % 2, i, (size_t)w.engines[0].events * 40000));
  call (&w, 0, "DELETE", "/-/lots/b1", "", "");
  UNTIL (&w, si_rows_count (&w.rows, "head") == 0);
  cr_assert_eq (si_rows_count (&w.rows, "result") + si_rows_count (&w.rows, "more"), 0);
  world_clear (&w);
}

/* The store takes the row of a batch and its answer is lost. "Refused" would be a lie: the batch
 * runs. The instance asks again, and the row tells it. */
Test (shared, a_lost_answer_of_the_store_is_no_refusal)
{
  World w;
  char *body = make_batch (3);

  world_init (&w);
  start_instance (&w);
  int before = w.answers;
  w.rows.mode = SI_ROWS_LOSES_REPLY;
  begin_call (&w, 0, "POST", "/steps/1", "b1", body);
  UNTIL (&w, si_rows_count (&w.rows, "head") == 1);
  w.rows.mode = SI_ROWS_WELL;
  UNTIL (&w, w.answers > before);
  cr_assert_eq (w.status, 202);
  UNTIL (&w, count_listed (&w, 0, "b1") == 3);
  assert_all_listed (&w, 0, "b1", 3);
  free (body);
  world_clear (&w);
}

/* A trainer's step is accepted and no item of it ever begins. The answer to the write of its row
 * was lost, the second try went through another instance, and the watch showed the row before that
 * try was answered: the instance took note of its own row while it still waited, and never looked
 * again. */
Test (shared, a_batch_whose_row_shows_before_its_answer_is_run)
{
  World w;
  size_t owner;

  world_init (&w);
  start_instance (&w);
  start_instance (&w);
  submit (&w, 0, "b1", 2);
  UNTIL (&w, (owner = find_owner (&w)) < 2);
  UNTIL (&w, count_listed (&w, 0, "b1") == 2);
  /* Each knows the other by then. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  UNTIL (&w, lb_clock_monotonic () >= end);
  w.instances[1 - owner].to_store.fault = (PtRelayFault){ .delay = 150 * LB_MSEC };
  w.rows.lost_replies = 1;
  submit (&w, owner, "b2", 3);
  cr_assert_eq (w.status, 202);
  w.instances[1 - owner].to_store.fault = (PtRelayFault){ 0 };
  UNTIL (&w, count_listed (&w, owner, "b2") == 3);
  assert_all_listed (&w, owner, "b2", 3);
  world_clear (&w);
}

/* The store takes the row of a batch, its answer is lost, and it refuses all calls after that. Told
 * "not run" the trainer would submit its step anew, and the batch that was taken would run beside
 * it as soon as the store is back. */
Test (shared, a_batch_whose_row_may_stand_is_not_called_refused)
{
  World w;

  world_init (&w);
  start_instance (&w);
  w.rows.lost_replies = 1;
  w.rows.away_once_lost = true;
  submit (&w, 0, "b1", 3);
  cr_assert_eq (w.status, 502);
  cr_assert_eq (si_rows_count (&w.rows, "head"), 1);
  w.rows.mode = SI_ROWS_WELL;
  UNTIL (&w, count_listed (&w, 0, "b1") == 3);
  assert_all_listed (&w, 0, "b1", 3);
  world_clear (&w);
}

/* Without the store nothing can be accepted. The trainer hears so at once, with a time to come
 * back, and nothing of the batch runs; calls of plain services go on. */
Test (shared, without_the_store_batches_are_refused_and_calls_served)
{
  World w;

  world_init (&w);
  start_instance (&w);
  w.rows.mode = SI_ROWS_AWAY;
  submit (&w, 0, "b1", 3);
  cr_assert_eq (w.status, 503);
  cr_assert_neq (w.retry_after[0], '\0');
  call (&w, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (w.status, 200);
  w.rows.mode = SI_ROWS_WELL;
  UNTIL (&w, (submit (&w, 0, "b1", 3), w.status == 202));
  UNTIL (&w, count_listed (&w, 0, "b1") == 3);
  world_clear (&w);
}

/* An answer of the store that was held up brings back an older state. Routes that were added since
 * must not vanish. */
Test (shared, an_older_desired_state_does_not_come_back)
{
  static const char more[] = ", {\"name\": \"new\", \"host\": \"h.example\", \"prefix\": \"/new/\","
                             " \"kind\": \"safe\", \"service\": \"lookups\", \"attempts\": 2}";
  World w;

  world_init (&w);
  start_instance (&w);
  put_config (&w, 5, more);
  UNTIL (&w, (call (&w, 0, "GET", "/new/x", "c1", ""), w.status == 200));
  put_config (&w, 4, "");
  for (int i = 0; i < 20; i++)
    {
      call (&w, 0, "GET", "/new/x", "c2", "");
      cr_assert_eq (w.status, 200);
      usleep (50000);
    }
  si_rows_put (&w.rows, "op", "", "config", "{\"version\": 9, \"routes\": \"none\"}");
  for (int i = 0; i < 20; i++)
    {
      call (&w, 0, "GET", "/new/x", "c3", "");
      cr_assert_eq (w.status, 200, "one that can't be read changes nothing either");
      usleep (50000);
    }
  world_clear (&w);
}

/* The operator stops an instance. It is not ready from then on, gives its batch away with what has
 * come of it, serves callers that still hold its address, and exits with 0. */
Test (shared, a_stopped_instance_gives_its_batch_away_and_cuts_nothing)
{
  World w;

  world_init (&w);
  for (int i = 0; i < N_ENGINES; i++)
    w.engines[i].event_time = 40 * LB_MSEC;
  start_instance (&w);
  start_instance (&w);
  submit (&w, 0, "b1", 30);
  UNTIL (&w, count_listed (&w, 0, "b1") >= 3);
  pt_process_signal (&w.instances[0].process, SIGTERM);
  UNTIL (&w, !is_ready (&w, 0));
  call (&w, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (w.status, 200);
  UNTIL (&w, pt_process_has_exited (&w.instances[0].process, 0));
  UNTIL (&w, count_listed (&w, 1, "b1") == 30);
  assert_all_listed (&w, 1, "b1", 30);
  call (&w, 1, "GET", "/-/resolve?name=h.example", "", "");
  cr_assert_null (strstr (w.body, w.instances[0].address));
  world_clear (&w);
}

/* A reload cuts nothing, and a file that can't be read changes nothing. */
Test (shared, a_reload_cuts_nothing)
{
  World w;
  char path[128];

  world_init (&w);
  start_instance (&w);
  submit (&w, 0, "b1", 10);
  pt_process_signal (&w.instances[0].process, SIGHUP);
  call (&w, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (w.status, 200);
  snprintf (path, sizeof path, "%s/%s.json", w.folder, w.instances[0].name);
  FILE *out = fopen (path, "w");
  fputs ("{ nonsense", out);
  fclose (out);
  pt_process_signal (&w.instances[0].process, SIGHUP);
  UNTIL (&w, count_listed (&w, 0, "b1") == 10);
  cr_assert_not (w.instances[0].process.ended);
  world_clear (&w);
}

/* The trainer ends a step while its items run: engines stop working on them within a second or so.
 */
Test (shared, an_ended_batch_stops_at_the_engines)
{
  World w;

  world_init (&w);
  for (int i = 0; i < N_ENGINES; i++)
    {
      w.engines[i].events = 1000;
      w.engines[i].event_time = 50 * LB_MSEC;
    }
  start_instance (&w);
  submit (&w, 0, "b1", 6);
  UNTIL (&w, count_runs (&w) >= 6);
  call (&w, 0, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (w.status, 200);
  UNTIL (&w, w.engines[0].cancelled + w.engines[1].cancelled + w.engines[2].cancelled == 6);
  size_t runs = count_runs (&w);
  for (int i = 0; i < 100; i++)
    turn (&w);
  cr_assert_eq (count_runs (&w), runs);
  world_clear (&w);
}

/* An engine says that it leaves: nothing new goes there, and what runs there goes on to its end. */
Test (shared, an_engine_that_leaves_gets_nothing_new)
{
  World w;

  world_init (&w);
  start_instance (&w);
  submit (&w, 0, "b1", 9);
  UNTIL (&w, count_listed (&w, 0, "b1") == 9);
  w.engines[0].leaving = true;
  si_sampler_register (&w.engines[0]);
  LbTime end = lb_clock_monotonic () + 2 * LB_SEC;
  while (lb_clock_monotonic () < end)
    turn (&w);
  size_t runs = w.engines[0].n_runs;
  submit (&w, 0, "b2", 12);
  UNTIL (&w, count_listed (&w, 0, "b2") == 12);
  cr_assert_eq (w.engines[0].n_runs, runs);
  world_clear (&w);
}
