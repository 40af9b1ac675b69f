#include "pt-cluster.h"

#include "pt-assert.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

/* Limits the wait for an instance that is stopped and does not answer. */
#define APPLY_TIMEOUT (3 * LB_SEC)

void
pt_apply_change (PtCluster *cluster,
                 PtProgram *instance,
                 const char *changes,
                 const char *if_match,
                 SiResponse *response)
{
  const LhHeader headers[]
      = { { "authorization", "Bearer " PT_OPERATOR_TOKEN }, { "If-Match", if_match } };
  const SiCall call = { .method = "POST",
                        .address = instance->address,
                        .path = "/v1/resources",
                        .headers = headers,
                        .n_headers = if_match ? 2 : 1,
                        .body = changes,
                        .idle_timeout = APPLY_TIMEOUT };

  si_client_call (&cluster->client, &call, response);
}

static void
add_resource (struct json_object *resources, const char *text)
{
  struct json_object *resource = json_tokener_parse (text);

  PT_ASSERT_MSG (resource != NULL, "%s", text);
  json_object_array_add (resources, resource);
}

static void
add_endpoint (struct json_object *resources, const PtProgram *endpoint)
{
  bool is_engine = strncmp (endpoint->name, "engine", 6) == 0;
  char *text = lb_asprintf (
      "{\"kind\": \"endpoint\", \"name\": \"%s\", \"type\": \"%s\", \"pool\": \"%s\","
      " \"address\": \"%s\", \"data_centre\": \"hall-a\", \"concurrency\": 32%s}",
      endpoint->name, is_engine ? "engine" : "service", is_engine ? "reader" : "lookup",
      endpoint->address, is_engine ? ", \"checks_fence\": true" : "");

  add_resource (resources, text);
  free (text);
}

typedef struct
{
  PtProgram *instance;
  const char *changes;
} PendingChange;

/* A new instance may not know the other members yet (503); other instances may be unreachable or
 * stopped. */
static bool
is_accepted (PtCluster *cluster, void *user)
{
  const PendingChange *pending = user;
  SiResponse response;

  pt_apply_change (cluster, pending->instance, pending->changes, "*", &response);
  bool accepted = si_response_is_ok (&response);
  PT_ASSERT_MSG (accepted || response.status == 503 || response.failure != LB_OK, "%d %s",
                 response.status, response.body);
  si_response_clear (&response);
  return accepted;
}

static bool
is_accepted_anywhere (PtCluster *cluster, void *user)
{
  PendingChange *pending = user;

  for (size_t i = 0; i < cluster->n_instances; i++)
    {
      pending->instance = &cluster->instances[i];
      if (!pending->instance->process.ended && is_accepted (cluster, pending))
        return true;
    }
  return false;
}

static struct json_object *
make_changes (const PtCluster *cluster)
{
  struct json_object *changes = json_object_new_object ();
  struct json_object *resources = json_object_new_array ();

  add_resource (resources, "{\"kind\": \"pool\", \"name\": \"reader\", \"model\": \"reader-7b\"}");
  add_resource (resources,
                "{\"kind\": \"subscription\", \"name\": \"reader-trainer\", \"pool\": \"reader\"}");
  add_resource (resources, "{\"kind\": \"version_bound\", \"name\": \"reader-fresh\","
                           " \"subscription\": \"reader-trainer\", \"max_lag\": 2}");
  for (size_t i = 0; i < cluster->n_endpoints; i++)
    add_endpoint (resources, &cluster->endpoints[i]);
  json_object_object_add (changes, "apply", resources);
  return changes;
}

void
pt_apply_resources (PtCluster *cluster, PtProgram *instance)
{
  struct json_object *changes = make_changes (cluster);
  PendingChange pending = { instance, json_object_to_json_string (changes) };

  pt_wait (cluster, "an instance accepts the resources", is_accepted, &pending);
  json_object_put (changes);
}

void
pt_apply_resources_anywhere (PtCluster *cluster)
{
  struct json_object *changes = make_changes (cluster);
  PendingChange pending = { NULL, json_object_to_json_string (changes) };

  pt_wait (cluster, "an instance accepts the resources", is_accepted_anywhere, &pending);
  json_object_put (changes);
}

static int64_t
read_revision (PtCluster *cluster, const PtProgram *instance)
{
  const LhHeader headers[] = { { "authorization", "Bearer " PT_OPERATOR_TOKEN } };
  const SiCall call = { .method = "GET",
                        .address = instance->address,
                        .path = "/v1/resources",
                        .headers = headers,
                        .n_headers = 1 };
  SiResponse response;
  int64_t revision = -1;

  si_client_call (&cluster->client, &call, &response);
  struct json_object *object
      = si_response_is_ok (&response) ? json_tokener_parse (response.body) : NULL;
  if (object)
    revision = si_json_get_int (object, "revision", -1);
  json_object_put (object);
  si_response_clear (&response);
  return revision;
}

static bool
is_newest_revision_in_force (PtCluster *cluster, void *user)
{
  (void)user;
  int64_t newest = 0;
  int64_t oldest = INT64_MAX;

  for (size_t i = 0; i < cluster->n_instances; i++)
    {
      if (cluster->instances[i].process.ended)
        continue;
      int64_t revision = read_revision (cluster, &cluster->instances[i]);
      newest = revision > newest ? revision : newest;
      oldest = revision < oldest ? revision : oldest;
    }
  return newest > 0 && newest == oldest;
}

void
pt_wait_revision_in_force (PtCluster *cluster)
{
  pt_wait (cluster, "the newest revision is in force everywhere", is_newest_revision_in_force,
           NULL);
}
