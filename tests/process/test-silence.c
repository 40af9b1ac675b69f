#include "pt-relay.h"
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

typedef struct
{
  PtProgram *endpoint;
  const char *key;
} CallRunQuery;

static bool
has_endpoint_started_call (PtCluster *cluster, void *user)
{
  CallRunQuery *run_query = user;

  return pt_count_call_runs (cluster, run_query->endpoint, run_query->key) > 0;
}

typedef struct
{
  PtCluster cluster;
  PtRelay relay;
  PtProgram *instance;
  PtProgram *endpoint; /* engine or service that the instance reaches through the relay */
} Fixture;

static void
fixture_start_with_relayed_endpoint (Fixture *fixture,
                                     PtProgram *(*start_endpoint) (PtCluster *,
                                                                   const char *,
                                                                   const char *const *),
                                     const char *name,
                                     const char *const *options)
{
  LbName direct_address;

  pt_cluster_init (&fixture->cluster);
  fixture->cluster.has_memory_platform = true;
  fixture->endpoint = start_endpoint (&fixture->cluster, name, options);
  pt_relay_init (&fixture->relay, fixture->cluster.client.base, fixture->endpoint->address);
  fixture->instance = pt_start_instance (&fixture->cluster, "i1", "hall-a");
  strcpy (direct_address, fixture->endpoint->address);
  strcpy (fixture->endpoint->address, fixture->relay.address);
  pt_configure_cluster (&fixture->cluster, fixture->instance);
  strcpy (fixture->endpoint->address, direct_address);
  pt_wait_until_instance_ready (&fixture->cluster, fixture->instance);
}

static void
fixture_clear (Fixture *fixture)
{
  pt_relay_clear (&fixture->relay);
  pt_drain_instances_and_wait_for_exit (&fixture->cluster);
  pt_cluster_clear (&fixture->cluster);
}

/* A firewall between the instance and its engine loses its connection state during a stream: open
 * connections deliver neither data nor errors, new connections work. Without a limit on silence the
 * caller waits for ever. The stream must resume over a new connection after the last received
 * token, and later calls must not use the dead pooled connections. */
Test (silence, stream_resumes_over_a_new_connection)
{
  static const char *const slow_options[] = { "--tokens-per-second", "60", NULL };
  Fixture fixture;
  PendingCall pending_call = { .is_done = false };

  fixture_start_with_relayed_endpoint (&fixture, pt_start_engine, "engine-1", slow_options);
  SiCheckedCallSpec spec = { .address = fixture.instance->address,
                             .model = "reader",
                             .prompt = "a reply",
                             .max_tokens = 90,
                             .stream = true };
  cr_assert_eq (pt_run_checked_call (&fixture.cluster, &spec).outcome, SI_CALL_COMPLETE);
  spec.prompt = "another reply";
  CallRunQuery run_query = { fixture.endpoint, spec.prompt };
  si_checked_call_start (fixture.cluster.client.pool, &spec, on_call_done, &pending_call);
  pt_wait_until (&fixture.cluster, "the engine has started the call", has_endpoint_started_call,
                 &run_query);
  si_client_pause (&fixture.cluster.client, 300 * LB_MSEC);
  pt_relay_blackhole_connections (&fixture.relay);

  pt_wait_until (&fixture.cluster, "the call is done", is_call_done, &pending_call);
  cr_assert_eq (pending_call.result.outcome, SI_CALL_COMPLETE,
                "expected SI_CALL_COMPLETE, got outcome %d: %s", pending_call.result.outcome,
                pending_call.result.error);
  cr_assert_eq (pt_read_standin_log_counter (&fixture.cluster, fixture.endpoint,
                                             "resume_mismatches"),
                0);
  spec.prompt = "a third";
  cr_assert_eq (pt_run_checked_call (&fixture.cluster, &spec).outcome, SI_CALL_COMPLETE);
  fixture_clear (&fixture);
}

/* The connection of an unsafe call goes silent, so the instance cannot know whether the call ran.
 * It must not retry the call, which could run it twice, and must not report it as not run, because
 * the caller would then send it again. */
Test (silence, call_that_may_have_run_is_not_retried_nor_reported_as_not_run)
{
  static const char *const slow_options[] = { "--latency-ms", "400", NULL };
  Fixture fixture;
  PendingCall pending_call = { .is_done = false };

  fixture_start_with_relayed_endpoint (&fixture, pt_start_service, "lookup-1", slow_options);
  SiCheckedCallSpec spec = { .kind = SI_CHECKED_CALL_SERVICE,
                             .address = fixture.instance->address,
                             .model = "/services/lookup/order",
                             .prompt = "send order 7",
                             .order = "order-7",
                             .deadline_ms = "2000",
                             .idle_timeout = PT_WAIT_TIMEOUT };
  CallRunQuery run_query = { fixture.endpoint, "order-7" };
  si_checked_call_start (fixture.cluster.client.pool, &spec, on_call_done, &pending_call);
  pt_wait_until (&fixture.cluster, "the service has started the call", has_endpoint_started_call,
                 &run_query);
  pt_relay_blackhole_connections (&fixture.relay);

  pt_wait_until (&fixture.cluster, "the call is done", is_call_done, &pending_call);
  cr_assert_eq (pending_call.result.outcome, SI_CALL_FAILED,
                "expected SI_CALL_FAILED, got outcome %d: %s", pending_call.result.outcome,
                pending_call.result.error);
  cr_assert (strcmp (pending_call.result.error, "deadline") == 0
                 || strcmp (pending_call.result.error, "outcome_unknown") == 0,
             "expected error deadline or outcome_unknown, got %s", pending_call.result.error);
  cr_assert_eq (pt_count_call_runs (&fixture.cluster, fixture.endpoint, "order-7"), 1);
  spec.order = "order-8";
  spec.deadline_ms = NULL;
  cr_assert_eq (pt_run_checked_call (&fixture.cluster, &spec).outcome, SI_CALL_COMPLETE);
  fixture_clear (&fixture);
}
