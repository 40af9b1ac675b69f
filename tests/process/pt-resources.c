#include "pt-cluster.h"

#include "pt-assert.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

/* Time limit of one request: a suspended instance accepts connections but never responds. */
#define APPLY_REQUEST_TIMEOUT (3 * LB_SEC)

void
pt_post_resource_changes (PtCluster *cluster,
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
                        .idle_timeout = APPLY_REQUEST_TIMEOUT };

  si_client_call (&cluster->client, &call, response);
}

static void
add_resource (struct json_object *resources, const char *resource_json)
{
  struct json_object *resource = json_tokener_parse (resource_json);

  PT_ASSERT_MSG (resource != NULL, "%s", resource_json);
  json_object_array_add (resources, resource);
}

static void
add_endpoint_resource (struct json_object *resources, const PtProgram *endpoint)
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
  PtProgram *instance; /* instance to send the changes to */
  const char *changes; /* body for POST /v1/resources */
} PendingChange;

/* Sends the pending change and returns whether the instance accepted it. The caller may retry after
 * either of two expected failures: 503 from a new instance that does not know the other members
 * yet, and no response from a suspended or killed instance. */
static bool
is_change_accepted (PtCluster *cluster, void *user)
{
  const PendingChange *pending = user;
  SiResponse response;

  pt_post_resource_changes (cluster, pending->instance, pending->changes, "*", &response);
  bool accepted = si_response_is_ok (&response);
  PT_ASSERT_MSG (accepted || response.status == 503 || response.failure != LB_OK,
                 "expected a success, status 503 or no response, got status %d: %s",
                 response.status, response.body);
  si_response_clear (&response);
  return accepted;
}

static bool
is_change_accepted_by_any_instance (PtCluster *cluster, void *user)
{
  PendingChange *pending = user;

  for (size_t i = 0; i < cluster->n_instances; i++)
    {
      pending->instance = &cluster->instances[i];
      if (!pending->instance->process.ended && is_change_accepted (cluster, pending))
        return true;
    }
  return false;
}

static struct json_object *
make_resource_changes (const PtCluster *cluster)
{
  struct json_object *changes = json_object_new_object ();
  struct json_object *resources = json_object_new_array ();

  add_resource (resources, "{\"kind\": \"pool\", \"name\": \"reader\", \"model\": \"reader-7b\"}");
  add_resource (resources,
                "{\"kind\": \"subscription\", \"name\": \"reader-trainer\", \"pool\": \"reader\"}");
  add_resource (resources, "{\"kind\": \"version_bound\", \"name\": \"reader-fresh\","
                           " \"subscription\": \"reader-trainer\", \"max_lag\": 2}");
  for (size_t i = 0; i < cluster->n_endpoints; i++)
    add_endpoint_resource (resources, &cluster->endpoints[i]);
  json_object_object_add (changes, "apply", resources);
  return changes;
}

void
pt_configure_cluster (PtCluster *cluster, PtProgram *instance)
{
  struct json_object *changes = make_resource_changes (cluster);
  PendingChange pending = { instance, json_object_to_json_string (changes) };

  pt_wait_until (cluster, "the instance accepts the resources", is_change_accepted, &pending);
  json_object_put (changes);
}

void
pt_configure_cluster_at_any_instance (PtCluster *cluster)
{
  struct json_object *changes = make_resource_changes (cluster);
  PendingChange pending = { NULL, json_object_to_json_string (changes) };

  pt_wait_until (cluster, "any instance accepts the resources", is_change_accepted_by_any_instance,
                 &pending);
  json_object_put (changes);
}

/* Returns -1 if the instance does not respond. */
static int64_t
read_active_config_revision (PtCluster *cluster, const PtProgram *instance)
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
have_all_instances_same_config_revision (PtCluster *cluster, void *user)
{
  (void)user;
  int64_t newest = 0;
  int64_t oldest = INT64_MAX;

  for (size_t i = 0; i < cluster->n_instances; i++)
    {
      if (cluster->instances[i].process.ended)
        continue;
      int64_t revision = read_active_config_revision (cluster, &cluster->instances[i]);
      newest = revision > newest ? revision : newest;
      oldest = revision < oldest ? revision : oldest;
    }
  return newest > 0 && newest == oldest;
}

void
pt_wait_until_instances_have_same_revision (PtCluster *cluster)
{
  pt_wait_until (cluster, "all instances report the same active revision",
                 have_all_instances_same_config_revision, NULL);
}
