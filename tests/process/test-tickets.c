#include "pt-cluster.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  PtCluster cluster;
  PtProgram *service;
  PtProgram *first;
  PtProgram *second;
} Scene;

static bool
are_both_listed (PtCluster *cluster, void *user)
{
  (void)user;
  bool all_listed = true;

  for (size_t i = 0; i < cluster->n_instances && all_listed; i++)
    {
      struct json_object *entry
          = si_client_call_json (&cluster->client, cluster->instances[i].address,
                                 "/v1/entry?caller=shop", NULL);
      struct json_object *addresses = NULL;
      all_listed = entry && json_object_object_get_ex (entry, "addresses", &addresses)
                   && json_object_array_length (addresses) == 2;
      json_object_put (entry);
    }
  return all_listed;
}

/* Two instances that list each other, and one service whose calls must not be retried. */
static void
scene_init (Scene *scene)
{
  static const char *const options[] = { "--latency-ms", "50", NULL };

  memset (scene, 0, sizeof *scene);
  pt_cluster_init (&scene->cluster);
  pt_start_platform (&scene->cluster);
  scene->service = pt_start_service (&scene->cluster, "lookup-1", options);
  scene->first = pt_start_instance (&scene->cluster, "i1", "hall-a");
  scene->second = pt_start_instance (&scene->cluster, "i2", "hall-b");
  pt_apply_resources (&scene->cluster, scene->first);
  pt_wait_until_revision_in_force (&scene->cluster);
  pt_wait_until_ready (&scene->cluster, scene->first);
  pt_wait_until_ready (&scene->cluster, scene->second);
  pt_wait_until (&scene->cluster, "both instances list two addresses", are_both_listed, NULL);
}

static void
scene_clear (Scene *scene)
{
  pt_cluster_clear (&scene->cluster);
}

static void
create_ticket (Scene *scene, PtProgram *instance, char ticket[256])
{
  const LhHeader headers[] = { { "x-caller", "shop" } };
  const SiCall call = { .method = "POST",
                        .address = instance->address,
                        .path = "/v1/tickets",
                        .headers = headers,
                        .n_headers = 1,
                        .body = "" };
  SiResponse response;

  si_client_call (&scene->cluster.client, &call, &response);
  cr_assert (si_response_is_ok (&response), "%s", si_response_error (&response));
  struct json_object *object = json_tokener_parse (response.body);
  struct json_object *text = NULL;
  cr_assert (json_object_object_get_ex (object, "ticket", &text));
  lb_strlcpy (ticket, json_object_get_string (text), 256);
  json_object_put (object);
  si_response_clear (&response);
}

static void
send_order (
    Scene *scene, PtProgram *instance, const char *header, const char *value, SiResponse *response)
{
  const LhHeader headers[] = { { "x-caller", "shop" }, { "x-order", "tea" }, { header, value } };
  const SiCall call = { .method = "POST",
                        .address = instance->address,
                        .path = "/services/lookup/order",
                        .headers = headers,
                        .n_headers = 3,
                        .body = "one tea" };

  si_client_call (&scene->cluster.client, &call, response);
}

/* A caller sends an order with a ticket of one instance to another one, which forwards it. The
 * response is lost and the first instance is killed. The caller retries at the second instance: the
 * outcome is no longer known, so the order must neither run again nor be reported as not run. */
Test (tickets, ticket_of_a_killed_instance_has_an_unknown_outcome)
{
  Scene scene;
  SiResponse response;
  char ticket[256];

  scene_init (&scene);
  create_ticket (&scene, scene.first, ticket);
  send_order (&scene, scene.second, "x-ticket", ticket, &response);
  cr_assert (si_response_is_ok (&response), "%s", si_response_error (&response));
  si_response_clear (&response);
  send_order (&scene, scene.first, "x-ticket", ticket, &response);
  cr_assert (si_response_is_ok (&response), "%s", si_response_error (&response));
  si_response_clear (&response);
  cr_assert_eq (pt_count_call_runs (&scene.cluster, scene.service, "tea"), 1);

  pt_process_signal (&scene.first->process, SIGKILL);
  send_order (&scene, scene.second, "x-ticket", ticket, &response);
  cr_assert_str_eq (si_response_error (&response), "outcome_unknown");
  cr_assert_not (response.not_run);
  si_response_clear (&response);
  cr_assert_eq (pt_count_call_runs (&scene.cluster, scene.service, "tea"), 1);
  scene_clear (&scene);
}

typedef struct
{
  Scene *scene;
  PtProgram *instance;
} OrderRetry;

static bool
is_order_completed (PtCluster *cluster, void *user)
{
  (void)cluster;
  const OrderRetry *retry = user;
  SiResponse response;

  send_order (retry->scene, retry->instance, "idempotency-key", "k1", &response);
  bool ok = si_response_is_ok (&response);
  cr_assert (ok || response.not_run, "%s", si_response_error (&response));
  si_response_clear (&response);
  return ok;
}

/* The instance claims the caller's idempotency key, and every response of the store is lost after
 * the write. The instance must either read the row back and run the order, or reject it as not run
 * without running it. Retries at both instances then find the row, and the order runs once. */
Test (tickets, lost_store_responses_cause_no_second_run)
{
  Scene scene;
  SiResponse response;

  scene_init (&scene);
  pt_inject_fault (&scene.cluster, &scene.cluster.platform,
                   "{\"mode\": \"lose_reply\", \"path\": \"/table/transact\"}");
  send_order (&scene, scene.first, "idempotency-key", "k1", &response);
  cr_assert (si_response_is_ok (&response) || response.not_run, "%s",
             si_response_error (&response));
  cr_assert_eq (pt_count_call_runs (&scene.cluster, scene.service, "tea"),
                response.not_run ? 0 : 1);
  si_response_clear (&response);
  pt_inject_fault (&scene.cluster, &scene.cluster.platform, "{\"mode\": \"none\"}");
  OrderRetry second = { .scene = &scene, .instance = scene.second };
  OrderRetry first = { .scene = &scene, .instance = scene.first };
  pt_wait_until (&scene.cluster, "the order completes at the second instance", is_order_completed,
                 &second);
  pt_wait_until (&scene.cluster, "the order completes at the first instance", is_order_completed,
                 &first);
  cr_assert_eq (pt_count_call_runs (&scene.cluster, scene.service, "tea"), 1);
  scene_clear (&scene);
}

/* During a store outage an order with an idempotency key cannot be claimed and must be rejected as
 * not run without running it; an order with a ticket needs no store and runs. */
Test (tickets, store_outage_rejects_keys_and_accepts_tickets)
{
  Scene scene;
  SiResponse response;
  char ticket[256];

  scene_init (&scene);
  pt_inject_fault (&scene.cluster, &scene.cluster.platform, "{\"mode\": \"down\"}");
  send_order (&scene, scene.first, "idempotency-key", "k1", &response);
  cr_assert (response.not_run, "%s", si_response_error (&response));
  si_response_clear (&response);
  cr_assert_eq (pt_count_call_runs (&scene.cluster, scene.service, "tea"), 0);
  create_ticket (&scene, scene.first, ticket);
  send_order (&scene, scene.first, "x-ticket", ticket, &response);
  cr_assert (si_response_is_ok (&response), "%s", si_response_error (&response));
  si_response_clear (&response);
  cr_assert_eq (pt_count_call_runs (&scene.cluster, scene.service, "tea"), 1);
  scene_clear (&scene);
}
