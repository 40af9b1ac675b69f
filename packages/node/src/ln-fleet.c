#include "ln-context.h"

#include "ln-dialect.h"
#include "ln-messages.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lb-time.h"
#include "lc-duty.h"
#include "lc-fleet.h"
#include "lh-fetch.h"
#include "lp-path.h"
#include "lp-platform.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define TICK (100 * LB_MSEC)
/* Batches of an instance that died wait until it is missed, four renewals later. Renewals and lists
 * of all instances together stay within a bounded number of calls a second. */
#define RENEW_PERIOD (500 * LB_MSEC)
/* Of an instance that runs batches or orders weights, which are few: until it is missed its texts
 * stand still, and the longest of a step have a second or two to spare. */
#define DUTY_PERIOD (300 * LB_MSEC)
#define DUTY_FOR (10 * LB_SEC) /* after its last batch: the next step comes soon */
/* Without an answer for so long a renewal goes through another instance, before it is missed. */
#define RENEWAL_TIME (500 * LB_MSEC)
#define RENEW_PERIOD_PER_INSTANCE (8 * LB_MSEC)
#define LIST_PERIOD (250 * LB_MSEC)
#define LIST_PERIOD_PER_INSTANCE (6 * LB_MSEC)
#define MAX_RENEWALS_ON_THEIR_WAY 3
/* Guards against a store that takes so many writes a second in each part: in the unnamed one, to
 * which endpoints and operators write as well, renewals of 84 instances waited for a second, and
 * instances were missed in turn, with the batches and the lease they had. Each part is a list of
 * its own, so there are few: 350 instances write some 40 rows a second to each. */
#define N_PARTS 4
#define TABLE "instance"
#define MAX_ENTRY_ADDRESSES 64
#define RETRY_WITHOUT_ADDRESS (300 * LB_MSEC)

/* Instances of a shared platform and the addresses that callers are given. Runs as the task
 * "peers". */
typedef struct
{
  LnTask task; /* first */
  LnContext *context;
  struct event *timer;
  LcFleet *fleet;
  LcFleetRow own;
  int renewing; /* renewals on their way */
  LbTime next_renewal;
  bool duties[LN_N_DUTIES];
  LbTime duty_until; /* counts as having one until then */
  int lists_waiting; /* parts that were asked for and did not answer */
  bool list_begun;
  bool list_failed;
  LbTime listed_at; /* when the list on its way was asked */
  LbTime next_list;
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

  message.n_members = lc_fleet_count (task->fleet);
  message.members = LB_NEW_ARRAY (LnMember, message.n_members + 1);
  message.base.clear = clear_members;
  for (size_t i = 0; i < message.n_members; i++)
    {
      const LcFleetMember *known = lc_fleet_at (task->fleet, i);
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
      member->is_self = strcmp (known->row.name, task->context->instance) == 0;
    }
  LN_POST (task->task.hub, NULL, message);
}

/* Others through which the store can be reached. */
static void
tell_peers (Fleet *task)
{
  LpPlatform *platform = task->context->platform;
  LbName addresses[LP_MAX_PEERS];
  size_t n = 0;

  for (size_t i = 0; i < lc_fleet_count (task->fleet) && n < LP_MAX_PEERS; i++)
    {
      const LcFleetMember *member = lc_fleet_at (task->fleet, i);
      if (member->alive && member->row.peer_address[0]
          && strcmp (member->row.name, task->own.name) != 0)
        lb_strlcpy (addresses[n++], member->row.peer_address, LB_NAME_MAX);
    }
  if (platform->klass->set_peers)
    platform->klass->set_peers (platform, addresses, n);
}

static LbTime
list_period (const Fleet *task)
{
  return lb_time_later (LIST_PERIOD,
                        (LbTime)lc_fleet_count (task->fleet) * LIST_PERIOD_PER_INSTANCE);
}

static void
add_rows (Fleet *task, const LpRow *rows, size_t n_rows, LbTime now)
{
  for (size_t i = 0; i < n_rows; i++)
    {
      struct json_object *object = json_tokener_parse (rows[i].value);
      LcFleetRow row;
      if (object && lc_fleet_row_from_json (object, &row))
        lc_fleet_add (task->fleet, &row, rows[i].version, now);
      else
        lb_log (LB_LOG_WARNING, "instance_row_unreadable", LB_TEXT ("key", rows[i].key));
      json_object_put (object);
    }
}

static void
end_list (Fleet *task, LbTime now)
{
  if (!lc_fleet_end (task->fleet, now))
    return;
  publish (task);
  tell_peers (task);
}

/* Only all parts together tell who is there; when one is missing the others count with the next
 * list. */
static void
on_list (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  Fleet *task = user;
  LbTime now = lb_clock_monotonic ();
  const LcFleetList list
      = { .at = now, .took = now - task->listed_at, .period = list_period (task) };

  task->lists_waiting--;
  task->list_failed |= error != LB_OK;
  if (task->list_failed)
    return;
  if (!task->list_begun)
    lc_fleet_begin (task->fleet, &list);
  task->list_begun = true;
  add_rows (task, rows, n_rows, now);
  if (task->lists_waiting == 0)
    end_list (task, now);
}

static void
list_all (Fleet *task, LbTime now)
{
  LpPlatform *platform = task->context->platform;
  char prefix[sizeof TABLE + 8];

  task->lists_waiting = N_PARTS;
  task->list_failed = false;
  task->list_begun = false;
  task->listed_at = now;
  task->next_list = now + list_period (task);
  for (int part = 0; part < N_PARTS; part++)
    {
      snprintf (prefix, sizeof prefix, TABLE "/%d/", part);
      platform->klass->list (platform, prefix, NULL, 0, on_list, task);
    }
}

static void
own_key (const Fleet *task, char *key, size_t size)
{
  uint64_t hash = XXH3_64bits (task->own.name, strlen (task->own.name));

  snprintf (key, size, TABLE "/%d/%s", (int)(hash % N_PARTS), task->own.name);
}

/* A renewal whose answer was lost holds up no later one: they may come in any order, since each
 * only shows that this instance lives. */
static void
on_renewed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  Fleet *task = user;

  task->renewing--;
  if (error != LB_OK)
    lb_log (LB_LOG_DEBUG, "instance_not_renewed", LB_TEXT ("error", lb_error_name (error)));
}

static bool
has_duty (const Fleet *task)
{
  for (int duty = 0; duty < LN_N_DUTIES; duty++)
    if (task->duties[duty])
      return true;
  return false;
}

static LbTime
renew_period (const Fleet *task, LbTime now)
{
  LbTime n = (LbTime)lc_fleet_count (task->fleet);

  return has_duty (task) || now < task->duty_until
             ? DUTY_PERIOD
             : lb_time_later (RENEW_PERIOD, n * RENEW_PERIOD_PER_INSTANCE);
}

static void
renew (Fleet *task, LbTime now)
{
  LpPlatform *platform = task->context->platform;
  struct json_object *object = NULL;
  char key[LB_NAME_MAX + sizeof TABLE + 8];

  if (task->renewing >= MAX_RENEWALS_ON_THEIR_WAY)
    return;
  task->renewing++;
  task->own.period = renew_period (task, now);
  task->next_renewal = now + task->own.period;
  task->own.renewals++;
  object = lc_fleet_row_to_json (&task->own);
  own_key (task, key, sizeof key);
  const LpPut put = { .key = key, .value = json_object_to_json_string (object) };
  const LpTransaction transaction
      = { .token = "", .puts = &put, .n_puts = 1, .time = RENEWAL_TIME };
  platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_renewed, task);
  json_object_put (object);
}

/* Others give this instance no batches while it is cut, so it tells them at once. */
static void
note_reach (Fleet *task, LbTime now)
{
  const LpPlatform *platform = task->context->platform;
  bool cut = platform->klass->is_reached && !platform->klass->is_reached (platform);

  if (cut == task->own.cut)
    return;
  task->own.cut = cut;
  task->next_renewal = now;
}

static void
on_tick (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Fleet *task = user;
  LbTime now = lb_clock_monotonic ();

  note_reach (task, now);
  if (now >= task->next_renewal)
    renew (task, now);
  if (task->lists_waiting == 0 && now >= task->next_list)
    list_all (task, now);
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

/* This instance itself knows best whether it is ready; near ones come first, since only so many are
 * told. */
static size_t
choose_addresses (const Fleet *task, const char **addresses)
{
  size_t n = 0;

  if (task->own.ready && !task->own.draining)
    add_address (addresses, &n, task->own.caller_address);
  for (int near = 1; near >= 0; near--)
    for (size_t i = 0; i < lc_fleet_count (task->fleet); i++)
      {
        const LcFleetMember *member = lc_fleet_at (task->fleet, i);
        bool is_near = strcmp (member->row.data_centre, task->own.data_centre) == 0;
        if (member->alive && member->row.ready && !member->row.draining && is_near == (near == 1)
            && strcmp (member->row.name, task->own.name) != 0)
          add_address (addresses, &n, member->row.caller_address);
      }
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

  if (!platform->klass->is_reached || platform->klass->is_reached (platform))
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

/* Told at once: the others go by the period that the row names. */
static void
note_duty (Fleet *task, const LnDutyMessage *message, LbTime now)
{
  task->duties[message->duty] = message->held;
  task->duty_until = now + DUTY_FOR;
  if (message->held)
    renew (task, now);
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
    case LN_READY:
      task->own.ready = ((const LnReadyMessage *)message)->ready;
      renew (task, lb_clock_monotonic ());
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
  renew (task, lb_clock_monotonic ());
}

static void
free_task (LnTask *base)
{
  Fleet *task = (Fleet *)base;

  event_free (task->timer);
  lc_fleet_free (task->fleet);
  free (task);
}

static const LnTaskClass fleet_class
    = { .name = "peers", .receive = receive, .drain = drain, .free = free_task };

LnTask *
ln_fleet_new (LnContext *context)
{
  const struct timeval tick = { .tv_usec = TICK };
  Fleet *task = LB_NEW (Fleet);

  task->task.klass = &fleet_class;
  task->task.hub = context->hub;
  task->context = context;
  task->fleet = lc_fleet_new (context->instance);
  LB_COPY (task->own.name, context->instance);
  LB_COPY (task->own.incarnation, context->incarnation);
  LB_COPY (task->own.data_centre, context->settings->instance.data_centre);
  LB_COPY (task->own.caller_address, context->caller_address);
  LB_COPY (task->own.peer_address, context->peer_address);
  task->own.strength = lc_duty_strength (context->settings->instance.processor_share,
                                         context->settings->instance.link_mbps);
  task->timer = event_new (context->base, -1, EV_PERSIST, on_tick, task);
  event_add (task->timer, &tick);
  event_active (task->timer, EV_TIMEOUT, 0);
  return &task->task;
}
