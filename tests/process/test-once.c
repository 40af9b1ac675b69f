#include "pt-cluster.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  SiCheckedCallResult result;
  bool is_done;
} PendingCall;

static void
on_call_done (const SiCheckedCallResult *result, void *user)
{
  PendingCall *pending_call = user;

  pending_call->result = *result;
  pending_call->is_done = true;
}

static bool
is_call_done (PtCluster *cluster, void *user)
{
  (void)cluster;
  return ((PendingCall *)user)->is_done;
}

static void
start_three_instances_and_two_services (PtCluster *cluster)
{
  static const char *const slow_options[] = { "--latency-ms", "700", NULL };

  pt_cluster_init (cluster);
  pt_start_platform (cluster);
  pt_start_service (cluster, "lookup-1", slow_options);
  pt_start_service (cluster, "lookup-2", slow_options);
  pt_start_instance (cluster, "i1", "hall-a");
  pt_start_instance (cluster, "i2", "hall-b");
  pt_start_instance (cluster, "i3", "hall-c");
  pt_configure_cluster (cluster, &cluster->instances[0]);
  for (size_t i = 0; i < cluster->n_instances; i++)
    pt_wait_until_instance_ready (cluster, &cluster->instances[i]);
}

static int64_t
count_order_runs (PtCluster *cluster, const char *order)
{
  return pt_count_call_runs (cluster, &cluster->endpoints[0], order)
         + pt_count_call_runs (cluster, &cluster->endpoints[1], order);
}

static bool
has_order_run (PtCluster *cluster, void *user)
{
  return count_order_runs (cluster, user) > 0;
}

static char *
create_ticket (PtCluster *cluster, PtProgram *instance)
{
  struct json_object *response
      = si_client_call_json (&cluster->client, instance->address, "/v1/tickets", "{}");

  cr_assert_not_null (response);
  char *ticket = lb_strdup (si_json_get_text (response, "ticket", ""));
  json_object_put (response);
  return ticket;
}

static SiCheckedCallSpec
make_order_call_spec (const PtProgram *instance, const char *order)
{
  return (SiCheckedCallSpec){ .kind = SI_CHECKED_CALL_SERVICE,
                              .address = instance->address,
                              .model = "/services/lookup/order",
                              .prompt = "two bags of rice",
                              .order = order,
                              .deadline_ms = "20000",
                              .idle_timeout = PT_WAIT_TIMEOUT };
}

/* Kills instance 0 while it runs the call. The caller sees a closed connection and sends the same
 * call to the other instances. Each must report the outcome as unknown, and the call must run only
 * once. */
static void
check_call_is_not_rerun_after_kill (PtCluster *cluster, SiCheckedCallSpec *spec)
{
  PendingCall pending_call = { .is_done = false };

  si_checked_call_start (cluster->client.pool, spec, on_call_done, &pending_call);
  pt_wait_until (cluster, "the order has started", has_order_run, (void *)spec->order);
  pt_process_signal (&cluster->instances[0].process, SIGKILL);
  pt_wait_until (cluster, "the call to the killed instance ends", is_call_done, &pending_call);
  cr_assert_eq (pending_call.result.outcome, SI_CALL_FAILED,
                "expected a failed call, got error '%s'", pending_call.result.error);
  for (size_t i = 1; i < cluster->n_instances; i++)
    {
      spec->address = cluster->instances[i].address;
      SiCheckedCallResult retry = pt_run_checked_call (cluster, spec);
      cr_assert_eq (retry.outcome, SI_CALL_FAILED, "expected SI_CALL_FAILED, got outcome %d: %s",
                    retry.outcome, retry.error);
      cr_assert_str_eq (retry.error, "outcome_unknown");
    }
  cr_assert_eq (count_order_runs (cluster, spec->order), 1);
}

/* An instance is killed while it runs a call with a ticket that it issued. If another instance ran
 * the call again, the order would be placed twice. If the call were reported as not run, the caller
 * would place the order again. */
Test (once, call_with_ticket_of_killed_instance_is_not_rerun)
{
  PtCluster cluster;

  start_three_instances_and_two_services (&cluster);
  char *ticket = create_ticket (&cluster, &cluster.instances[0]);
  SiCheckedCallSpec spec = make_order_call_spec (&cluster.instances[0], "order-1");
  spec.ticket = ticket;
  check_call_is_not_rerun_after_kill (&cluster, &spec);
  free (ticket);
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}

/* An instance is killed while it runs a call with an idempotency key. The other instances know only
 * the killed instance's claim of the key in the platform's table, and must not run the call again.
 * */
Test (once, call_with_key_claimed_by_killed_instance_is_not_rerun)
{
  PtCluster cluster;

  start_three_instances_and_two_services (&cluster);
  SiCheckedCallSpec spec = make_order_call_spec (&cluster.instances[0], "order-2");
  spec.idempotency_key = "key-2";
  check_call_is_not_rerun_after_kill (&cluster, &spec);
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}

/* A caller sends the same call to two instances at once, and later to a third one. The call must
 * run once: the others must join the call in progress or return the stored response. */
Test (once, call_sent_to_two_instances_with_one_ticket_runs_once)
{
  PtCluster cluster;
  PendingCall first = { .is_done = false };

  start_three_instances_and_two_services (&cluster);
  char *ticket = create_ticket (&cluster, &cluster.instances[0]);
  SiCheckedCallSpec spec = make_order_call_spec (&cluster.instances[0], "order-3");
  spec.ticket = ticket;
  si_checked_call_start (cluster.client.pool, &spec, on_call_done, &first);
  spec.address = cluster.instances[1].address;
  SiCheckedCallResult second = pt_run_checked_call (&cluster, &spec);
  pt_wait_until (&cluster, "the first call is done", is_call_done, &first);
  cr_assert_eq (first.result.outcome, SI_CALL_COMPLETE, "first call failed: %s",
                first.result.error);
  cr_assert_eq (second.outcome, SI_CALL_COMPLETE, "second call: outcome %d: %s", second.outcome,
                second.error);
  spec.address = cluster.instances[2].address;
  SiCheckedCallResult third = pt_run_checked_call (&cluster, &spec);
  cr_assert_eq (third.outcome, SI_CALL_COMPLETE, "third call: outcome %d: %s", third.outcome,
                third.error);
  cr_assert_eq (count_order_runs (&cluster, "order-3"), 1);
  free (ticket);
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}
