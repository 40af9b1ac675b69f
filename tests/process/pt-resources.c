#include "pt-world.h"

#include "pt-assert.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

/* An instance that is paused does not answer. */
#define APPLY_SILENCE (3 * LB_SEC)

void
pt_apply_change (PtCluster *world,
                 PtProgram *instance,
                 const char *changes,
                 const char *if_match,
                 SiResponse *answer)
{
  const LhHeader headers[]
      = { { "authorization", "Bearer " PT_OPERATOR_TOKEN }, { "If-Match", if_match } };
  const SiCall call = { .method = "POST",
                        .address = instance->address,
                        .path = "/v1/resources",
                        .headers = headers,
                        .n_headers = if_match ? 2 : 1,
                        .body = changes,
                        .idle_timeout = APPLY_SILENCE };

  si_client_call (&world->client, &call, answer);
}

static void
add (struct json_object *apply, const char *text)
{
  struct json_object *resource = json_tokener_parse (text);

  PT_ASSERT_MSG (resource != NULL, "%s", text);
  json_object_array_add (apply, resource);
}

static void
add_endpoint (struct json_object *apply, const PtProgram *endpoint)
{
  bool engine = strncmp (endpoint->name, "engine", 6) == 0;
  char *text = lb_asprintf (
      "{\"kind\": \"endpoint\", \"name\": \"%s\", \"type\": \"%s\", \"pool\": \"%s\","
      " \"address\": \"%s\", \"data_centre\": \"hall-a\", \"concurrency\": 32%s}",
      endpoint->name, engine ? "engine" : "service", engine ? "reader" : "lookup",
      endpoint->address, engine ? ", \"checks_fence\": true" : "");

  add (apply, text);
  free (text);
}

typedef struct
{
  PtProgram *instance;
  const char *changes;
} Change;

/* Instances that have just started may not know each other yet; others may be away or paused. */
static bool
is_accepted (PtCluster *world, void *user)
{
  const Change *change = user;
  SiResponse answer;

  pt_apply_change (world, change->instance, change->changes, "*", &answer);
  bool accepted = si_response_is_ok (&answer);
  PT_ASSERT_MSG (accepted || answer.status == 503 || answer.failure != LB_OK, "%d %s",
                 answer.status, answer.body);
  si_response_clear (&answer);
  return accepted;
}

static bool
is_accepted_anywhere (PtCluster *world, void *user)
{
  Change *change = user;

  for (size_t i = 0; i < world->n_instances; i++)
    {
      change->instance = &world->instances[i];
      if (!change->instance->process.ended && is_accepted (world, change))
        return true;
    }
  return false;
}

static struct json_object *
new_changes (const PtCluster *world)
{
  struct json_object *changes = json_object_new_object ();
  struct json_object *apply = json_object_new_array ();

  add (apply, "{\"kind\": \"pool\", \"name\": \"reader\", \"model\": \"reader-7b\"}");
  add (apply, "{\"kind\": \"subscription\", \"name\": \"reader-trainer\", \"pool\": \"reader\"}");
  add (apply, "{\"kind\": \"version_bound\", \"name\": \"reader-fresh\","
              " \"subscription\": \"reader-trainer\", \"max_lag\": 2}");
  for (size_t i = 0; i < world->n_endpoints; i++)
    add_endpoint (apply, &world->endpoints[i]);
  json_object_object_add (changes, "apply", apply);
  return changes;
}

void
pt_apply_resources (PtCluster *world, PtProgram *instance)
{
  struct json_object *changes = new_changes (world);
  Change change = { instance, json_object_to_json_string (changes) };

  pt_wait (world, "the resources are accepted", is_accepted, &change);
  json_object_put (changes);
}

void
pt_apply_resources_anywhere (PtCluster *world)
{
  struct json_object *changes = new_changes (world);
  Change change = { NULL, json_object_to_json_string (changes) };

  pt_wait (world, "the resources are accepted", is_accepted_anywhere, &change);
  json_object_put (changes);
}

static int64_t
revision_of (PtCluster *world, const PtProgram *instance)
{
  const LhHeader headers[] = { { "authorization", "Bearer " PT_OPERATOR_TOKEN } };
  const SiCall call = { .method = "GET",
                        .address = instance->address,
                        .path = "/v1/resources",
                        .headers = headers,
                        .n_headers = 1 };
  SiResponse answer;
  int64_t revision = -1;

  si_client_call (&world->client, &call, &answer);
  struct json_object *object
      = si_response_is_ok (&answer) ? json_tokener_parse (answer.body) : NULL;
  if (object)
    revision = si_json_int (object, "revision", -1);
  json_object_put (object);
  si_response_clear (&answer);
  return revision;
}

static bool
is_in_force (PtCluster *world, void *user)
{
  (void)user;
  int64_t newest = 0;
  int64_t oldest = INT64_MAX;

  for (size_t i = 0; i < world->n_instances; i++)
    {
      if (world->instances[i].process.ended)
        continue;
      int64_t revision = revision_of (world, &world->instances[i]);
      newest = revision > newest ? revision : newest;
      oldest = revision < oldest ? revision : oldest;
    }
  return newest > 0 && newest == oldest;
}

void
pt_wait_revision_in_force (PtCluster *world)
{
  pt_wait (world, "the newest revision is in force everywhere", is_in_force, NULL);
}
