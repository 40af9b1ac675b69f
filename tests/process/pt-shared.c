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

#define MAX_REQUEST_HEADERS 8

static const char desired_state_format[]
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
ps_run_event_loop_once (PsCluster *cluster)
{
  /* With EVLOOP_NONBLOCK alone, the loop returns only when no event is active. */
  event_base_loop (cluster->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  for (size_t i = 0; i < cluster->n_instances; i++)
    pt_process_poll (&cluster->instances[i].process);
  usleep (500);
}

void
ps_put_desired_state (PsCluster *cluster, int version, const char *more_routes)
{
  char *text = lb_asprintf (desired_state_format, version, more_routes,
                            cluster->organisations_json ? cluster->organisations_json : "");

  si_row_store_put (&cluster->store, "op", "", "config", text);
  free (text);
}

void
ps_cluster_init (PsCluster *cluster)
{
  char name[16];

  memset (cluster, 0, sizeof *cluster);
  signal (SIGPIPE, SIG_IGN);
  snprintf (cluster->folder, sizeof cluster->folder, "/tmp/lentilspindle-shared-XXXXXX");
  PT_ASSERT (mkdtemp (cluster->folder));
  cluster->base = event_base_new ();
  cluster->pool = lh_pool_new (cluster->base);
  PT_ASSERT (si_row_store_init (&cluster->store, cluster->base, 0));
  for (int i = 0; i < PS_N_ENGINES; i++)
    {
      snprintf (name, sizeof name, "i-engine-%d", i);
      PT_ASSERT (si_endpoint_init (&cluster->engines[i], cluster->base, &cluster->store, name,
                                   "engines", "m"));
    }
  PT_ASSERT (si_endpoint_init (&cluster->lookup, cluster->base, &cluster->store, "i-lookup",
                               "lookups", ""));
  PT_ASSERT (si_control_plane_init (&cluster->control_plane, cluster->base));
  ps_put_desired_state (cluster, 1, "");
}

void
ps_cluster_clear (PsCluster *cluster)
{
  char path[128];

  for (size_t i = 0; i < cluster->n_instances; i++)
    {
      pt_process_clear (&cluster->instances[i].process);
      pt_relay_clear (&cluster->instances[i].store_relay);
    }
  lh_pool_free (cluster->pool);
  for (int i = 0; i < PS_N_ENGINES; i++)
    si_endpoint_clear (&cluster->engines[i]);
  si_endpoint_clear (&cluster->lookup);
  si_control_plane_clear (&cluster->control_plane);
  si_row_store_clear (&cluster->store);
  event_base_free (cluster->base);
  free (cluster->response_body);
  for (size_t i = 0; i < cluster->n_instances; i++)
    for (int kind = 0; kind < 3; kind++)
      {
        static const char *const kinds[] = { "json", "addr", "log" };
        snprintf (path, sizeof path, "%s/%s.%s", cluster->folder, cluster->instances[i].name,
                  kinds[kind]);
        unlink (path);
      }
  rmdir (cluster->folder);
}

/* --- Calls to instances --- */

static void
copy_response_to_cluster (LhFetch *fetch, const LhResult *result, void *user)
{
  PsCluster *cluster = user;
  const char *retry_after = lh_fetch_get_response_header (fetch, "Retry-After");
  const char *server_stamp = lh_fetch_get_response_header (fetch, "Server-Stamp");

  cluster->n_responses++;
  cluster->response_error = result->failure;
  cluster->response_status = result->status;
  free (cluster->response_body);
  cluster->response_body = lb_strndup (result->body ? result->body : "", result->body_length);
  LB_COPY (cluster->retry_after, retry_after ? retry_after : "");
  LB_COPY (cluster->server_stamp, server_stamp ? server_stamp : "");
}

static size_t
add_credential_headers (const PsCluster *cluster, LhHeader *headers, size_t n)
{
  if (cluster->api_key)
    headers[n++] = (LhHeader){ "Api-Key", cluster->api_key };
  if (cluster->second_api_key)
    headers[n++] = (LhHeader){ "Api-Key", cluster->second_api_key };
  if (cluster->claimed_organisation)
    {
      headers[n++] = (LhHeader){ "Tenant", cluster->claimed_organisation };
      headers[n++] = (LhHeader){ "TENANT", cluster->claimed_organisation };
    }
  return n;
}

LhFetch *
ps_start_call (PsCluster *cluster,
               size_t instance,
               const char *method,
               const char *path,
               const char *id,
               const char *body)
{
  LhHeader headers[MAX_REQUEST_HEADERS] = { { "Attempt-Id", id }, { "Deadline-Ms", "20000" } };
  size_t n_headers = 2;
  const LhHandlers handlers = { .on_done = copy_response_to_cluster };
  const LhRequest request = { .method = method,
                              .address = cluster->instances[instance].address,
                              .path = path,
                              .host = "h.example",
                              .headers = headers,
                              .n_headers = add_credential_headers (cluster, headers, n_headers),
                              .body = body,
                              .body_length = strlen (body),
                              .fresh_connection = true };

  return lh_fetch_start (cluster->pool, &request, &handlers, cluster, NULL);
}

void
ps_call_and_wait (PsCluster *cluster,
                  size_t instance,
                  const char *method,
                  const char *path,
                  const char *id,
                  const char *body)
{
  int before = cluster->n_responses;

  ps_start_call (cluster, instance, method, path, id, body);
  PS_WAIT_UNTIL (cluster, cluster->n_responses > before);
}

/* --- Starting instances --- */

const SiServer *
ps_get_store_server (const PsCluster *cluster, size_t instance)
{
  return instance == 0 ? &cluster->store.server : &cluster->store.second_server;
}

/* Returns the settings group "duties" (usage reports and autoscaling); NULL if has_duties is not
 * set. Usage windows last 1 s to keep the tests short. */
static char *
make_duties_settings_json (const PsCluster *cluster)
{
  if (!cluster->has_duties)
    return NULL;
  return lb_asprintf (" \"duties\": {\"address\": \"%s\", \"usage_window_s\": 1,"
                      " \"usage_due_s\": 10, \"kinds\": [\"usage_report\", \"autoscale\"]},",
                      cluster->control_plane.server.address);
}

static void
write_settings_file (PsCluster *cluster, PsInstance *instance)
{
  const SiServer *store = ps_get_store_server (cluster, (size_t)(instance - cluster->instances));
  char path[128];
  char *duties = make_duties_settings_json (cluster);

  pt_relay_init (&instance->store_relay, cluster->base, store->address);
  snprintf (path, sizeof path, "%s/%s.json", cluster->folder, instance->name);
  FILE *out = fopen (path, "w");
  PT_ASSERT (out);
  fprintf (out,
           "{\"instance\": {\"name\": \"%s\", \"data_centre\": \"hall-a\","
           " \"caller_address\": \"127.0.0.1:0\", \"peer_address\": \"127.0.0.1:0\","
           " \"metrics_address\": \"127.0.0.1:0\"},"
           " \"platform\": {\"kind\": \"shared\", \"address\": \"%s\", \"deadline_ms\": 1000},"
           " \"http\": {\"request_read_ms\": %d},"
           " \"batches\": {\"keep_ended_s\": %d},%s"
           " \"drain\": {\"drain_ms\": %d, \"grace_s\": %g, \"entry_ttl_ms\": 2000},"
           " \"address_file\": \"%s/%s.addr\"}",
           instance->name, instance->store_relay.address,
           cluster->request_read_ms > 0 ? cluster->request_read_ms : 10000,
           cluster->keep_ended_s > 0 ? cluster->keep_ended_s : 5, duties ? duties : "",
           cluster->drain_ms > 0 ? cluster->drain_ms : 300, cluster->grace_s, cluster->folder,
           instance->name);
  fclose (out);
  free (duties);
}

static bool
read_address_file (PsCluster *cluster, PsInstance *instance)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.addr", cluster->folder, instance->name);
  struct json_object *object = json_object_from_file (path);
  LB_COPY (instance->address, object ? lb_json_text (object, "caller_address", "") : "");
  LB_COPY (instance->metrics_address, object ? lb_json_text (object, "metrics_address", "") : "");
  json_object_put (object);
  return instance->address[0] != '\0';
}

void
ps_fetch_metrics (PsCluster *cluster, size_t instance)
{
  const LhHandlers handlers = { .on_done = copy_response_to_cluster };
  const LhRequest request = { .method = "GET",
                              .address = cluster->instances[instance].metrics_address,
                              .path = "/metrics",
                              .fresh_connection = true };
  int before = cluster->n_responses;

  lh_fetch_start (cluster->pool, &request, &handlers, cluster, NULL);
  PS_WAIT_UNTIL (cluster, cluster->n_responses > before);
}

bool
ps_is_instance_ready (PsCluster *cluster, size_t instance)
{
  ps_call_and_wait (cluster, instance, "GET", "/-/readiness", "", "");
  return cluster->response_status == 200;
}

static void
start_daemon_process (PsCluster *cluster, PsInstance *instance)
{
  char settings[128];
  char log[128];
  const char *const argv[] = { "lentilspindled", "--config", settings, NULL };

  snprintf (settings, sizeof settings, "%s/%s.json", cluster->folder, instance->name);
  snprintf (log, sizeof log, "%s/%s.log", cluster->folder, instance->name);
  pt_process_start (&instance->process, argv, log);
}

size_t
ps_spawn_instance (PsCluster *cluster)
{
  size_t index = cluster->n_instances;
  PsInstance *instance = &cluster->instances[index];

  snprintf (instance->name, sizeof instance->name, "n%zu", index);
  write_settings_file (cluster, instance);
  start_daemon_process (cluster, instance);
  cluster->n_instances++;
  PS_WAIT_UNTIL (cluster, read_address_file (cluster, instance));
  return index;
}

size_t
ps_start_instance (PsCluster *cluster)
{
  size_t index = ps_spawn_instance (cluster);

  PS_WAIT_UNTIL (cluster, ps_is_instance_ready (cluster, index));
  return index;
}

void
ps_restart_instance (PsCluster *cluster, size_t index)
{
  PsInstance *instance = &cluster->instances[index];
  char *file = lb_asprintf ("%s/%s.addr", cluster->folder, instance->name);

  pt_process_clear (&instance->process);
  unlink (file);
  start_daemon_process (cluster, instance);
  PS_WAIT_UNTIL (cluster, read_address_file (cluster, instance));
  PS_WAIT_UNTIL (cluster, ps_is_instance_ready (cluster, index));
  free (file);
}

/* --- Submitting batches and reading results --- */

char *
ps_make_batch_json (int n_items)
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
ps_submit_batch (PsCluster *cluster, size_t instance, const char *id, int n_items)
{
  char *body = ps_make_batch_json (n_items);

  ps_call_and_wait (cluster, instance, "POST", "/steps/1", id, body);
  free (body);
}

void
ps_start_two_instances_with_batch (PsCluster *cluster)
{
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster->engines[i].event_interval = 40 * LB_MSEC;
  ps_start_instance (cluster);
  ps_start_instance (cluster);
  ps_submit_batch (cluster, 0, "b1", 30);
  PS_WAIT_UNTIL (cluster, ps_count_results_on_first_page (cluster, 0, "b1") >= 3);
}

struct json_object *
ps_read_first_results_page (PsCluster *cluster, size_t instance, const char *id)
{
  char *path = lb_asprintf ("/-/lots/%s?after=0", id);

  ps_call_and_wait (cluster, instance, "GET", path, "", "");
  free (path);
  return cluster->response_status == 200 ? json_tokener_parse (cluster->response_body) : NULL;
}

int64_t
ps_count_results_on_first_page (PsCluster *cluster, size_t instance, const char *id)
{
  struct json_object *page = ps_read_first_results_page (cluster, instance, id);
  int64_t next = page ? lb_json_int (page, "next", 0) : -1;

  json_object_put (page);
  return next;
}

/* Returns whether the text consists of the lines "ITEM.1" to "ITEM.N", where N is `events`. */
static bool
is_complete_sample_text (const char *item, const char *text, int events)
{
  char *expected = lb_strdup ("");

  for (int i = 1; i <= events; i++)
    {
      char *extended = lb_asprintf ("%s%s%s.%d", expected, i > 1 ? "\n" : "", item, i);
      free (expected);
      expected = extended;
    }
  bool is_equal = strcmp (expected, text) == 0;
  free (expected);
  return is_equal;
}

void
ps_assert_each_item_has_one_result (PsCluster *cluster,
                                    size_t instance,
                                    const char *id,
                                    int n_items)
{
  struct json_object *page = ps_read_first_results_page (cluster, instance, id);
  struct json_object *results = lb_json_member (page, "results");
  int times_listed[64] = { 0 };
  char score[64];

  PT_ASSERT (json_object_array_length (results) == (size_t)n_items);
  for (int i = 0; i < n_items; i++)
    {
      struct json_object *result = json_object_array_get_idx (results, (size_t)i);
      const char *item = lb_json_text (result, "id", "");
      int number = atoi (item + strlen ("item"));
      snprintf (score, sizeof score, "stamp-score%d", number);
      PT_ASSERT (strcmp (lb_json_text (result, "state", ""), "completed") == 0);
      PT_ASSERT (is_complete_sample_text (item, lb_json_text (result, "text", ""),
                                          cluster->engines[0].n_events));
      PT_ASSERT (strcmp (lb_json_text (result, "score", ""), score) == 0);
      PT_ASSERT_MSG (times_listed[number]++ == 0, "result of %s is listed more than once", item);
    }
  json_object_put (page);
}

size_t
ps_count_started_sample_streams (const PsCluster *cluster)
{
  size_t n = 0;

  for (int i = 0; i < PS_N_ENGINES; i++)
    n += cluster->engines[i].n_stream_records;
  return n;
}

size_t
ps_find_batch_owner (PsCluster *cluster)
{
  size_t owner = cluster->n_instances;

  for (size_t i = 0; i < cluster->n_instances; i++)
    {
      ps_fetch_metrics (cluster, i);
      if (strstr (cluster->response_body, "lentilspindle_batches_owned 1"))
        owner = i;
    }
  return owner;
}

int
ps_count_text_in_log (const PsCluster *cluster, size_t instance, const char *text)
{
  const char *at = cluster->instances[instance].process.output;
  int count = 0;

  while (at && (at = strstr (at, text)))
    {
      at += strlen (text);
      count++;
    }
  return count;
}

double
ps_read_metric (PsCluster *cluster, size_t instance, const char *name)
{
  char line[96];

  ps_fetch_metrics (cluster, instance);
  snprintf (line, sizeof line, "\n%s ", name);
  const char *at = strstr (cluster->response_body, line);
  return at ? strtod (at + strlen (line), NULL) : 0;
}
