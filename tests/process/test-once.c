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
start_cluster (PtCluster *cluster)
{
  static const char *const slow_options[] = { "--latency-ms", "700", NULL };

  pt_cluster_init (cluster);
  pt_start_platform (cluster);
  pt_start_service (cluster, "lookup-1", slow_options);
  pt_start_service (cluster, "lookup-2", slow_options);
  pt_start_instance (cluster, "i1", "hall-a");
  pt_start_instance (cluster, "i2", "hall-b");
  pt_start_instance (cluster, "i3", "hall-c");
  pt_apply_resources (cluster, &cluster->instances[0]);
  for (size_t i = 0; i < cluster->n_instances; i++)
    pt_wait_until_ready (cluster, &cluster->instances[i]);
}

static int64_t
count_runs (PtCluster *cluster, const char *order)
{
  return pt_count_call_runs (cluster, &cluster->endpoints[0], order)
         + pt_count_call_runs (cluster, &cluster->endpoints[1], order);
}

static bool
has_run_anywhere (PtCluster *cluster, void *user)
{
  return count_runs (cluster, user) > 0;
}

static char *
create_ticket (PtCluster *cluster, PtProgram *instance)
{
  struct json_object *response
      = si_client_call_json (&cluster->client, instance->address, "/v1/tickets", "{}");

  cr_assert_not_null (response);
  char *ticket = lb_strdup (si_json_text (response, "ticket", ""));
  json_object_put (response);
  return ticket;
}

static SiCheckedCallSpec
make_order_call (const PtProgram *instance, const char *order)
{
  return (SiCheckedCallSpec){ .kind = SI_CHECKED_CALL_SERVICE,
                              .address = instance->address,
                              .model = "/services/lookup/order",
                              .prompt = "two bags of rice",
                              .order = order,
                              .deadline_ms = "20000",
                              .idle_timeout = PT_WAIT_TIMEOUT };
}

/* Kills the instance while the call runs. The caller sees a closed connection and sends the same
 * call to the other instances: each must report the outcome as unknown, and the call must have run
 * once. */
static void
check_no_rerun_after_kill (PtCluster *cluster, SiCheckedCallSpec *spec)
{
  PendingCall pending_call = { .is_done = false };

  si_checked_call_start (cluster->client.pool, spec, on_call_done, &pending_call);
  pt_wait_until (cluster, "the order runs", has_run_anywhere, (void *)spec->order);
  pt_process_signal (&cluster->instances[0].process, SIGKILL);
  pt_wait_until (cluster, "the call fails", is_call_done, &pending_call);
  cr_assert_eq (pending_call.result.outcome, SI_CALL_FAILED, "%s", pending_call.result.error);
  for (size_t i = 1; i < cluster->n_instances; i++)
    {
      spec->address = cluster->instances[i].address;
      SiCheckedCallResult retry = pt_run_checked_call (cluster, spec);
      cr_assert_eq (retry.outcome, SI_CALL_FAILED, "%d %s", retry.outcome, retry.error);
      cr_assert_str_eq (retry.error, "outcome_unknown");
    }
  cr_assert_eq (count_runs (cluster, spec->order), 1);
}

/* A call with a ticket of an instance that is killed while the call runs. Rerun by the next
 * instance, the order would be placed twice; reported as not run, the caller would place it
 * again. */
Test (once, ticket_of_a_killed_instance_is_not_rerun)
{
  PtCluster cluster;

  start_cluster (&cluster);
  char *ticket = create_ticket (&cluster, &cluster.instances[0]);
  SiCheckedCallSpec spec = make_order_call (&cluster.instances[0], "order-1");
  spec.ticket = ticket;
  check_no_rerun_after_kill (&cluster, &spec);
  free (ticket);
  pt_drain_instances (&cluster);
  pt_cluster_clear (&cluster);
}

/* The same with an idempotency key of the caller: the killed instance leaves only its claim in the
 * platform's table. */
Test (once, idempotency_key_of_a_killed_instance_is_not_rerun)
{
  PtCluster cluster;

  start_cluster (&cluster);
  SiCheckedCallSpec spec = make_order_call (&cluster.instances[0], "order-2");
  spec.idempotency_key = "key-2";
  check_no_rerun_after_kill (&cluster, &spec);
  pt_drain_instances (&cluster);
  pt_cluster_clear (&cluster);
}

/* A caller sends the same call to two instances at once. The second instance must join the call in
 * progress or return the kept response; the call runs once. */
Test (once, same_ticket_at_two_instances_runs_once)
{
  PtCluster cluster;
  PendingCall first = { .is_done = false };

  start_cluster (&cluster);
  char *ticket = create_ticket (&cluster, &cluster.instances[0]);
  SiCheckedCallSpec spec = make_order_call (&cluster.instances[0], "order-3");
  spec.ticket = ticket;
  si_checked_call_start (cluster.client.pool, &spec, on_call_done, &first);
  spec.address = cluster.instances[1].address;
  SiCheckedCallResult second = pt_run_checked_call (&cluster, &spec);
  pt_wait_until (&cluster, "the first call is done", is_call_done, &first);
  cr_assert_eq (first.result.outcome, SI_CALL_COMPLETE, "%s", first.result.error);
  cr_assert_eq (second.outcome, SI_CALL_COMPLETE, "%d %s", second.outcome, second.error);
  spec.address = cluster.instances[2].address;
  SiCheckedCallResult third = pt_run_checked_call (&cluster, &spec);
  cr_assert_eq (third.outcome, SI_CALL_COMPLETE, "%d %s", third.outcome, third.error);
  cr_assert_eq (count_runs (&cluster, "order-3"), 1);
  free (ticket);
  pt_drain_instances (&cluster);
  pt_cluster_clear (&cluster);
}
