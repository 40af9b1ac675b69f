#include "ln-fleet-renewal.h"

#include "ln-fleet-lists.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-time.h"
#include "lp-platform.h"

#include <json-c/json.h>
#include <stdlib.h>

/* Renewals and lists of all instances together stay within a bounded number of calls a second. */
#define RENEW_PERIOD (500 * LB_MSEC)
#define RENEW_PERIOD_PER_INSTANCE (8 * LB_MSEC)
/* Of an instance that nobody lists. */
#define LEFT_OUT_PERIOD (10 * LB_SEC)
/* Of an instance on duty, of which there are few: until it is missed its texts stand still, and the
 * longest of a step have a second or two to spare. */
#define DUTY_PERIOD (300 * LB_MSEC)
#define DUTY_FOR (10 * LB_SEC) /* after its last batch: the next step comes soon */
/* Without an answer for so long a renewal goes through another instance, before it is missed. */
#define RENEWAL_TIME (500 * LB_MSEC)
#define MAX_RENEWALS_ON_THEIR_WAY 4

struct LnFleetRenewal
{
  LpPlatform *platform;
  LcFleetRow *row;
  int on_their_way;
  LbTime next; /* of the row that each instance has */
  LbTime next_on_duty;
  LbTime period; /* of the row that each instance has */
  bool has_duty;
  LbTime duty_until;     /* counts as having one until then */
  bool has_duty_row;     /* it may stand in the store */
  bool removes_duty_row; /* the removal is on its way */
};

LnFleetRenewal *
ln_fleet_renewal_new (LpPlatform *platform, LcFleetRow *row)
{
  LnFleetRenewal *renewal = LB_NEW (LnFleetRenewal);

  renewal->platform = platform;
  renewal->row = row;
  renewal->period = RENEW_PERIOD;
  return renewal;
}

void
ln_fleet_renewal_free (LnFleetRenewal *renewal)
{
  free (renewal);
}

static bool
is_on_duty (const LnFleetRenewal *renewal, LbTime now)
{
  return renewal->has_duty || now < renewal->duty_until;
}

static void
write_row (LnFleetRenewal *renewal, bool on_duty, const char *value, LpTransactDone done)
{
  char key[LN_FLEET_KEY_SIZE];
  const LpPut put = { .key = key, .value = value };
  const LpTransaction transaction
      = { .token = "", .puts = &put, .n_puts = 1, .time = RENEWAL_TIME };

  ln_fleet_row_key (renewal->row, on_duty, key);
  renewal->platform->klass->transact (renewal->platform, &transaction, LP_PRIORITY_STATUS, done,
                                      renewal);
}

/* A renewal whose answer was lost holds up no later one: they may come in any order, since each
 * only shows that this instance lives. */
static void
on_renewed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnFleetRenewal *renewal = user;

  renewal->on_their_way--;
  if (error != LB_OK)
    lb_log (LB_LOG_DEBUG, "instance_not_renewed", LB_TEXT ("error", lb_error_name (error)));
}

static void
renew_row (LnFleetRenewal *renewal, bool on_duty, LbTime period, LbTime now)
{
  struct json_object *object = NULL;

  if (renewal->on_their_way >= MAX_RENEWALS_ON_THEIR_WAY)
    return;
  renewal->on_their_way++;
  renewal->row->period = period;
  renewal->row->renewed_ms = lp_platform_store_ms_at (renewal->platform, now);
  object = lc_fleet_row_to_json (renewal->row);
  write_row (renewal, on_duty, json_object_to_json_string (object), on_renewed);
  json_object_put (object);
}

static void
renew (LnFleetRenewal *renewal, LbTime now)
{
  renewal->next = now + renewal->period;
  renew_row (renewal, false, renewal->period, now);
}

static void
renew_on_duty (LnFleetRenewal *renewal, LbTime now)
{
  renewal->next_on_duty = now + DUTY_PERIOD;
  renewal->has_duty_row = true;
  renew_row (renewal, true, DUTY_PERIOD, now);
}

static void
on_duty_row_removed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnFleetRenewal *renewal = user;

  renewal->removes_duty_row = false;
  if (error == LB_OK)
    renewal->has_duty_row = false;
  else
    lb_log (LB_LOG_DEBUG, "duty_row_not_removed", LB_TEXT ("error", lb_error_name (error)));
}

/* Guards against an instance that is taken for dead after its last duty: the row stands still while
 * it still goes before the other one. So its removal is asked again until the store has confirmed
 * it, and when the row is listed after that: a renewal without an answer may be carried out late,
 * and an instance that was killed leaves its row to its next start. */
static void
remove_duty_row (LnFleetRenewal *renewal, LbTime now)
{
  renewal->next_on_duty = now + DUTY_PERIOD;
  renewal->removes_duty_row = true;
  write_row (renewal, true, NULL, on_duty_row_removed);
}

static LbTime
period_of (const LnFleetListSummary *listing)
{
  if (listing->is_left_out)
    return LEFT_OUT_PERIOD;
  return lb_time_later (RENEW_PERIOD, (LbTime)listing->n_instances * RENEW_PERIOD_PER_INSTANCE);
}

void
ln_fleet_renewal_tick (LnFleetRenewal *renewal, const LnFleetListSummary *listing, LbTime now)
{
  LbTime period = period_of (listing);

  renewal->has_duty_row |= listing->has_duty_row;
  /* An instance that has just got a place shows at once that it lives. */
  if (period < renewal->period && renewal->next > now + period)
    renewal->next = now + period;
  renewal->period = period;
  if (now >= renewal->next)
    renew (renewal, now);
  if (now < renewal->next_on_duty || renewal->removes_duty_row)
    return;
  if (is_on_duty (renewal, now))
    renew_on_duty (renewal, now);
  else if (renewal->has_duty_row && renewal->on_their_way == 0)
    remove_duty_row (renewal, now);
}

void
ln_fleet_renewal_write_now (LnFleetRenewal *renewal, LbTime now)
{
  renew (renewal, now);
  if (is_on_duty (renewal, now) && !renewal->removes_duty_row)
    renew_on_duty (renewal, now);
}

void
ln_fleet_renewal_set_duty (LnFleetRenewal *renewal, bool has_duty, LbTime now)
{
  renewal->has_duty = has_duty;
  renewal->duty_until = now + DUTY_FOR;
  if (has_duty && !renewal->removes_duty_row)
    renew_on_duty (renewal, now);
}
