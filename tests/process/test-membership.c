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
  PtProgram *asked;
  const char *name;
  size_t addresses;
} Naming;

/* The instances that `asked` names to a caller: how many, and whether one of them is `name`. */
static bool
ask_entry (PtCluster *cluster, Naming *naming)
{
  struct json_object *answer
      = si_client_call_json (&cluster->client, naming->asked->address,
                             "/v1/entry?caller=clerk-1&data_centre=hall-b", NULL);
  struct json_object *addresses = answer ? json_object_object_get (answer, "addresses") : NULL;
  bool found = false;

  naming->addresses = addresses ? json_object_array_length (addresses) : 0;
  for (size_t i = 0; i < naming->addresses; i++)
    {
      struct json_object *address = json_object_array_get_idx (addresses, i);
      found = found || strcmp (si_json_text (address, "instance", ""), naming->name) == 0;
    }
  json_object_put (answer);
  return found;
}

static bool
is_named (PtCluster *cluster, void *user)
{
  return ask_entry (cluster, user);
}

static bool
is_not_named (PtCluster *cluster, void *user)
{
  Naming *naming = user;

  return !ask_entry (cluster, naming) && naming->addresses > 0;
}

static int64_t
read_counter (PtCluster *cluster, const PtProgram *instance, const char *name)
{
  const SiCall call = { .method = "GET", .address = instance->address, .path = "/metrics" };
  char *start = lb_asprintf ("\n%s ", name);
  SiResponse answer;

  si_client_call (&cluster->client, &call, &answer);
  const char *at = answer.body ? strstr (answer.body, start) : NULL;
  int64_t value = at ? strtoll (at + strlen (start), NULL, 10) : -1;
  si_response_clear (&answer);
  free (start);
  return value;
}

static void
start_three (PtCluster *cluster, PtProgram **instances)
{
  static const char *const names[] = { "i1", "i2", "i3" };
  static const char *const data_centres[] = { "hall-a", "hall-b", "hall-c" };

  pt_cluster_init (cluster);
  cluster->has_memory_platform = true;
  for (size_t i = 0; i < 3; i++)
    instances[i] = pt_start_instance (cluster, names[i], data_centres[i]);
  for (size_t i = 0; i < 3; i++)
    for (size_t j = 0; j < 3; j++)
      pt_wait (cluster, "all know one another", is_named, &(Naming){ instances[i], names[j], 0 });
}

static void
wait_for_both (PtCluster *cluster, PtProgram **instances, const char *what, PtCondition condition)
{
  for (size_t i = 0; i < 3; i += 2)
    pt_wait (cluster, what, condition, &(Naming){ instances[i], "i2", 0 });
}

/* An instance is killed. A clerk who asks another instance for addresses right after is still sent
 * to the dead one and waits for a timeout. It must be named by nobody soon (3 s on a machine that
 * is not busy; the limit here is generous), and again when its replacement of the same name is
 * there. */
Test (membership, a_killed_instance_is_not_named_and_its_replacement_is)
{
  PtCluster cluster;
  PtProgram *instances[3];

  start_three (&cluster, instances);
  LbTime killed = lb_clock_monotonic ();
  pt_process_signal (&instances[1]->process, SIGKILL);
  wait_for_both (&cluster, instances, "the killed one is not named", is_not_named);
  cr_log_info ("not named after %.2f s", (double)(lb_clock_monotonic () - killed) / LB_SEC);
  pt_restart_instance (&cluster, instances[1]);
  wait_for_both (&cluster, instances, "the replacement is named", is_named);
  pt_cluster_clear (&cluster);
}

/* An instance is stopped by a debugger: its sockets stay open and take bytes, so nothing ends. It
 * must not be named meanwhile. When it goes on, it has heard from nobody for seconds; it must not
 * call the others dead, and must be named again. */
Test (membership, a_stopped_instance_is_not_named_until_it_goes_on)
{
  PtCluster cluster;
  PtProgram *instances[3];

  start_three (&cluster, instances);
  LbTime stopped = lb_clock_monotonic ();
  pt_process_signal (&instances[1]->process, SIGSTOP);
  wait_for_both (&cluster, instances, "the stopped one is not named", is_not_named);
  cr_log_info ("not named after %.2f s", (double)(lb_clock_monotonic () - stopped) / LB_SEC);
  si_client_pause (&cluster.client, 5 * LB_SEC);
  pt_process_signal (&instances[1]->process, SIGCONT);
  wait_for_both (&cluster, instances, "it is named again", is_named);
  for (size_t i = 0; i < 3; i += 2)
    pt_wait (&cluster, "it names the others", is_named,
             &(Naming){ instances[1], instances[i]->name, 0 });
  cr_assert_geq (read_counter (&cluster, instances[1], "lentilspindle_own_pauses_total"), 1);
  cr_assert_eq (read_counter (&cluster, instances[1], "lentilspindle_members_suspected_total"), 0);
  cr_assert_eq (read_counter (&cluster, instances[1], "lentilspindle_members_condemned_total"), 0);
  pt_cluster_clear (&cluster);
}

/* An instance drains. Others that go on naming it send clerks to a door that is closed. */
Test (membership, a_draining_instance_is_not_named)
{
  PtCluster cluster;
  PtProgram *instances[3];

  start_three (&cluster, instances);
  pt_process_signal (&instances[1]->process, SIGTERM);
  wait_for_both (&cluster, instances, "the draining one is not named", is_not_named);
  Naming own = { instances[1], "i2", 0 };
  if (!instances[1]->process.ended)
    cr_assert_not (ask_entry (&cluster, &own));
  pt_wait_exit (&cluster, &instances[1]->process, 0);
  pt_cluster_clear (&cluster);
}
