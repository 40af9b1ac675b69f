#include "ln-fleet-renewal.h"

#include "ln-fleet-lists.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-time.h"
#include "lp-platform.h"

#include <json-c/json.h>
#include <stdlib.h>

/* The time between two renewals of an instance's row grows with the number of instances, as the
 * time between two lists does. This bounds the rate of renewals and lists of all instances
 * together. */
#define MIN_RENEW_PERIOD (500 * LB_MSEC)
#define RENEW_PERIOD_PER_INSTANCE (8 * LB_MSEC)
/* Renewal period of an instance that the full directory omits, since no instance lists its row. */
#define OMITTED_RENEW_PERIOD (10 * LB_SEC)
/* Renewal period of instances on duty, of which there are few. Until the death of such an instance
 * is detected, its samples make no progress, and the longest samples of a training step have only a
 * second or two to spare. */
#define DUTY_RENEW_PERIOD (300 * LB_MSEC)
/* An instance still counts as on duty for this time after its last duty ended, because the next
 * training step follows soon. */
#define DUTY_LINGER_TIME (10 * LB_SEC)
/* A renewal without an answer for this time is sent through another instance, early enough that no
 * renewal counts as missed. */
#define RENEWAL_TIMEOUT (500 * LB_MSEC)
#define MAX_RENEWALS_IN_FLIGHT 4

struct LnFleetRenewal
{
  LpPlatform *platform;
  LcFleetRow *row;
  int n_in_flight;             /* number of sent renewals that the store has not answered yet */
  LbTime next_renewal_at;      /* when the directory row is renewed next */
  LbTime next_duty_renewal_at; /* when the duty row is renewed next */
  LbTime period;               /* time between two renewals of the directory row */
  bool has_duty;
  LbTime duty_until;         /* without a duty, the instance counts as on duty until this time */
  bool may_have_duty_row;    /* the store may contain this instance's duty row */
  bool is_removing_duty_row; /* the removal of the duty row is in progress */
};

LnFleetRenewal *
ln_fleet_renewal_new (LpPlatform *platform, LcFleetRow *row)
{
  LnFleetRenewal *renewal = LB_NEW (LnFleetRenewal);

  renewal->platform = platform;
  renewal->row = row;
  renewal->period = MIN_RENEW_PERIOD;
  return renewal;
}

void
ln_fleet_renewal_free (LnFleetRenewal *renewal)
{
  free (renewal);
}

static bool
is_instance_on_duty (const LnFleetRenewal *renewal, LbTime now)
{
  return renewal->has_duty || now < renewal->duty_until;
}

static void
write_instance_row (LnFleetRenewal *renewal, bool on_duty, const char *value, LpTransactDone done)
{
  char key[LN_FLEET_KEY_SIZE];
  const LpPut put = { .key = key, .value = value };
  const LpTransaction transaction
      = { .token = "", .puts = &put, .n_puts = 1, .timeout = RENEWAL_TIMEOUT };

  ln_fleet_row_format_key (renewal->row, on_duty, key);
  renewal->platform->klass->transact (renewal->platform, &transaction, LP_PRIORITY_LEASE, done,
                                      renewal);
}

/* A renewal does not wait for the answer to an earlier one, which may be lost. The store may apply
 * renewals in any order, since each only shows that this instance is alive. */
static void
on_renewal_answered (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnFleetRenewal *renewal = user;

  renewal->n_in_flight--;
  if (error != LB_OK)
    lb_log (LB_LOG_DEBUG, "instance_not_renewed", LB_TEXT ("error", lb_error_name (error)));
}

static void
renew_instance_row (LnFleetRenewal *renewal, bool on_duty, LbTime period, LbTime now)
{
  struct json_object *object = NULL;

  if (renewal->n_in_flight >= MAX_RENEWALS_IN_FLIGHT)
    return;
  renewal->n_in_flight++;
  renewal->row->period = period;
  renewal->row->renewed_ms = lp_platform_get_store_clock_ms_at (renewal->platform, now);
  object = lc_fleet_row_to_json (renewal->row);
  write_instance_row (renewal, on_duty, json_object_to_json_string (object), on_renewal_answered);
  json_object_put (object);
}

static void
renew_directory_row (LnFleetRenewal *renewal, LbTime now)
{
  renewal->next_renewal_at = now + renewal->period;
  renew_instance_row (renewal, false, renewal->period, now);
}

static void
renew_duty_row (LnFleetRenewal *renewal, LbTime now)
{
  renewal->next_duty_renewal_at = now + DUTY_RENEW_PERIOD;
  renewal->may_have_duty_row = true;
  renew_instance_row (renewal, true, DUTY_RENEW_PERIOD, now);
}

static void
on_duty_row_removed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnFleetRenewal *renewal = user;

  renewal->is_removing_duty_row = false;
  if (error == LB_OK)
    renewal->may_have_duty_row = false;
  else
    lb_log (LB_LOG_DEBUG, "duty_row_not_removed", LB_TEXT ("error", lb_error_name (error)));
}

/* The duty row takes precedence over the directory row, so a stale duty row would make this
 * instance count as dead after its last duty. The removal is retried until the store confirms it,
 * and repeated if the row is listed afterwards: an unanswered renewal may be applied late, and a
 * killed instance leaves its duty row to its next incarnation. */
static void
remove_duty_row (LnFleetRenewal *renewal, LbTime now)
{
  renewal->next_duty_renewal_at = now + DUTY_RENEW_PERIOD;
  renewal->is_removing_duty_row = true;
  write_instance_row (renewal, true, NULL, on_duty_row_removed);
}

static LbTime
get_directory_renewal_period (const LnFleetListSummary *summary)
{
  if (summary->is_omitted)
    return OMITTED_RENEW_PERIOD;
  return lb_time_later (MIN_RENEW_PERIOD, (LbTime)summary->n_instances * RENEW_PERIOD_PER_INSTANCE);
}

void
ln_fleet_renewal_tick (LnFleetRenewal *renewal, const LnFleetListSummary *summary, LbTime now)
{
  LbTime period = get_directory_renewal_period (summary);

  renewal->may_have_duty_row |= summary->has_duty_row;
  /* A period that becomes shorter, as on an instance just added to the directory, applies to the
   * next renewal. */
  if (period < renewal->period && renewal->next_renewal_at > now + period)
    renewal->next_renewal_at = now + period;
  renewal->period = period;
  if (now >= renewal->next_renewal_at)
    renew_directory_row (renewal, now);
  if (now < renewal->next_duty_renewal_at || renewal->is_removing_duty_row)
    return;
  if (is_instance_on_duty (renewal, now))
    renew_duty_row (renewal, now);
  else if (renewal->may_have_duty_row && renewal->n_in_flight == 0)
    remove_duty_row (renewal, now);
}

void
ln_fleet_renewal_write_row_now (LnFleetRenewal *renewal, LbTime now)
{
  renew_directory_row (renewal, now);
  if (is_instance_on_duty (renewal, now) && !renewal->is_removing_duty_row)
    renew_duty_row (renewal, now);
}

void
ln_fleet_renewal_set_duty (LnFleetRenewal *renewal, bool has_duty, LbTime now)
{
  renewal->has_duty = has_duty;
  renewal->duty_until = now + DUTY_LINGER_TIME;
  if (has_duty && !renewal->is_removing_duty_row)
    renew_duty_row (renewal, now);
}
