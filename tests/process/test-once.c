#include "pt-cluster.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  SiCheckedCallResult result;
  bool done;
} Answer;

static void
on_answer (const SiCheckedCallResult *result, void *user)
{
  Answer *answer = user;

  answer->result = *result;
  answer->done = true;
}

static bool
is_answered (PtCluster *cluster, void *user)
{
  (void)cluster;
  return ((Answer *)user)->done;
}

static void
scene_open (PtCluster *cluster)
{
  static const char *const slow[] = { "--latency-ms", "700", NULL };

  pt_cluster_init (cluster);
  pt_start_platform (cluster);
  pt_start_service (cluster, "lookup-1", slow);
  pt_start_service (cluster, "lookup-2", slow);
  pt_start_instance (cluster, "i1", "hall-a");
  pt_start_instance (cluster, "i2", "hall-b");
  pt_start_instance (cluster, "i3", "hall-c");
  pt_apply_resources (cluster, &cluster->instances[0]);
  for (size_t i = 0; i < cluster->n_instances; i++)
    pt_wait_ready (cluster, &cluster->instances[i]);
}

static int64_t
count_runs (PtCluster *cluster, const char *order)
{
  return pt_count_runs (cluster, &cluster->endpoints[0], order)
         + pt_count_runs (cluster, &cluster->endpoints[1], order);
}

static bool
has_run_anywhere (PtCluster *cluster, void *user)
{
  return count_runs (cluster, user) > 0;
}

static char *
take_ticket (PtCluster *cluster, PtProgram *instance)
{
  struct json_object *reply
      = si_client_call_json (&cluster->client, instance->address, "/v1/tickets", "{}");

  cr_assert_not_null (reply);
  char *ticket = lb_strdup (si_json_text (reply, "ticket", ""));
  json_object_put (reply);
  return ticket;
}

static SiCheckedCallSpec
order_at (const PtProgram *instance, const char *order)
{
  return (SiCheckedCallSpec){ .kind = SI_CHECKED_CALL_SERVICE,
                              .address = instance->address,
                              .model = "/services/lookup/order",
                              .prompt = "two bags of rice",
                              .order = order,
                              .deadline_ms = "20000",
                              .idle_timeout = PT_WAIT_TIMEOUT };
}

/* The instance is killed while the order runs; the shop's application, which sees a closed
 * connection, sends the same call to the next instance, several times. */
static void
kill_and_repeat (PtCluster *cluster, SiCheckedCallSpec *spec)
{
  Answer answer = { .done = false };

  si_checked_call_start (cluster->client.pool, spec, on_answer, &answer);
  pt_wait (cluster, "the order runs", has_run_anywhere, (void *)spec->order);
  pt_process_signal (&cluster->instances[0].process, SIGKILL);
  pt_wait (cluster, "the connection breaks", is_answered, &answer);
  cr_assert_eq (answer.result.outcome, SI_CALL_FAILED, "%s", answer.result.error);
  for (size_t i = 1; i < cluster->n_instances; i++)
    {
      spec->address = cluster->instances[i].address;
      SiCheckedCallResult repeat = pt_checked_call (cluster, spec);
      cr_assert_eq (repeat.outcome, SI_CALL_FAILED, "%d %s", repeat.outcome, repeat.error);
      cr_assert_str_eq (repeat.error, "outcome_unknown");
    }
  cr_assert_eq (count_runs (cluster, spec->order), 1);
}

/* A shopper's order message is sent with a ticket of an instance that is killed while it runs. Were
 * it sent again by the next instance, the shopper would get two orders; were it called "not run",
 * the merchant would send it himself. */
Test (once, ticket_of_a_killed_instance_is_never_run_again)
{
  PtCluster cluster;

  scene_open (&cluster);
  char *ticket = take_ticket (&cluster, &cluster.instances[0]);
  SiCheckedCallSpec spec = order_at (&cluster.instances[0], "order-1");
  spec.ticket = ticket;
  kill_and_repeat (&cluster, &spec);
  free (ticket);
  pt_cluster_drain (&cluster);
  pt_cluster_clear (&cluster);
}

/* The same with the application's own idempotency key: what is left of the killed instance is its
 * claim in the platform's table. */
Test (once, idempotency_key_claimed_by_a_killed_instance_is_never_run_again)
{
  PtCluster cluster;

  scene_open (&cluster);
  SiCheckedCallSpec spec = order_at (&cluster.instances[0], "order-2");
  spec.idempotency_key = "key-2";
  kill_and_repeat (&cluster, &spec);
  pt_cluster_drain (&cluster);
  pt_cluster_clear (&cluster);
}

/* The caller's connection is slow and it sends the same order to two instances at once. The second
 * joins the call in progress, or gets the kept answer; the order runs once. */
Test (once, same_ticket_at_two_instances_runs_once_and_answers_both)
{
  PtCluster cluster;
  Answer first = { .done = false };

  scene_open (&cluster);
  char *ticket = take_ticket (&cluster, &cluster.instances[0]);
  SiCheckedCallSpec spec = order_at (&cluster.instances[0], "order-3");
  spec.ticket = ticket;
  si_checked_call_start (cluster.client.pool, &spec, on_answer, &first);
  spec.address = cluster.instances[1].address;
  SiCheckedCallResult second = pt_checked_call (&cluster, &spec);
  pt_wait (&cluster, "the first is answered", is_answered, &first);
  cr_assert_eq (first.result.outcome, SI_CALL_COMPLETE, "%s", first.result.error);
  cr_assert_eq (second.outcome, SI_CALL_COMPLETE, "%d %s", second.outcome, second.error);
  spec.address = cluster.instances[2].address;
  SiCheckedCallResult third = pt_checked_call (&cluster, &spec);
  cr_assert_eq (third.outcome, SI_CALL_COMPLETE, "%d %s", third.outcome, third.error);
  cr_assert_eq (count_runs (&cluster, "order-3"), 1);
  free (ticket);
  pt_cluster_drain (&cluster);
  pt_cluster_clear (&cluster);
}
