#include "pt-cluster.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  PtProgram *queried; /* instance that is asked for the addresses that a caller may use */
  const char *name;   /* name of the instance to find in the response */
  size_t n_addresses; /* number of addresses in the response */
} EntryQuery;

/* Asks instance query->queried for the instance addresses that a caller may use (entry
 * addresses), stores their number, and returns whether instance query->name is among them. */
static bool
find_instance_in_entry_addresses (PtCluster *cluster, EntryQuery *query)
{
  struct json_object *response
      = si_client_call_json (&cluster->client, query->queried->address,
                             "/v1/entry?caller=clerk-1&data_centre=hall-b", NULL);
  struct json_object *addresses = response ? json_object_object_get (response, "addresses") : NULL;
  bool is_found = false;

  query->n_addresses = addresses ? json_object_array_length (addresses) : 0;
  for (size_t i = 0; i < query->n_addresses; i++)
    {
      struct json_object *address = json_object_array_get_idx (addresses, i);
      is_found = is_found || strcmp (si_json_get_text (address, "instance", ""), query->name) == 0;
    }
  json_object_put (response);
  return is_found;
}

static bool
is_instance_in_entry_addresses (PtCluster *cluster, void *user)
{
  return find_instance_in_entry_addresses (cluster, user);
}

static bool
is_instance_absent_from_entry_addresses (PtCluster *cluster, void *user)
{
  EntryQuery *query = user;

  return !find_instance_in_entry_addresses (cluster, query) && query->n_addresses > 0;
}

/* Returns the value of a metric of the instance; -1: the metric is absent. */
static int64_t
read_metric_counter (PtCluster *cluster, const PtProgram *instance, const char *name)
{
  const SiCall call = { .method = "GET", .address = instance->address, .path = "/metrics" };
  char *line_prefix = lb_asprintf ("\n%s ", name);
  SiResponse response;

  si_client_call (&cluster->client, &call, &response);
  const char *line = response.body ? strstr (response.body, line_prefix) : NULL;
  int64_t value = line ? strtoll (line + strlen (line_prefix), NULL, 10) : -1;
  si_response_clear (&response);
  free (line_prefix);
  return value;
}

static void
start_three_instances (PtCluster *cluster, PtProgram **instances)
{
  static const char *const names[] = { "i1", "i2", "i3" };
  static const char *const data_centres[] = { "hall-a", "hall-b", "hall-c" };

  pt_cluster_init (cluster);
  cluster->has_memory_platform = true;
  for (size_t i = 0; i < 3; i++)
    instances[i] = pt_start_instance (cluster, names[i], data_centres[i]);
  for (size_t i = 0; i < 3; i++)
    for (size_t j = 0; j < 3; j++)
      pt_wait_until (cluster, "all instances list each other", is_instance_in_entry_addresses,
                     &(EntryQuery){ instances[i], names[j], 0 });
}

static void
wait_for_condition_at_first_and_third_instance (PtCluster *cluster,
                                                PtProgram **instances,
                                                const char *description,
                                                PtCondition condition)
{
  for (size_t i = 0; i < 3; i += 2)
    pt_wait_until (cluster, description, condition, &(EntryQuery){ instances[i], "i2", 0 });
}

/* An instance is killed. Callers that still get its address wait for a timeout, so the other
 * instances must stop listing it (after 3 s on an idle machine; the test allows PT_WAIT_TIMEOUT).
 * Its replacement with the same name must be listed. */
Test (membership, killed_instance_is_not_listed_and_its_replacement_is)
{
  PtCluster cluster;
  PtProgram *instances[3];

  start_three_instances (&cluster, instances);
  LbTime killed_at = lb_clock_monotonic ();
  pt_process_signal (&instances[1]->process, SIGKILL);
  wait_for_condition_at_first_and_third_instance (&cluster, instances,
                                                  "the killed instance is not listed",
                                                  is_instance_absent_from_entry_addresses);
  cr_log_info ("the other instances stopped listing i2 after %.2f s",
               (double)(lb_clock_monotonic () - killed_at) / LB_SEC);
  pt_restart_instance (&cluster, instances[1]);
  wait_for_condition_at_first_and_third_instance (&cluster, instances, "the replacement is listed",
                                                  is_instance_in_entry_addresses);
  pt_cluster_clear (&cluster);
}

/* An instance is suspended, as by a debugger: its connections stay open and accept data. The other
 * instances must stop listing it. When it continues, it has received no heartbeats for seconds: it
 * must not declare the others dead, and must be listed again. */
Test (membership, stopped_instance_is_not_listed_until_it_continues)
{
  PtCluster cluster;
  PtProgram *instances[3];

  start_three_instances (&cluster, instances);
  LbTime stopped_at = lb_clock_monotonic ();
  pt_process_signal (&instances[1]->process, SIGSTOP);
  wait_for_condition_at_first_and_third_instance (&cluster, instances,
                                                  "the stopped instance is not listed",
                                                  is_instance_absent_from_entry_addresses);
  cr_log_info ("the other instances stopped listing i2 after %.2f s",
               (double)(lb_clock_monotonic () - stopped_at) / LB_SEC);
  si_client_pause (&cluster.client, 5 * LB_SEC);
  pt_process_signal (&instances[1]->process, SIGCONT);
  wait_for_condition_at_first_and_third_instance (&cluster, instances,
                                                  "the continued instance is listed",
                                                  is_instance_in_entry_addresses);
  for (size_t i = 0; i < 3; i += 2)
    pt_wait_until (&cluster, "the continued instance lists the others",
                   is_instance_in_entry_addresses,
                   &(EntryQuery){ instances[1], instances[i]->name, 0 });
  cr_assert_geq (read_metric_counter (&cluster, instances[1], "lentilspindle_own_pauses_total"), 1);
  cr_assert_eq (read_metric_counter (&cluster, instances[1],
                                     "lentilspindle_members_suspected_total"),
                0);
  cr_assert_eq (read_metric_counter (&cluster, instances[1],
                                     "lentilspindle_members_condemned_total"),
                0);
  pt_cluster_clear (&cluster);
}

/* A draining instance soon closes its port, so no instance may list it for callers any longer. */
Test (membership, draining_instance_is_not_listed)
{
  PtCluster cluster;
  PtProgram *instances[3];

  start_three_instances (&cluster, instances);
  pt_process_signal (&instances[1]->process, SIGTERM);
  wait_for_condition_at_first_and_third_instance (&cluster, instances,
                                                  "the draining instance is not listed",
                                                  is_instance_absent_from_entry_addresses);
  EntryQuery own_query = { instances[1], "i2", 0 };
  if (!instances[1]->process.ended)
    cr_assert_not (find_instance_in_entry_addresses (&cluster, &own_query));
  pt_wait_for_exit_with_code (&cluster, &instances[1]->process, 0);
  pt_cluster_clear (&cluster);
}
