#include "ln-context.h"

#include "ln-dialect.h"
#include "ln-fleet-lists.h"
#include "ln-fleet-renewal.h"
#include "ln-messages.h"
#include "ln-ticker.h"
#include "ln-true-time.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lc-duty.h"
#include "lc-fleet.h"
#include "lh-request-check.h"
#include "lp-path.h"
#include "lp-platform.h"

#include <stdlib.h>
#include <string.h>

#define FLEET_TICK_PERIOD (100 * LB_MSEC)
#define MAX_ENTRY_ADDRESSES 64
#define CLOCK_LEAD_TOLERANCE_MS 25
#define NOT_READY_RETRY_AFTER (300 * LB_MSEC)
#define MAX_PEER_TIMEOUT (30 * LB_SEC) /* longest watch that the store accepts */

/* The task "peers" on a shared platform. It derives the membership from rows in the store, gives
 * callers the addresses of instances, and makes store calls on behalf of other instances. */
typedef struct
{
  LnTask task; /* must be the first member */
  LnContext *context;
  LnPeriodicCall tick;
  LcFleetRow own_row;
  LnFleetRenewal *renewal; /* renews own_row */
  LnFleetLists *lists;
  LbTime started_at;          /* when this process started */
  bool has_duty[LN_N_DUTIES]; /* duties that this instance has, indexed by LnDuty */
} Fleet;

static void
clear_members_message (LnMessage *message)
{
  free (((LnMembersMessage *)message)->members);
}

static void
post_members_to_all_tasks (Fleet *task)
{
  LnMembersMessage message = { .base = LN_MESSAGE (LN_MEMBERS) };

  message.n_members = ln_fleet_lists_count_members (task->lists);
  message.is_omitted = ln_fleet_lists_omits_instance (task->lists, task->own_row.name);
  message.members = LB_NEW_ARRAY (LnMember, message.n_members + 1);
  message.base.clear = clear_members_message;
  for (size_t i = 0; i < message.n_members; i++)
    {
      const LcFleetMember *known = ln_fleet_lists_get_member (task->lists, i);
      LnMember *member = &message.members[i];
      LB_COPY (member->name, known->row.name);
      LB_COPY (member->incarnation, known->row.incarnation);
      LB_COPY (member->data_centre, known->row.data_centre);
      LB_COPY (member->caller_address, known->row.caller_address);
      member->version = known->version;
      member->alive = known->alive;
      member->draining = known->row.draining;
      member->cut = known->row.cut;
      member->strength = known->row.strength;
      member->started_ms = known->row.started_ms;
      member->clock_lead_ms = known->row.clock_lead_ms;
      member->is_self = strcmp (known->row.name, task->context->instance) == 0;
      member->confirmed = known->confirmed || member->is_self;
    }
  LN_POST (task->task.hub, NULL, message);
}

static void
clear_fleet_message (LnMessage *message)
{
  free (((LnFleetMessage *)message)->members);
}

static void
post_members_to_config_task (Fleet *task)
{
  LnTask *config = ln_hub_find_task (task->task.hub, "config");
  size_t n = ln_fleet_lists_count_members (task->lists);
  LnFleetMessage message = { .base = LN_MESSAGE (LN_FLEET), .n_members = n };

  if (!config || n == 0)
    return;
  message.members
      = lb_memdup (ln_fleet_lists_get_member (task->lists, 0), n * sizeof (LcFleetMember));
  message.base.clear = clear_fleet_message;
  LN_POST (task->task.hub, config, message);
}

/* Returns a member by its index in an order that starts at a random member on each instance, so
 * that not all instances choose the same few members. */
static const LcFleetMember *
get_member_from_random_start (const Fleet *task, size_t index)
{
  size_t n = ln_fleet_lists_count_members (task->lists);

  return ln_fleet_lists_get_member (task->lists,
                                    (ln_context_random_seed (task->context) % n + index) % n);
}

/* Sets the instances that relay store calls of this instance while it is cut off from the store. */
static void
set_store_relay_peers (Fleet *task)
{
  LpPlatform *platform = task->context->platform;
  LbName addresses[LP_MAX_PEERS];
  size_t n = 0;

  for (size_t i = 0; i < ln_fleet_lists_count_members (task->lists) && n < LP_MAX_PEERS; i++)
    {
      const LcFleetMember *member = get_member_from_random_start (task, i);
      if (member->alive && member->row.peer_address[0]
          && strcmp (member->row.name, task->own_row.name) != 0)
        lb_strlcpy (addresses[n++], member->row.peer_address, LB_NAME_MAX);
    }
  if (platform->klass->set_peers)
    platform->klass->set_peers (platform, addresses, n);
}

static void
on_instance_lists_changed (void *user)
{
  post_members_to_all_tasks (user);
  post_members_to_config_task (user);
  set_store_relay_peers (user);
}

static bool
instance_has_any_duty (const Fleet *task)
{
  for (int duty = 0; duty < LN_N_DUTIES; duty++)
    if (task->has_duty[duty])
      return true;
  return false;
}

/* Writes to this instance's row at once that the store became reachable or unreachable, since other
 * instances must not assign batches to this instance while it is cut off from the store. */
static void
publish_changed_store_reachability (Fleet *task, LbTime now)
{
  const LpPlatform *platform = task->context->platform;
  bool is_cut_off = !lp_platform_is_store_reachable (platform);

  if (is_cut_off == task->own_row.cut)
    return;
  task->own_row.cut = is_cut_off;
  if (!ln_fleet_lists_omits_instance (task->lists, task->own_row.name))
    ln_fleet_renewal_write_row_now (task->renewal, now);
}

/* Updates the clock offset in this instance's row only when it changes by more than the jitter of
 * the store's answers, because every change of a row is read by all instances. */
static void
update_published_clock_lead (Fleet *task, LbTime now)
{
  int64_t lead = ln_true_time_get_local_clock_offset_ms (task->context, now);

  if (task->context->settings->duties.n_kinds == 0 || lead == 0)
    return;
  if (llabs (lead - task->own_row.clock_lead_ms) > CLOCK_LEAD_TOLERANCE_MS)
    task->own_row.clock_lead_ms = lead;
}

/* Sets the start time of this process in its row as soon as the store's clock is known. */
static void
set_start_time_in_own_row (Fleet *task)
{
  if (task->own_row.started_ms == 0)
    task->own_row.started_ms
        = lp_platform_get_store_clock_ms_at (task->context->platform, task->started_at);
}

static void
on_fleet_task_tick (void *user)
{
  Fleet *task = user;
  LbTime now = lb_clock_monotonic ();

  publish_changed_store_reachability (task, now);
  update_published_clock_lead (task, now);
  set_start_time_in_own_row (task);
  const LnFleetListSummary summary
      = { .n_instances = ln_fleet_lists_count_members (task->lists),
          .is_omitted = ln_fleet_lists_omits_instance (task->lists, task->own_row.name),
          .has_duty_row = ln_fleet_lists_has_duty_row (task->lists, task->own_row.name) };
  ln_fleet_renewal_tick (task->renewal, &summary, now);
  ln_ticker_set_idle (ln_context_get_ticker (task->context), summary.is_omitted
                                                                 && !instance_has_any_duty (task)
                                                                 && !task->own_row.draining);
  ln_fleet_lists_tick (task->lists, now);
}

/* --- addresses for callers --- */

static void
append_address_if_new (const char **addresses, size_t *n, const char *address)
{
  for (size_t i = 0; i < *n; i++)
    if (strcmp (addresses[i], address) == 0)
      return;
  if (*n < MAX_ENTRY_ADDRESSES)
    addresses[(*n)++] = address;
}

/* Returns true if callers may be directed to the instance. */
static bool
is_available_to_callers (const LcFleetMember *member)
{
  return member->alive && member->confirmed && member->row.ready && !member->row.draining;
}

/* Adds the addresses of other instances in the same data centre, or of those in other data centres.
 * must_be_fresh: adds only instances that missed no renewal. */
static void
add_addresses_of_other_instances (
    const Fleet *task, bool must_be_fresh, bool same_data_centre, const char **addresses, size_t *n)
{
  for (size_t i = 0; i < ln_fleet_lists_count_members (task->lists); i++)
    {
      const LcFleetMember *member = get_member_from_random_start (task, i);
      bool is_in_data_centre = strcmp (member->row.data_centre, task->own_row.data_centre) == 0;
      if (is_available_to_callers (member) && member->fresh >= must_be_fresh
          && is_in_data_centre == same_data_centre
          && strcmp (member->row.name, task->own_row.name) != 0)
        append_address_if_new (addresses, n, member->row.caller_address);
    }
}

/* Chooses the addresses for the reply to a caller's address lookup. This instance comes first if it
 * is ready, since it knows its own state best. The number of addresses is limited, so instances
 * that missed no renewal come before the others: an instance that missed one may be dead, and a
 * caller that connects to it waits for a second. Among equals, instances in the same data centre
 * come first. */
static size_t
choose_caller_addresses (const Fleet *task, const char **addresses)
{
  size_t n = 0;

  if (task->own_row.ready && !task->own_row.draining)
    append_address_if_new (addresses, &n, task->own_row.caller_address);
  add_addresses_of_other_instances (task, true, true, addresses, &n);
  add_addresses_of_other_instances (task, true, false, addresses, &n);
  add_addresses_of_other_instances (task, false, true, addresses, &n);
  add_addresses_of_other_instances (task, false, false, addresses, &n);
  return n;
}

static void
answer_address_lookup (Fleet *task, LnExchange *exchange)
{
  const char *addresses[MAX_ENTRY_ADDRESSES];
  size_t n = choose_caller_addresses (task, addresses);
  LbTime ttl = task->context->settings->drain.entry_ttl_ms * LB_MSEC;
  LbError error = { 0 };

  if (n == 0)
    {
      lb_error_set (&error, LB_ERROR_NOT_READY, "", "no instance is known to be ready");
      ln_exchange_reply_error (exchange, &error, NOT_READY_RETRY_AFTER);
      return;
    }
  char *text = task->context->dialect->write_resolve_reply (addresses, n, ttl);
  ln_exchange_reply_text (exchange, 200, "application/json", text, strlen (text));
  free (text);
}

/* --- store calls for other instances --- */

typedef struct
{
  LnExchange *exchange;
} RelayedCall;

static void
on_relayed_call_answered (
    LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  RelayedCall *call = user;
  LbError reply_error = { 0 };

  if (status != 0)
    ln_exchange_reply_text (call->exchange, status, "application/json", body, length);
  else
    {
      /* STORE_AWAY (status 503) means that the call did not take effect, OUTCOME_UNKNOWN that it
       * may have taken effect. */
      lb_error_set (&reply_error,
                    error == LB_ERROR_STORE_AWAY ? LB_ERROR_STORE_AWAY : LB_ERROR_OUTCOME_UNKNOWN,
                    "", "the store did not answer this instance either");
      ln_exchange_reply_error (call->exchange, &reply_error, 0);
    }
  free (call);
}

/* Refuses to relay a peer's store call if this instance is cut off from the store too. Otherwise
 * the peer would wait for a whole deadline before it tries another instance. */
static bool
refuse_relay_if_cut_off_from_store (const LpPlatform *platform, LnExchange *exchange)
{
  LbError error = { 0 };

  if (lp_platform_is_store_reachable (platform))
    return false;
  lb_error_set (&error, LB_ERROR_STORE_AWAY, "", "this instance can't reach the store either");
  ln_exchange_reply_error (exchange, &error, 0);
  return true;
}

/* Returns 0, the default, for a header that is absent or not a number of milliseconds within the
 * limit. */
static LbTime
parse_peer_timeout (const char *text)
{
  char *end = NULL;
  long long ms = text ? strtoll (text, &end, 10) : 0;

  return text && end != text && *end == '\0' && ms > 0 && ms <= MAX_PEER_TIMEOUT / LB_MSEC
             ? ms * LB_MSEC
             : 0;
}

static void
relay_store_call (Fleet *task, LnExchange *exchange)
{
  LpPlatform *platform = task->context->platform;
  const char *method = ln_exchange_header (exchange, LP_PEER_METHOD_HEADER);
  const char *path = ln_exchange_header (exchange, LP_PEER_PATH_HEADER);
  const char *timeout_ms = ln_exchange_header (exchange, LP_PEER_TIMEOUT_HEADER);
  RelayedCall *call = NULL;
  LbError error = { 0 };
  size_t length;
  const char *body = ln_exchange_body (exchange, &length);
  const LhRequest request = { .method = method ? method : "", .path = path ? path : "" };

  if (!lh_request_check (&request, &error) || !platform->klass->execute_peer_call)
    {
      lb_error_set (&error, LB_ERROR_BAD_REQUEST, LP_PEER_PATH_HEADER,
                    "expected the method and path of a store call");
      ln_exchange_reply_error (exchange, &error, 0);
      return;
    }
  if (refuse_relay_if_cut_off_from_store (platform, exchange))
    return;
  call = LB_NEW (RelayedCall);
  call->exchange = exchange;
  platform->klass->execute_peer_call (platform, method, path, body, length,
                                      parse_peer_timeout (timeout_ms), on_relayed_call_answered,
                                      call);
}

static void
answer_http_exchange (Fleet *task, LnExchange *exchange)
{
  if (strcmp (ln_exchange_path (exchange), LP_PEER_PATH) == 0)
    relay_store_call (task, exchange);
  else
    answer_address_lookup (task, exchange);
}

static void
update_duty_from_message (Fleet *task, const LnDutyMessage *message, LbTime now)
{
  task->has_duty[message->duty] = message->held;
  ln_fleet_renewal_set_duty (task->renewal, instance_has_any_duty (task), now);
}

static void
receive_message_for_fleet_task (LnTask *base, const LnMessage *message)
{
  Fleet *task = (Fleet *)base;

  switch ((LnMessageType)message->type)
    {
    case LN_EXCHANGE:
      answer_http_exchange (task, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_DUTY:
      update_duty_from_message (task, (const LnDutyMessage *)message, lb_clock_monotonic ());
      break;
    case LN_CATALOG_FOLLOWED:
      ln_fleet_lists_set_catalog_followed (task->lists,
                                           ((const LnCatalogFollowedMessage *)message)->followed);
      break;
    case LN_CATALOG_MEMBERS:
      ln_fleet_lists_set_members (task->lists, ((const LnFleetMessage *)message)->members,
                                  ((const LnFleetMessage *)message)->n_members);
      break;
    case LN_SERVICE_OVERLOADED:
      LB_COPY (task->own_row.overloaded_service,
               ((const LnServiceOverloadedMessage *)message)->service);
      break;
    case LN_READY:
      task->own_row.ready = ((const LnReadyMessage *)message)->ready;
      ln_fleet_renewal_write_row_now (task->renewal, lb_clock_monotonic ());
      break;
    default:
      break;
    }
}

/* Writes the draining state to the row at once, so that callers avoid this instance from their next
 * address lookup on. */
static void
drain_fleet_task (LnTask *base)
{
  Fleet *task = (Fleet *)base;

  task->own_row.draining = true;
  ln_fleet_renewal_write_row_now (task->renewal, lb_clock_monotonic ());
}

static void
free_fleet_task (LnTask *base)
{
  Fleet *task = (Fleet *)base;

  ln_ticker_remove (ln_context_get_ticker (task->context), &task->tick);
  ln_fleet_renewal_free (task->renewal);
  ln_fleet_lists_free (task->lists);
  free (task);
}

static const LnTaskClass fleet_class = { .name = "peers",
                                         .receive = receive_message_for_fleet_task,
                                         .drain = drain_fleet_task,
                                         .free = free_fleet_task };

LnTask *
ln_fleet_task_new (LnContext *context)
{
  Fleet *task = LB_NEW (Fleet);

  task->task.klass = &fleet_class;
  task->task.hub = context->hub;
  task->context = context;
  task->started_at = lb_clock_monotonic ();
  LB_COPY (task->own_row.name, context->instance);
  LB_COPY (task->own_row.incarnation, context->incarnation);
  LB_COPY (task->own_row.data_centre, context->settings->instance.data_centre);
  LB_COPY (task->own_row.caller_address, context->caller_address);
  LB_COPY (task->own_row.peer_address, context->peer_address);
  task->own_row.strength = lc_duty_machine_strength (context->settings->instance.processor_share,
                                                     context->settings->instance.link_mbps);
  task->renewal = ln_fleet_renewal_new (context->platform, &task->own_row);
  task->lists
      = ln_fleet_lists_new (context->platform, context->instance, on_instance_lists_changed, task);
  task->tick = (LnPeriodicCall){ .period = FLEET_TICK_PERIOD,
                                 .callback = on_fleet_task_tick,
                                 .user = task };
  ln_ticker_add (ln_context_get_ticker (context), &task->tick);
  return &task->task;
}
