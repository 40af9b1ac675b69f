#include "pt-shared.h"

#include "pt-assert.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_HEADERS 8

static const char config[]
    = "{\"version\": %d, \"routes\": ["
      "{\"name\": \"lookup\", \"host\": \"h.example\", \"prefix\": \"/lookup/\", \"kind\": "
      "\"safe\","
      " \"timeoutMs\": 20000, \"service\": \"lookups\", \"attempts\": 3},"
      "{\"name\": \"steps\", \"host\": \"h.example\", \"prefix\": \"/steps/\","
      " \"kind\": \"weight_rollout\", \"service\": \"engines\", \"attempts\": 3}%s],"
      "\"services\": [{\"name\": \"engines\", \"maxConns\": 100, \"engine\": {\"stride\": 1}},"
      " {\"name\": \"lookups\", \"maxConns\": 100}, {\"name\": \"others\"}],"
      "\"limits\": {\"maxBodyBytes\": 12582912}%s}";

void
ps_run_loop_once (PsCluster *w)
{
  event_base_loop (w->base, EVLOOP_NONBLOCK);
  for (size_t i = 0; i < w->n_instances; i++)
    pt_process_poll (&w->instances[i].process);
  usleep (500);
}

void
ps_put_config (PsCluster *w, int version, const char *more_routes)
{
  char *text = lb_asprintf (config, version, more_routes, w->organisations ? w->organisations : "");

  si_row_store_put (&w->rows, "op", "", "config", text);
  free (text);
}

void
ps_cluster_init (PsCluster *w)
{
  char name[16];

  memset (w, 0, sizeof *w);
  signal (SIGPIPE, SIG_IGN);
  snprintf (w->folder, sizeof w->folder, "/tmp/lentilspindle-shared-XXXXXX");
  PT_ASSERT (mkdtemp (w->folder));
  w->base = event_base_new ();
  w->pool = lh_pool_new (w->base);
  PT_ASSERT (si_row_store_init (&w->rows, w->base, 0));
  for (int i = 0; i < PS_N_ENGINES; i++)
    {
      snprintf (name, sizeof name, "i-engine-%d", i);
      PT_ASSERT (si_endpoint_init (&w->engines[i], w->base, &w->rows, name, "engines", "m"));
    }
  PT_ASSERT (si_endpoint_init (&w->lookup, w->base, &w->rows, "i-lookup", "lookups", ""));
  PT_ASSERT (si_control_plane_init (&w->cloud, w->base));
  ps_put_config (w, 1, "");
}

void
ps_cluster_clear (PsCluster *w)
{
  char command[128];

  for (size_t i = 0; i < w->n_instances; i++)
    {
      pt_process_clear (&w->instances[i].process);
      pt_relay_clear (&w->instances[i].to_store);
    }
  lh_pool_free (w->pool);
  for (int i = 0; i < PS_N_ENGINES; i++)
    si_endpoint_clear (&w->engines[i]);
  si_endpoint_clear (&w->lookup);
  si_control_plane_clear (&w->cloud);
  si_row_store_clear (&w->rows);
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
  PsCluster *w = user;
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

static size_t
add_identity (const PsCluster *w, LhHeader *headers, size_t n)
{
  if (w->key)
    headers[n++] = (LhHeader){ "Api-Key", w->key };
  if (w->more_key)
    headers[n++] = (LhHeader){ "Api-Key", w->more_key };
  if (w->claims)
    {
      headers[n++] = (LhHeader){ "Tenant", w->claims };
      headers[n++] = (LhHeader){ "TENANT", w->claims };
    }
  return n;
}

LhFetch *
ps_start_call (PsCluster *w,
               size_t instance,
               const char *method,
               const char *path,
               const char *id,
               const char *body)
{
  LhHeader headers[MAX_HEADERS] = { { "Attempt-Id", id }, { "Deadline-Ms", "20000" } };
  size_t n_headers = 2;
  const LhHandlers handlers = { .on_done = on_done };
  const LhRequest request = { .method = method,
                              .address = w->instances[instance].address,
                              .path = path,
                              .host = "h.example",
                              .headers = headers,
                              .n_headers = add_identity (w, headers, n_headers),
                              .body = body,
                              .body_length = strlen (body),
                              .fresh_connection = true };

  return lh_fetch_start (w->pool, &request, &handlers, w, NULL);
}

void
ps_call (PsCluster *w,
         size_t instance,
         const char *method,
         const char *path,
         const char *id,
         const char *body)
{
  int before = w->answers;

  ps_start_call (w, instance, method, path, id, body);
  PS_WAIT_UNTIL (w, w->answers > before);
}

/* --- instances --- */

const SiServer *
ps_store_server (const PsCluster *w, size_t instance)
{
  return instance == 0 ? &w->rows.server : &w->rows.second_server;
}

/* NULL: the platform wants no calls. Windows of a second, so that no test waits long for one. */
static char *
duties_of (const PsCluster *w)
{
  if (!w->has_duties)
    return NULL;
  return lb_asprintf (" \"duties\": {\"address\": \"%s\", \"usage_window_s\": 1,"
                      " \"usage_due_s\": 10, \"kinds\": [\"usage_report\", \"autoscale\"]},",
                      w->cloud.server.address);
}

static void
write_settings (PsCluster *w, PsInstance *instance)
{
  const SiServer *store = ps_store_server (w, (size_t)(instance - w->instances));
  char path[128];

  char *duties = duties_of (w);

  pt_relay_init (&instance->to_store, w->base, store->address);
  snprintf (path, sizeof path, "%s/%s.json", w->folder, instance->name);
  FILE *out = fopen (path, "w");
  PT_ASSERT (out);
  fprintf (out,
           "{\"instance\": {\"name\": \"%s\", \"data_centre\": \"hall-a\","
           " \"caller_address\": \"127.0.0.1:0\", \"peer_address\": \"127.0.0.1:0\","
           " \"metrics_address\": \"127.0.0.1:0\"},"
           " \"platform\": {\"kind\": \"shared\", \"address\": \"%s\", \"deadline_ms\": 1000},"
           " \"batches\": {\"keep_ended_s\": 5},%s"
           " \"drain\": {\"drain_ms\": 300, \"entry_ttl_ms\": 2000},"
           " \"address_file\": \"%s/%s.addr\"}",
           instance->name, instance->to_store.address, duties ? duties : "", w->folder,
           instance->name);
  fclose (out);
  free (duties);
}

static bool
read_address (PsCluster *w, PsInstance *instance)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.addr", w->folder, instance->name);
  struct json_object *object = json_object_from_file (path);
  LB_COPY (instance->address, object ? lb_json_text (object, "caller_address", "") : "");
  LB_COPY (instance->metrics_address, object ? lb_json_text (object, "metrics_address", "") : "");
  json_object_put (object);
  return instance->address[0] != '\0';
}

void
ps_read_metrics (PsCluster *w, size_t instance)
{
  const LhHandlers handlers = { .on_done = on_done };
  const LhRequest request = { .method = "GET",
                              .address = w->instances[instance].metrics_address,
                              .path = "/metrics",
                              .fresh_connection = true };
  int before = w->answers;

  lh_fetch_start (w->pool, &request, &handlers, w, NULL);
  PS_WAIT_UNTIL (w, w->answers > before);
}

bool
ps_is_ready (PsCluster *w, size_t instance)
{
  ps_call (w, instance, "GET", "/-/readiness", "", "");
  return w->status == 200;
}

static void
start_process (PsCluster *w, PsInstance *instance)
{
  char settings[128];
  char log[128];
  const char *const argv[] = { "lentilspindled", "--config", settings, NULL };

  snprintf (settings, sizeof settings, "%s/%s.json", w->folder, instance->name);
  snprintf (log, sizeof log, "%s/%s.log", w->folder, instance->name);
  pt_process_start (&instance->process, argv, log);
}

size_t
ps_spawn_instance (PsCluster *w)
{
  size_t index = w->n_instances;
  PsInstance *instance = &w->instances[index];

  snprintf (instance->name, sizeof instance->name, "n%zu", index);
  write_settings (w, instance);
  start_process (w, instance);
  w->n_instances++;
  PS_WAIT_UNTIL (w, read_address (w, instance));
  return index;
}

size_t
ps_start_instance (PsCluster *w)
{
  size_t index = ps_spawn_instance (w);

  PS_WAIT_UNTIL (w, ps_is_ready (w, index));
  return index;
}

void
ps_restart_instance (PsCluster *w, size_t index)
{
  PsInstance *instance = &w->instances[index];
  char *file = lb_asprintf ("%s/%s.addr", w->folder, instance->name);

  pt_process_clear (&instance->process);
  unlink (file);
  start_process (w, instance);
  PS_WAIT_UNTIL (w, read_address (w, instance));
  PS_WAIT_UNTIL (w, ps_is_ready (w, index));
  free (file);
}

/* --- batches --- */

char *
ps_make_batch (int n_items)
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

void
ps_submit (PsCluster *w, size_t instance, const char *id, int n_items)
{
  char *body = ps_make_batch (n_items);

  ps_call (w, instance, "POST", "/steps/1", id, body);
  free (body);
}

struct json_object *
ps_read_results (PsCluster *w, size_t instance, const char *id)
{
  char *path = lb_asprintf ("/-/lots/%s?after=0", id);

  ps_call (w, instance, "GET", path, "", "");
  free (path);
  return w->status == 200 ? json_tokener_parse (w->body) : NULL;
}

int64_t
ps_count_listed (PsCluster *w, size_t instance, const char *id)
{
  struct json_object *page = ps_read_results (w, instance, id);
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

void
ps_assert_all_listed (PsCluster *w, size_t instance, const char *id, int n_items)
{
  struct json_object *page = ps_read_results (w, instance, id);
  struct json_object *results = lb_json_member (page, "results");
  int seen[64] = { 0 };
  char score[64];

  PT_ASSERT (json_object_array_length (results) == (size_t)n_items);
  for (int i = 0; i < n_items; i++)
    {
      struct json_object *result = json_object_array_get_idx (results, (size_t)i);
      const char *item = lb_json_text (result, "id", "");
      int number = atoi (item + strlen ("item"));
      snprintf (score, sizeof score, "stamp-score%d", number);
      PT_ASSERT (strcmp (lb_json_text (result, "state", ""), "completed") == 0);
      PT_ASSERT (is_whole_text (item, lb_json_text (result, "text", ""), w->engines[0].n_events));
      PT_ASSERT (strcmp (lb_json_text (result, "score", ""), score) == 0);
      PT_ASSERT_MSG (seen[number]++ == 0, "%s stands twice", item);
    }
  json_object_put (page);
}

size_t
ps_count_engine_runs (const PsCluster *w)
{
  size_t n = 0;

  for (int i = 0; i < PS_N_ENGINES; i++)
    n += w->engines[i].n_stream_records;
  return n;
}

size_t
ps_find_owner (PsCluster *w)
{
  size_t owner = w->n_instances;

  for (size_t i = 0; i < w->n_instances; i++)
    {
      ps_read_metrics (w, i);
      if (strstr (w->body, "lentilspindle_batches_owned 1"))
        owner = i;
    }
  return owner;
}

int
ps_count_logged (const PsCluster *w, size_t instance, const char *text)
{
  const char *at = w->instances[instance].process.output;
  int count = 0;

  while (at && (at = strstr (at, text)))
    {
      at += strlen (text);
      count++;
    }
  return count;
}

double
ps_read_metric (PsCluster *w, size_t instance, const char *name)
{
  char line[96];

  ps_read_metrics (w, instance);
  snprintf (line, sizeof line, "\n%s ", name);
  const char *at = strstr (w->body, line);
  return at ? strtod (at + strlen (line), NULL) : 0;
}
