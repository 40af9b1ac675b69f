#include "lc-endpoint-condition.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Duration of a window of streaming that becomes one observation: shorter than the slowdowns that
 * the median has to exclude, long enough for several tokens. */
#define WINDOW_DURATION (300 * LB_MSEC)
#define MIN_WINDOW_SECONDS 0.2 /* of streaming */
#define MIN_WINDOW_TOKENS 3
/* A window without tokens for longer than this is discarded. */
#define MAX_WINDOW_GAP (1500 * LB_MSEC)
#define MIN_OBSERVATIONS 4 /* for a lasting value */
#define MAX_LASTING_AGE (60 * LB_SEC)
/* Time constant of the decay of the reported slowdown, which changes many times per second. */
#define REPORT_DECAY_SECONDS 0.3
/* A report older than this no longer corrects the time of a request or stream. */
#define MAX_CORRECTING_REPORT_AGE (100 * LB_MSEC)
/* An endpoint is slow if its observed slowdown is at least SLOW_FACTOR, until it is below
 * RECOVERED_FACTOR. */
#define SLOW_FACTOR 1.5
#define RECOVERED_FACTOR 1.25
/* An endpoint that has been slow for a time is expected to stay slow for this multiple of the time,
 * within the bounds. */
#define REMAINING_SLOWDOWN_FACTOR 2
#define MIN_REMAINING_SLOWDOWN (300 * LB_MSEC)
#define MAX_REMAINING_SLOWDOWN (4 * LB_SEC)

static int
compare_floats (const void *a, const void *b)
{
  float x = *(const float *)a;
  float y = *(const float *)b;

  return (x > y) - (x < y);
}

static size_t
count_stored_observations (const LcEndpointCondition *condition)
{
  return condition->n_observations < LC_CONDITION_MAX_OBSERVATIONS
             ? (size_t)condition->n_observations
             : LC_CONDITION_MAX_OBSERVATIONS;
}

/* The median is not changed by slowdowns that affect less than half of the observations. A mean
 * would rise with each of them. */
static double
compute_median_observation (const LcEndpointCondition *condition)
{
  float sorted[LC_CONDITION_MAX_OBSERVATIONS];
  size_t n = count_stored_observations (condition);

  if (n < MIN_OBSERVATIONS)
    return 0;
  memcpy (sorted, condition->observations, n * sizeof *sorted);
  qsort (sorted, n, sizeof *sorted, compare_floats);
  return (double)(sorted[(n - 1) / 2] + sorted[n / 2]) / 2;
}

static void
add_observation (LcEndpointCondition *condition, double seconds, LbTime now)
{
  if (now - condition->observed_at > MAX_LASTING_AGE)
    condition->n_observations = 0;
  condition->observations[condition->n_observations++ % LC_CONDITION_MAX_OBSERVATIONS]
      = (float)seconds;
  condition->observed_at = now;
  condition->lasting_seconds = compute_median_observation (condition);
}

/* Returns the factor by which a duration that ended about now is divided to exclude the reported
 * slowdown; 1 if there is no report of about that time. */
static double
get_correcting_slowdown (const LcEndpointCondition *condition, LbTime now)
{
  if (condition->reported_slowdown <= 0 || now - condition->reported_at > MAX_CORRECTING_REPORT_AGE)
    return 1;
  return condition->reported_slowdown;
}

void
lc_endpoint_condition_add_work_time (LcEndpointCondition *condition,
                                     int64_t percent,
                                     LbTime measured_at)
{
  if (percent <= 0)
    return;
  condition->reported_slowdown = (double)percent / 100;
  condition->reported_at = measured_at;
}

static void
clear_window (LcEndpointCondition *condition)
{
  condition->window_started_at = 0;
  condition->window_seconds = 0;
  condition->window_loaded_seconds = 0;
  condition->window_tokens = 0;
}

static bool
is_window_complete (const LcEndpointCondition *condition, LbTime now)
{
  return now - condition->window_started_at >= WINDOW_DURATION
         && condition->window_loaded_seconds >= MIN_WINDOW_SECONDS
         && condition->window_tokens >= MIN_WINDOW_TOKENS;
}

double
lc_endpoint_condition_add_tokens (
    LcEndpointCondition *condition, int64_t tokens, LbTime interval, double load_factor, LbTime now)
{
  double seconds = (double)interval / LB_SEC / get_correcting_slowdown (condition, now - interval);
  double loaded_token_seconds = 0;

  if (condition->window_started_at > 0
      && now - condition->window_started_at > WINDOW_DURATION + MAX_WINDOW_GAP)
    clear_window (condition);
  if (condition->window_started_at == 0)
    condition->window_started_at = now - interval;
  condition->window_loaded_seconds += seconds;
  condition->window_seconds += seconds / load_factor;
  condition->window_tokens += (double)tokens;
  if (!is_window_complete (condition, now))
    return 0;
  loaded_token_seconds = condition->window_loaded_seconds / condition->window_tokens;
  add_observation (condition, condition->window_seconds / condition->window_tokens, now);
  clear_window (condition);
  return loaded_token_seconds;
}

void
lc_endpoint_condition_set_present_token_seconds (LcEndpointCondition *condition,
                                                 double token_seconds,
                                                 LbTime now)
{
  if (condition->lasting_seconds <= 0 || token_seconds <= 0)
    return;
  condition->observed_slowdown = token_seconds / condition->lasting_seconds;
  condition->slowdown_observed_at = now;
  if (condition->observed_slowdown < RECOVERED_FACTOR)
    condition->slow_since = 0;
  else if (condition->observed_slowdown >= SLOW_FACTOR && condition->slow_since == 0)
    condition->slow_since = now;
}

void
lc_endpoint_condition_add_request (LcEndpointCondition *condition, LbTime took, LbTime now)
{
  add_observation (condition, (double)took / LB_SEC / get_correcting_slowdown (condition, now),
                   now);
}

double
lc_endpoint_condition_lasting_seconds (const LcEndpointCondition *condition, LbTime now)
{
  return now - condition->observed_at > MAX_LASTING_AGE ? 0 : condition->lasting_seconds;
}

LbTime
lc_endpoint_condition_remaining_slowdown (const LcEndpointCondition *condition, LbTime now)
{
  LbTime remaining = 0;

  if (condition->slow_since == 0)
    return 0;
  remaining = REMAINING_SLOWDOWN_FACTOR * (condition->slowdown_observed_at - condition->slow_since);
  if (remaining < MIN_REMAINING_SLOWDOWN)
    remaining = MIN_REMAINING_SLOWDOWN;
  if (remaining > MAX_REMAINING_SLOWDOWN)
    remaining = MAX_REMAINING_SLOWDOWN;
  remaining -= now - condition->slowdown_observed_at;
  return remaining > 0 ? remaining : 0;
}

bool
lc_endpoint_condition_may_be_slowed (const LcEndpointCondition *condition)
{
  return condition->slow_since > 0 || condition->reported_slowdown > 1;
}

double
lc_endpoint_condition_present_slowdown (const LcEndpointCondition *condition, LbTime now)
{
  double age = (double)(now - condition->reported_at) / LB_SEC;

  if (lc_endpoint_condition_remaining_slowdown (condition, now) > 0)
    return fmax (1, condition->observed_slowdown);
  if (condition->reported_slowdown <= 0)
    return 1;
  return 1 + (condition->reported_slowdown - 1) * exp (-fmax (0, age) / REPORT_DECAY_SECONDS);
}

/* While the slowdown lasts, only a part of the work is done, and the rest is done at the lasting
 * pace. */
double
lc_endpoint_condition_stretch_seconds (const LcEndpointCondition *condition,
                                       double seconds,
                                       LbTime now)
{
  double slowdown = lc_endpoint_condition_present_slowdown (condition, now);
  double slow_seconds = (double)lc_endpoint_condition_remaining_slowdown (condition, now) / LB_SEC;

  if (slowdown <= 1)
    return seconds;
  if (slow_seconds <= 0)
    slow_seconds = REPORT_DECAY_SECONDS;
  if (seconds * slowdown <= slow_seconds)
    return seconds * slowdown;
  return seconds + slow_seconds * (1 - 1 / slowdown);
}
