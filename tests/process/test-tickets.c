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
  PtProgram *first;  /* instance i1 */
  PtProgram *second; /* instance i2 */
} Fixture;

static bool
do_instances_list_each_other (PtCluster *cluster, void *user)
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

/* Starts two instances, which list each other as entry addresses, and one service. */
static void
fixture_start_two_instances_and_service (Fixture *fixture)
{
  static const char *const options[] = { "--latency-ms", "50", NULL };

  memset (fixture, 0, sizeof *fixture);
  pt_cluster_init (&fixture->cluster);
  pt_start_platform (&fixture->cluster);
  fixture->service = pt_start_service (&fixture->cluster, "lookup-1", options);
  fixture->first = pt_start_instance (&fixture->cluster, "i1", "hall-a");
  fixture->second = pt_start_instance (&fixture->cluster, "i2", "hall-b");
  pt_configure_cluster (&fixture->cluster, fixture->first);
  pt_wait_until_instances_have_same_revision (&fixture->cluster);
  pt_wait_until_instance_ready (&fixture->cluster, fixture->first);
  pt_wait_until_instance_ready (&fixture->cluster, fixture->second);
  pt_wait_until (&fixture->cluster, "both instances list two addresses",
                 do_instances_list_each_other, NULL);
}

static void
fixture_clear (Fixture *fixture)
{
  pt_cluster_clear (&fixture->cluster);
}

static void
create_ticket (Fixture *fixture, PtProgram *instance, char ticket[256])
{
  const LhHeader headers[] = { { "x-caller", "shop" } };
  const SiCall call = { .method = "POST",
                        .address = instance->address,
                        .path = "/v1/tickets",
                        .headers = headers,
                        .n_headers = 1,
                        .body = "" };
  SiResponse response;

  si_client_call (&fixture->cluster.client, &call, &response);
  cr_assert (si_response_is_ok (&response), "expected a success, got error %s",
             si_response_get_error_type (&response));
  struct json_object *object = json_tokener_parse (response.body);
  struct json_object *text = NULL;
  cr_assert (json_object_object_get_ex (object, "ticket", &text));
  lb_strlcpy (ticket, json_object_get_string (text), 256);
  json_object_put (object);
  si_response_clear (&response);
}

static void
send_order_with_header (Fixture *fixture,
                        PtProgram *instance,
                        const char *header,
                        const char *value,
                        SiResponse *response)
{
  const LhHeader headers[] = { { "x-caller", "shop" }, { "x-order", "tea" }, { header, value } };
  const SiCall call = { .method = "POST",
                        .address = instance->address,
                        .path = "/services/lookup/order",
                        .headers = headers,
                        .n_headers = 3,
                        .body = "one tea" };

  si_client_call (&fixture->cluster.client, &call, response);
}

/* The first instance issues a ticket and runs the order, which the caller sends through the second
 * instance. Then the first instance is killed, and the caller retries the order at the second one.
 * The outcome is lost, so the order must neither run again nor be reported as not run. */
Test (tickets, ticket_of_a_killed_instance_has_an_unknown_outcome)
{
  Fixture fixture;
  SiResponse response;
  char ticket[256];

  fixture_start_two_instances_and_service (&fixture);
  create_ticket (&fixture, fixture.first, ticket);
  send_order_with_header (&fixture, fixture.second, "x-ticket", ticket, &response);
  cr_assert (si_response_is_ok (&response), "expected a success, got error %s",
             si_response_get_error_type (&response));
  si_response_clear (&response);
  send_order_with_header (&fixture, fixture.first, "x-ticket", ticket, &response);
  cr_assert (si_response_is_ok (&response), "expected a success, got error %s",
             si_response_get_error_type (&response));
  si_response_clear (&response);
  cr_assert_eq (pt_count_call_runs (&fixture.cluster, fixture.service, "tea"), 1);

  pt_process_signal (&fixture.first->process, SIGKILL);
  send_order_with_header (&fixture, fixture.second, "x-ticket", ticket, &response);
  cr_assert_str_eq (si_response_get_error_type (&response), "outcome_unknown");
  cr_assert_not (response.not_run);
  si_response_clear (&response);
  cr_assert_eq (pt_count_call_runs (&fixture.cluster, fixture.service, "tea"), 1);
  fixture_clear (&fixture);
}

typedef struct
{
  Fixture *fixture;
  PtProgram *instance;
} OrderRetry;

/* Sends the order with idempotency key "k1" again and returns whether it completed. */
static bool
is_retried_order_completed (PtCluster *cluster, void *user)
{
  (void)cluster;
  const OrderRetry *retry = user;
  SiResponse response;

  send_order_with_header (retry->fixture, retry->instance, "idempotency-key", "k1", &response);
  bool ok = si_response_is_ok (&response);
  cr_assert (ok || response.not_run, "expected a success or not run, got error %s",
             si_response_get_error_type (&response));
  si_response_clear (&response);
  return ok;
}

/* The store writes the claim of an order's idempotency key, but all its responses are lost. The
 * instance must either read the claim back and run the order, or reject it as not run. Retries at
 * both instances must succeed, and the order must run once. */
Test (tickets, lost_store_responses_cause_no_second_run)
{
  Fixture fixture;
  SiResponse response;

  fixture_start_two_instances_and_service (&fixture);
  pt_inject_fault (&fixture.cluster, &fixture.cluster.platform,
                   "{\"mode\": \"lose_reply\", \"path\": \"/table/transact\"}");
  send_order_with_header (&fixture, fixture.first, "idempotency-key", "k1", &response);
  cr_assert (si_response_is_ok (&response) || response.not_run,
             "expected a success or not run, got error %s", si_response_get_error_type (&response));
  cr_assert_eq (pt_count_call_runs (&fixture.cluster, fixture.service, "tea"),
                response.not_run ? 0 : 1);
  si_response_clear (&response);
  pt_inject_fault (&fixture.cluster, &fixture.cluster.platform, "{\"mode\": \"none\"}");
  OrderRetry second = { .fixture = &fixture, .instance = fixture.second };
  OrderRetry first = { .fixture = &fixture, .instance = fixture.first };
  pt_wait_until (&fixture.cluster, "the order completes at the second instance",
                 is_retried_order_completed, &second);
  pt_wait_until (&fixture.cluster, "the order completes at the first instance",
                 is_retried_order_completed, &first);
  cr_assert_eq (pt_count_call_runs (&fixture.cluster, fixture.service, "tea"), 1);
  fixture_clear (&fixture);
}

/* During a store outage the claim of an idempotency key cannot be stored, so an order with a key
 * must be rejected as not run. An order with a ticket needs no store and must run. */
Test (tickets, store_outage_rejects_keys_and_accepts_tickets)
{
  Fixture fixture;
  SiResponse response;
  char ticket[256];

  fixture_start_two_instances_and_service (&fixture);
  pt_inject_fault (&fixture.cluster, &fixture.cluster.platform, "{\"mode\": \"down\"}");
  send_order_with_header (&fixture, fixture.first, "idempotency-key", "k1", &response);
  cr_assert (response.not_run, "expected not run, got error %s",
             si_response_get_error_type (&response));
  si_response_clear (&response);
  cr_assert_eq (pt_count_call_runs (&fixture.cluster, fixture.service, "tea"), 0);
  create_ticket (&fixture, fixture.first, ticket);
  send_order_with_header (&fixture, fixture.first, "x-ticket", ticket, &response);
  cr_assert (si_response_is_ok (&response), "expected a success, got error %s",
             si_response_get_error_type (&response));
  si_response_clear (&response);
  cr_assert_eq (pt_count_call_runs (&fixture.cluster, fixture.service, "tea"), 1);
  fixture_clear (&fixture);
}
