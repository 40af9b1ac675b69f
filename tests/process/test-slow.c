#include "pt-cluster.h"

#include <criterion/criterion.h>
#include <string.h>

/* Responses take longer than the time limit for reading a request, which protects against callers
 * that send a byte a second. The limit must not apply after the request is read. Otherwise
 * responses are truncated, and callers get "not run" for calls that ran. */
Test (slow, response_slower_than_the_request_read_limit_is_complete)
{
  static const char *const engine_options[] = { "--tokens-per-second", "40", NULL };
  static const char *const service_options[] = { "--latency-ms", "1500", NULL };
  PtCluster cluster;

  pt_cluster_init (&cluster);
  cluster.has_memory_platform = true;
  cluster.request_read_ms = 500;
  pt_start_engine (&cluster, "engine-1", engine_options);
  PtProgram *service = pt_start_service (&cluster, "lookup-1", service_options);
  PtProgram *instance = pt_start_instance (&cluster, "i1", "hall-a");
  pt_configure_cluster (&cluster, instance);
  pt_wait_until_instance_ready (&cluster, instance);
  SiCheckedCallSpec stream = { .address = instance->address,
                               .model = "reader",
                               .prompt = "slowly",
                               .max_tokens = 60,
                               .stream = true };
  SiCheckedCallResult result = pt_run_checked_call (&cluster, &stream);
  cr_assert_eq (result.outcome, SI_CALL_COMPLETE,
                "stream: expected SI_CALL_COMPLETE, got outcome %d: %s", result.outcome,
                result.error);
  stream.stream = false;
  result = pt_run_checked_call (&cluster, &stream);
  cr_assert_eq (result.outcome, SI_CALL_COMPLETE,
                "unary call: expected SI_CALL_COMPLETE, got outcome %d: %s", result.outcome,
                result.error);
  SiCheckedCallSpec service_call = { .kind = SI_CHECKED_CALL_SERVICE,
                                     .address = instance->address,
                                     .model = "/services/lookup/order",
                                     .prompt = "one",
                                     .order = "order-1" };
  result = pt_run_checked_call (&cluster, &service_call);
  cr_assert_eq (result.outcome, SI_CALL_COMPLETE,
                "service call: expected SI_CALL_COMPLETE, got outcome %d: %s", result.outcome,
                result.error);
  cr_assert_eq (pt_count_call_runs (&cluster, service, "order-1"), 1);
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}
