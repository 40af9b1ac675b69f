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
#include "lh-fetch.h"
#include "lp-path.h"
#include "lp-platform.h"

#include <stdlib.h>
#include <string.h>

#define TICK (100 * LB_MSEC)
#define MAX_ENTRY_ADDRESSES 64
#define CLOCK_TOLERANCE_MS 25
#define RETRY_WITHOUT_ADDRESS (300 * LB_MSEC)

/* Instances of a shared platform and the addresses that callers are given. Runs as the task
 * "peers". */
typedef struct
{
  LnTask task; /* first */
  LnContext *context;
  LnPeriodicCall tick;
  LcFleetRow own;
  LnFleetRenewal *renewal; /* of own */
  LnFleetLists *lists;
  bool duties[LN_N_DUTIES];
} Fleet;

static void
clear_members (LnMessage *message)
{
  free (((LnMembersMessage *)message)->members);
}

static void
publish (Fleet *task)
{
  LnMembersMessage message = { .base = LN_MESSAGE (LN_MEMBERS) };

  message.n_members = ln_fleet_lists_count (task->lists);
  message.is_left_out = ln_fleet_lists_has_omitted (task->lists, task->own.name);
  message.members = LB_NEW_ARRAY (LnMember, message.n_members + 1);
  message.base.clear = clear_members;
  for (size_t i = 0; i < message.n_members; i++)
    {
      const LcFleetMember *known = ln_fleet_lists_at (task->lists, i);
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
      member->clock_lead_ms = known->row.clock_lead_ms;
      member->is_self = strcmp (known->row.name, task->context->instance) == 0;
      member->confirmed = known->confirmed || member->is_self;
    }
  LN_POST (task->task.hub, NULL, message);
}

static void
clear_fleet (LnMessage *message)
{
  free (((LnFleetMessage *)message)->members);
}

static void
tell_config (Fleet *task)
{
  LnTask *config = ln_hub_find_task (task->task.hub, "config");
  size_t n = ln_fleet_lists_count (task->lists);
  LnFleetMessage message = { .base = LN_MESSAGE (LN_FLEET), .n_members = n };

  if (!config || n == 0)
    return;
  message.members = lb_memdup (ln_fleet_lists_at (task->lists, 0), n * sizeof (LcFleetMember));
  message.base.clear = clear_fleet;
  LN_POST (task->task.hub, config, message);
}

/* Each instance begins elsewhere, so that no few are named by all. */
static const LcFleetMember *
member_from (const Fleet *task, size_t index)
{
  size_t n = ln_fleet_lists_count (task->lists);

  return ln_fleet_lists_at (task->lists, (ln_context_random_seed (task->context) % n + index) % n);
}

/* Others through which the store can be reached. */
static void
tell_peers (Fleet *task)
{
  LpPlatform *platform = task->context->platform;
  LbName addresses[LP_MAX_PEERS];
  size_t n = 0;

  for (size_t i = 0; i < ln_fleet_lists_count (task->lists) && n < LP_MAX_PEERS; i++)
    {
      const LcFleetMember *member = member_from (task, i);
      if (member->alive && member->row.peer_address[0]
          && strcmp (member->row.name, task->own.name) != 0)
        lb_strlcpy (addresses[n++], member->row.peer_address, LB_NAME_MAX);
    }
  if (platform->klass->set_peers)
    platform->klass->set_peers (platform, addresses, n);
}

static void
on_change (void *user)
{
  publish (user);
  tell_config (user);
  tell_peers (user);
}

static bool
has_duty (const Fleet *task)
{
  for (int duty = 0; duty < LN_N_DUTIES; duty++)
    if (task->duties[duty])
      return true;
  return false;
}

/* Others give this instance no batches while it is cut, so it tells them at once. */
static void
note_reach (Fleet *task, LbTime now)
{
  const LpPlatform *platform = task->context->platform;
  bool cut = !lp_platform_is_reached (platform);

  if (cut == task->own.cut)
    return;
  task->own.cut = cut;
  if (!ln_fleet_lists_has_omitted (task->lists, task->own.name))
    ln_fleet_renewal_write_now (task->renewal, now);
}

/* Told anew only when it has changed by more than answers of the store may vary: each change of a
 * row is read by all. */
static void
note_clock (Fleet *task, LbTime now)
{
  int64_t lead = ln_true_time_own_lead (task->context, now);

  if (task->context->settings->duties.n_kinds == 0 || lead == 0)
    return;
  if (llabs (lead - task->own.clock_lead_ms) > CLOCK_TOLERANCE_MS)
    task->own.clock_lead_ms = lead;
}

static void
on_tick (void *user)
{
  Fleet *task = user;
  LbTime now = lb_clock_monotonic ();

  note_reach (task, now);
  note_clock (task, now);
  const LnFleetListSummary listing
      = { .n_instances = ln_fleet_lists_count (task->lists),
          .is_left_out = ln_fleet_lists_has_omitted (task->lists, task->own.name),
          .has_duty_row = ln_fleet_lists_has_duty_row (task->lists, task->own.name) };
  ln_fleet_renewal_tick (task->renewal, &listing, now);
  ln_ticker_set_idle (ln_context_ticker (task->context),
                      listing.is_left_out && !has_duty (task) && !task->own.draining);
  ln_fleet_lists_tick (task->lists, now);
}

/* --- the addresses that callers are given --- */

static void
add_address (const char **addresses, size_t *n, const char *address)
{
  for (size_t i = 0; i < *n; i++)
    if (strcmp (addresses[i], address) == 0)
      return;
  if (*n < MAX_ENTRY_ADDRESSES)
    addresses[(*n)++] = address;
}

/* Whether callers may be sent there. */
static bool
may_be_named (const LcFleetMember *member)
{
  return member->alive && member->confirmed && member->row.ready && !member->row.draining;
}

/* Of the other instances: those that missed no renewal or all, near ones or far ones. */
static void
add_others (const Fleet *task, bool fresh, bool near, const char **addresses, size_t *n)
{
  for (size_t i = 0; i < ln_fleet_lists_count (task->lists); i++)
    {
      const LcFleetMember *member = member_from (task, i);
      bool is_near = strcmp (member->row.data_centre, task->own.data_centre) == 0;
      if (may_be_named (member) && member->fresh >= fresh && is_near == near
          && strcmp (member->row.name, task->own.name) != 0)
        add_address (addresses, n, member->row.caller_address);
    }
}

/* This instance itself knows best whether it is ready. Only so many are told: those that missed no
 * renewal first, since one that did may be dead, and a caller that connects to it waits for a
 * second; among them near ones first. */
static size_t
choose_addresses (const Fleet *task, const char **addresses)
{
  size_t n = 0;

  if (task->own.ready && !task->own.draining)
    add_address (addresses, &n, task->own.caller_address);
  add_others (task, true, true, addresses, &n);
  add_others (task, true, false, addresses, &n);
  add_others (task, false, true, addresses, &n);
  add_others (task, false, false, addresses, &n);
  return n;
}

static void
answer_entry (Fleet *task, LnExchange *exchange)
{
  const char *addresses[MAX_ENTRY_ADDRESSES];
  size_t n = choose_addresses (task, addresses);
  LbTime ttl = task->context->settings->drain.entry_ttl_ms * LB_MSEC;
  LbError error = { 0 };

  if (n == 0)
    {
      lb_error_set (&error, LB_ERROR_NOT_READY, "", "no instance is known to be ready");
      ln_exchange_reply_error (exchange, &error, RETRY_WITHOUT_ADDRESS);
      return;
    }
  char *text = task->context->dialect->write_entry (addresses, n, ttl);
  ln_exchange_reply_text (exchange, 200, "application/json", text, strlen (text));
  free (text);
}

/* --- calls to the store for others --- */

typedef struct
{
  LnExchange *exchange;
} PeerCall;

static void
on_carried_out (LbErrorCode error, int status, const char *body, size_t length, void *user)
{
  PeerCall *call = user;
  LbError problem = { 0 };

  if (status != 0)
    ln_exchange_reply_text (call->exchange, status, "application/json", body, length);
  else
    {
      /* 503 tells the asker that nothing was done; a status that promises nothing, that it may have
       * been. */
      lb_error_set (&problem,
                    error == LB_ERROR_STORE_AWAY ? LB_ERROR_STORE_AWAY : LB_ERROR_OUTCOME_UNKNOWN,
                    "", "the store did not answer here either");
      ln_exchange_reply_error (call->exchange, &problem, 0);
    }
  free (call);
}

/* Guards against a peer that asks an instance which is cut off as well: it would wait here for a
 * whole deadline, and hears at once instead that it has to ask another one. */
static bool
refuse_when_cut (const LpPlatform *platform, LnExchange *exchange)
{
  LbError error = { 0 };

  if (lp_platform_is_reached (platform))
    return false;
  lb_error_set (&error, LB_ERROR_STORE_AWAY, "", "the store can't be reached from here either");
  ln_exchange_reply_error (exchange, &error, 0);
  return true;
}

static void
carry_out_for_peer (Fleet *task, LnExchange *exchange)
{
  LpPlatform *platform = task->context->platform;
  const char *method = ln_exchange_header (exchange, LP_PEER_METHOD_HEADER);
  const char *path = ln_exchange_header (exchange, LP_PEER_PATH_HEADER);
  PeerCall *call = NULL;
  LbError error = { 0 };
  size_t length;
  const char *body = ln_exchange_body (exchange, &length);

  if (!method || !path || !lh_method_is_known (method) || !platform->klass->carry_out)
    {
      lb_error_set (&error, LB_ERROR_BAD_REQUEST, LP_PEER_PATH_HEADER,
                    "expected a call to the store");
      ln_exchange_reply_error (exchange, &error, 0);
      return;
    }
  if (refuse_when_cut (platform, exchange))
    return;
  call = LB_NEW (PeerCall);
  call->exchange = exchange;
  platform->klass->carry_out (platform, method, path, body, length, on_carried_out, call);
}

static void
take_exchange (Fleet *task, LnExchange *exchange)
{
  if (strcmp (ln_exchange_path (exchange), LP_PEER_PATH) == 0)
    carry_out_for_peer (task, exchange);
  else
    answer_entry (task, exchange);
}

static void
note_duty (Fleet *task, const LnDutyMessage *message, LbTime now)
{
  task->duties[message->duty] = message->held;
  ln_fleet_renewal_set_duty (task->renewal, has_duty (task), now);
}

static void
receive (LnTask *base, const LnMessage *message)
{
  Fleet *task = (Fleet *)base;

  switch ((LnMessageType)message->type)
    {
    case LN_EXCHANGE:
      take_exchange (task, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_DUTY:
      note_duty (task, (const LnDutyMessage *)message, lb_clock_monotonic ());
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
      LB_COPY (task->own.crowded, ((const LnServiceOverloadedMessage *)message)->service);
      break;
    case LN_READY:
      task->own.ready = ((const LnReadyMessage *)message)->ready;
      ln_fleet_renewal_write_now (task->renewal, lb_clock_monotonic ());
      break;
    default:
      break;
    }
}

/* Told at once, so that callers go elsewhere from their next look on. */
static void
drain (LnTask *base)
{
  Fleet *task = (Fleet *)base;

  task->own.draining = true;
  ln_fleet_renewal_write_now (task->renewal, lb_clock_monotonic ());
}

static void
free_task (LnTask *base)
{
  Fleet *task = (Fleet *)base;

  ln_ticker_remove (ln_context_ticker (task->context), &task->tick);
  ln_fleet_renewal_free (task->renewal);
  ln_fleet_lists_free (task->lists);
  free (task);
}

static const LnTaskClass fleet_class
    = { .name = "peers", .receive = receive, .drain = drain, .free = free_task };

LnTask *
ln_fleet_new (LnContext *context)
{
  Fleet *task = LB_NEW (Fleet);

  task->task.klass = &fleet_class;
  task->task.hub = context->hub;
  task->context = context;
  LB_COPY (task->own.name, context->instance);
  LB_COPY (task->own.incarnation, context->incarnation);
  LB_COPY (task->own.data_centre, context->settings->instance.data_centre);
  LB_COPY (task->own.caller_address, context->caller_address);
  LB_COPY (task->own.peer_address, context->peer_address);
  task->own.strength = lc_duty_strength (context->settings->instance.processor_share,
                                         context->settings->instance.link_mbps);
  task->renewal = ln_fleet_renewal_new (context->platform, &task->own);
  task->lists = ln_fleet_lists_new (context->platform, context->instance, on_change, task);
  task->tick = (LnPeriodicCall){ .period = TICK, .callback = on_tick, .user = task };
  ln_ticker_add (ln_context_ticker (context), &task->tick);
  return &task->task;
}
