#include "ln-members.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"

#include <json-c/json.h>
#include <stdlib.h>

static LbMetric members_alive = LB_GAUGE_INIT ("lentilspindle_members_alive",
                                               NULL,
                                               "Instances that are alive, including this one");
static LbMetric members_known
    = LB_GAUGE_INIT ("lentilspindle_members_known",
                     NULL,
                     "Known instances, including suspected and dead ones");
static LbMetric silent_connections
    = LB_COUNTER_INIT ("lentilspindle_peer_silent_connections_total",
                       NULL,
                       "Connections closed because the peer was silent");
static LbMetric suspicions = LB_COUNTER_INIT ("lentilspindle_members_suspected_total",
                                              NULL,
                                              "Instances that this instance has begun to suspect");
static LbMetric deaths
    = LB_COUNTER_INIT ("lentilspindle_members_condemned_total",
                       NULL,
                       "Suspected instances that this instance has declared dead");
static LbMetric refutations = LB_COUNTER_INIT ("lentilspindle_members_refuted_total",
                                               NULL,
                                               "Suspicions refuted by the suspected instance");
static LbMetric own_pauses = LB_COUNTER_INIT (
    "lentilspindle_own_pauses_total",
    NULL,
    "Gaps in this instance's event loop that were treated as pauses of the process");
static LbMetric name_conflicts
    = LB_COUNTER_INIT ("lentilspindle_name_conflicts_total",
                       NULL,
                       "Other incarnations that claimed this instance's name");

void
ln_members_update_counters (const LcMembership *membership, LcMembershipTotals *counted)
{
  LcMembershipTotals totals = lc_membership_totals (membership);

  lb_metric_add (&silent_connections, totals.connection_timeouts - counted->connection_timeouts);
  lb_metric_add (&suspicions, totals.suspected - counted->suspected);
  lb_metric_add (&deaths, totals.declared_dead - counted->declared_dead);
  lb_metric_add (&refutations, totals.refuted - counted->refuted);
  lb_metric_add (&own_pauses, totals.own_pauses - counted->own_pauses);
  lb_metric_add (&name_conflicts, totals.name_conflicts - counted->name_conflicts);
  *counted = totals;
}

static LnMember
member_from_view (const LcMemberView *view)
{
  LnMember member = { .alive = view->alive, .draining = view->draining, .is_self = view->is_self };

  LB_COPY (member.name, view->instance.name);
  LB_COPY (member.incarnation, view->instance.incarnation);
  LB_COPY (member.data_centre, view->instance.data_centre);
  LB_COPY (member.caller_address, view->instance.caller_address);
  LB_COPY (member.peer_address, view->instance.peer_address);
  return member;
}

/* Returns the state to log; NULL: the instance is alive, and neither suspected nor draining. */
static const char *
get_state_unless_normal (const LcMemberView *view)
{
  if (view->instance.state == LC_INSTANCE_DEAD)
    return "dead";
  if (!view->alive)
    return "suspected";
  return view->draining ? "draining" : NULL;
}

/* Logs the number of instances, and by name those that are dead, suspected or draining. */
static void
log_instance_states (const LcMemberView *views, size_t n_views, size_t alive)
{
  struct json_object *exceptions = json_object_new_object ();

  for (size_t i = 0; i < n_views; i++)
    {
      const char *state = get_state_unless_normal (&views[i]);
      if (state)
        json_object_object_add (exceptions, views[i].instance.name, json_object_new_string (state));
    }
  lb_log (LB_LOG_INFO, "members", LB_INT ("alive", alive), LB_INT ("known", n_views),
          LB_JSON ("others", json_object_to_json_string (exceptions)));
  json_object_put (exceptions);
}

static void
clear_members_message (LnMessage *message)
{
  free (((LnMembersMessage *)message)->members);
}

void
ln_members_publish (const LcMembership *membership, LnHub *hub)
{
  size_t n_views = lc_membership_count_instances (membership);
  LcMemberView *views = LB_NEW_ARRAY (LcMemberView, n_views);
  LnMembersMessage message = { .base = LN_MESSAGE (LN_MEMBERS) };
  size_t alive = 0;

  message.base.clear = clear_members_message;
  message.members = LB_NEW_ARRAY (LnMember, n_views);
  lc_membership_copy_views (membership, views);
  for (size_t i = 0; i < n_views; i++)
    {
      if (views[i].instance.state == LC_INSTANCE_DEAD)
        continue;
      alive += views[i].alive;
      message.members[message.n_members++] = member_from_view (&views[i]);
    }
  log_instance_states (views, n_views, alive);
  lb_metric_set (&members_alive, (int64_t)alive);
  lb_metric_set (&members_known, (int64_t)n_views);
  free (views);
  LN_POST (hub, NULL, message);
}
