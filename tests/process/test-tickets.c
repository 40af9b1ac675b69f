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
} Shop;

static bool
both_named (PtCluster *cluster, void *user)
{
  (void)user;
  bool all = true;

  for (size_t i = 0; i < cluster->n_instances && all; i++)
    {
      struct json_object *entry
          = si_client_call_json (&cluster->client, cluster->instances[i].address,
                                 "/v1/entry?caller=shop", NULL);
      struct json_object *addresses = NULL;
      all = entry && json_object_object_get_ex (entry, "addresses", &addresses)
            && json_object_array_length (addresses) == 2;
      json_object_put (entry);
    }
  return all;
}

/* Two instances that know each other, and one service whose calls may not be repeated. */
static void
shop_init (Shop *shop)
{
  static const char *const options[] = { "--latency-ms", "50", NULL };

  memset (shop, 0, sizeof *shop);
  pt_cluster_init (&shop->cluster);
  pt_start_platform (&shop->cluster);
  shop->service = pt_start_service (&shop->cluster, "lookup-1", options);
  shop->first = pt_start_instance (&shop->cluster, "i1", "hall-a");
  shop->second = pt_start_instance (&shop->cluster, "i2", "hall-b");
  pt_apply_resources (&shop->cluster, shop->first);
  pt_wait_revision_in_force (&shop->cluster);
  pt_wait_ready (&shop->cluster, shop->first);
  pt_wait_ready (&shop->cluster, shop->second);
  pt_wait (&shop->cluster, "two instances that name each other", both_named, NULL);
}

static void
shop_clear (Shop *shop)
{
  pt_cluster_clear (&shop->cluster);
}

static void
get_ticket (Shop *shop, PtProgram *instance, char ticket[256])
{
  const LhHeader headers[] = { { "x-caller", "shop" } };
  const SiCall call = { .method = "POST",
                        .address = instance->address,
                        .path = "/v1/tickets",
                        .headers = headers,
                        .n_headers = 1,
                        .body = "" };
  SiResponse answer;

  si_client_call (&shop->cluster.client, &call, &answer);
  cr_assert (si_response_is_ok (&answer), "%s", si_response_error (&answer));
  struct json_object *object = json_tokener_parse (answer.body);
  struct json_object *text = NULL;
  cr_assert (json_object_object_get_ex (object, "ticket", &text));
  lb_strlcpy (ticket, json_object_get_string (text), 256);
  json_object_put (object);
  si_response_clear (&answer);
}

static void
order (Shop *shop, PtProgram *instance, const char *header, const char *value, SiResponse *answer)
{
  const LhHeader headers[] = { { "x-caller", "shop" }, { "x-order", "tea" }, { header, value } };
  const SiCall call = { .method = "POST",
                        .address = instance->address,
                        .path = "/services/lookup/order",
                        .headers = headers,
                        .n_headers = 3,
                        .body = "one tea" };

  si_client_call (&shop->cluster.client, &call, answer);
}

/* A shop makes an order with a ticket of one instance, but connects to another, which passes it on.
 * The answer is lost, and the first instance dies. The shop asks again at the second: whether the
 * order was made is no longer known to anyone, so it must neither be made again nor be called "not
 * run". */
Test (tickets, dead_instance_leaves_the_outcome_unknown)
{
  Shop shop;
  SiResponse answer;
  char ticket[256];

  shop_init (&shop);
  get_ticket (&shop, shop.first, ticket);
  order (&shop, shop.second, "x-ticket", ticket, &answer);
  cr_assert (si_response_is_ok (&answer), "%s", si_response_error (&answer));
  si_response_clear (&answer);
  order (&shop, shop.first, "x-ticket", ticket, &answer);
  cr_assert (si_response_is_ok (&answer), "%s", si_response_error (&answer));
  si_response_clear (&answer);
  cr_assert_eq (pt_count_runs (&shop.cluster, shop.service, "tea"), 1);

  pt_process_signal (&shop.first->process, SIGKILL);
  order (&shop, shop.second, "x-ticket", ticket, &answer);
  cr_assert_str_eq (si_response_error (&answer), "outcome_unknown");
  cr_assert_not (answer.not_run);
  si_response_clear (&answer);
  cr_assert_eq (pt_count_runs (&shop.cluster, shop.service, "tea"), 1);
  shop_clear (&shop);
}

typedef struct
{
  Shop *shop;
  PtProgram *instance;
} Repeat;

static bool
order_is_answered (PtCluster *cluster, void *user)
{
  (void)cluster;
  const Repeat *repeat = user;
  SiResponse answer;

  order (repeat->shop, repeat->instance, "idempotency-key", "k1", &answer);
  bool ok = si_response_is_ok (&answer);
  cr_assert (ok || answer.not_run, "%s", si_response_error (&answer));
  si_response_clear (&answer);
  return ok;
}

/* The instance claims the shop's key, and every reply of the store is lost after its write. Either
 * the instance reads the row back and makes the order, or it can't and refuses it as "not run",
 * which then holds. The shop asks again at both instances: they find the row, and there is one
 * order. */
Test (tickets, lost_replies_of_the_store_make_no_second_order)
{
  Shop shop;
  SiResponse answer;

  shop_init (&shop);
  pt_inject_fault (&shop.cluster, &shop.cluster.platform,
                   "{\"mode\": \"lose_reply\", \"path\": \"/table/transact\"}");
  order (&shop, shop.first, "idempotency-key", "k1", &answer);
  cr_assert (si_response_is_ok (&answer) || answer.not_run, "%s", si_response_error (&answer));
  cr_assert_eq (pt_count_runs (&shop.cluster, shop.service, "tea"), answer.not_run ? 0 : 1);
  si_response_clear (&answer);
  pt_inject_fault (&shop.cluster, &shop.cluster.platform, "{\"mode\": \"none\"}");
  Repeat second = { .shop = &shop, .instance = shop.second };
  Repeat first = { .shop = &shop, .instance = shop.first };
  pt_wait (&shop.cluster, "the order at the second instance", order_is_answered, &second);
  pt_wait (&shop.cluster, "the order at the first instance", order_is_answered, &first);
  cr_assert_eq (pt_count_runs (&shop.cluster, shop.service, "tea"), 1);
  shop_clear (&shop);
}

/* The store is away. An order with a key of the shop's own can't be claimed, and is refused as "not
 * run", which is true; an order with a ticket needs no store and is made. */
Test (tickets, store_away_refuses_keys_and_not_tickets)
{
  Shop shop;
  SiResponse answer;
  char ticket[256];

  shop_init (&shop);
  pt_inject_fault (&shop.cluster, &shop.cluster.platform, "{\"mode\": \"down\"}");
  order (&shop, shop.first, "idempotency-key", "k1", &answer);
  cr_assert (answer.not_run, "%s", si_response_error (&answer));
  si_response_clear (&answer);
  cr_assert_eq (pt_count_runs (&shop.cluster, shop.service, "tea"), 0);
  get_ticket (&shop, shop.first, ticket);
  order (&shop, shop.first, "x-ticket", ticket, &answer);
  cr_assert (si_response_is_ok (&answer), "%s", si_response_error (&answer));
  si_response_clear (&answer);
  cr_assert_eq (pt_count_runs (&shop.cluster, shop.service, "tea"), 1);
  shop_clear (&shop);
}
