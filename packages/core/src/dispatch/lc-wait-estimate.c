#include "lc-wait-estimate.h"

#include <math.h>

/* Time in which the weight of an ended attempt falls to 37 %: short enough to follow endpoints that
 * are slow for half a second. */
#define DECAY_SECONDS 1.0
/* Number of attempts, in addition to those running, that may fail to end before the rate is taken
 * to be lower than the average suggests. */
#define MAX_LATE_ATTEMPTS 4
/* Shortest delay for a caller. A retry that is refused costs an instance about as much as the first
 * refusal. */
#define MIN_RETRY_AFTER (50 * LB_MSEC)
#define MAX_RETRY_AFTER (10 * LB_SEC)
/* A caller whose delay is at most its remaining time divided by this can retry twice before its
 * deadline. */
#define TIME_LEFT_DIVISOR 3
/* Delays of callers that are sent elsewhere, as parts of the longest useful delay. They are spread,
 * and leave time for the reply to arrive before the caller compares the delay with its time left.
 */
#define MIN_PART_OF_USEFUL_DELAY 0.5
#define MAX_PART_OF_USEFUL_DELAY 0.9
/* Number of refused callers that may be sent to other instances beyond the number of calls
 * answered. Covers the calls of a few seconds at an instance of a large fleet whose own endpoints
 * don't answer. Bounds the load of a storm that reaches all instances. */
#define MAX_SENT_ELSEWHERE 16

void
lc_wait_estimate_record_start (LcWaitEstimate *estimate, LcRequestKind kind, LbTime now)
{
  int64_t n_running = 0;

  for (int i = 0; i < LC_N_KINDS; i++)
    n_running += estimate->running[i];
  if (n_running == 0)
    estimate->last_progress_at = now;
  estimate->running[kind]++;
}

void
lc_wait_estimate_record_end (
    LcWaitEstimate *estimate, LcRequestKind kind, LbTime duration, int64_t tokens, LbTime now)
{
  LcEndedAttempts *ended = &estimate->ended[kind];
  double age = (double)(now - ended->updated_at) / LB_SEC;
  double kept = exp (-age / DECAY_SECONDS);

  estimate->running[kind]--;
  if (duration <= 0)
    return;
  estimate->last_progress_at = now;
  ended->updated_at = now;
  ended->weight = ended->weight * kept + 1;
  ended->seconds = ended->seconds * kept + (double)duration / LB_SEC;
  ended->tokens = ended->tokens * kept + (double)tokens;
}

typedef struct
{
  double attempts_per_second; /* 0: not known */
  double usual;               /* attempts per second without the bound by stall_time */
  /* time since an attempt last ended, if it bounds attempts_per_second; otherwise 0 */
  LbTime stall_time;
} Rate;

/* Estimates how many attempts end per second: the number running over their mean duration (Little's
 * law). If attempts end later than this, for example because the endpoints have stopped answering,
 * the rate is bounded by what has been observed since the last end. */
static Rate
estimate_rate (const LcWaitEstimate *estimate, LbTime now)
{
  double stall_seconds = (double)(now - estimate->last_progress_at) / LB_SEC;
  double rate = 0;
  int64_t n_running = 0;

  for (int kind = 0; kind < LC_N_KINDS; kind++)
    {
      const LcEndedAttempts *ended = &estimate->ended[kind];
      n_running += estimate->running[kind];
      if (ended->weight > 0 && ended->seconds > 0)
        rate += (double)estimate->running[kind] * ended->weight / ended->seconds;
    }
  if (rate * stall_seconds <= (double)(n_running + MAX_LATE_ATTEMPTS))
    return (Rate){ .attempts_per_second = rate, .usual = rate };
  return (Rate){ .attempts_per_second = (double)(n_running + MAX_LATE_ATTEMPTS) / stall_seconds,
                 .usual = rate,
                 .stall_time = now - estimate->last_progress_at };
}

/* A request that is shorter than usual takes a part of the mean duration. A request of unknown
 * length may be short, so its service time counts as unknown. */
LbTime
lc_wait_estimate_service_time (const LcWaitEstimate *estimate,
                               LcRequestKind kind,
                               int64_t expected_tokens)
{
  const LcEndedAttempts *ended = &estimate->ended[kind];
  double relative_length = 1;

  if (ended->weight <= 0 || expected_tokens <= 0)
    return 0;
  if (ended->tokens > 0)
    relative_length = (double)expected_tokens * ended->weight / ended->tokens;
  if (relative_length > 1)
    relative_length = 1;
  return (LbTime)(ended->seconds / ended->weight * relative_length * LB_SEC);
}

/* Returns the number of attempts that ended in the last second. After a pause of the endpoints,
 * their mean duration includes the pause, so that the estimated rate is too low for some time. */
static double
count_recent_ends (const LcWaitEstimate *estimate, LbTime now)
{
  double n = 0;

  for (int kind = 0; kind < LC_N_KINDS; kind++)
    {
      const LcEndedAttempts *ended = &estimate->ended[kind];
      n += ended->weight * exp (-(double)(now - ended->updated_at) / LB_SEC / DECAY_SECONDS);
    }
  return n / DECAY_SECONDS;
}

static Rate
raise_rate (Rate rate, double minimum)
{
  if (rate.attempts_per_second > 0 && rate.attempts_per_second < minimum)
    rate.attempts_per_second = minimum;
  if (rate.usual > 0 && rate.usual < minimum)
    rate.usual = minimum;
  return rate;
}

/* Endpoints that have stopped answering are expected to need as long again until they answer, since
 * nothing shows that they will answer earlier, and then to answer at their usual rate: calls must
 * not be refused because of a short pause. */
static LbTime
estimate_wait (const Rate *rate, double n_ahead)
{
  double stall_seconds = (double)rate->stall_time / LB_SEC;
  double seconds = n_ahead / rate->attempts_per_second;
  double seconds_after_pause = stall_seconds + n_ahead / rate->usual;

  if (rate->stall_time > 0 && seconds > seconds_after_pause)
    seconds = seconds_after_pause;
  if (seconds < stall_seconds)
    seconds = stall_seconds;
  return seconds < (double)INT32_MAX ? (LbTime)(seconds * LB_SEC) : INT32_MAX * LB_SEC;
}

/* Only a request that others wait before is judged by its service time. If none waits, the request
 * is sent as soon as a slot is free, and its result shows whether the endpoints have recovered. */
LcWaitDecision
lc_wait_estimate_decide (const LcWaitEstimate *estimate, const LcWaitQuery *query, LbTime now)
{
  Rate rate = estimate_rate (estimate, now);

  if (query->is_admitted)
    rate = raise_rate (rate, count_recent_ends (estimate, now));

  LcWaitDecision decision = { .is_in_time = true,
                              .n_ahead = query->n_ahead,
                              .rate = rate.attempts_per_second,
                              .time_left = query->time_to_end };

  if (decision.rate <= 0 || query->n_ahead <= 0)
    return decision;
  decision.wait = estimate_wait (&rate, query->n_ahead);
  if (query->time_to_end != LB_TIME_NEVER)
    decision.service
        = lc_wait_estimate_service_time (estimate, query->kind, query->expected_tokens);
  decision.is_in_time
      = (query->time_to_start == LB_TIME_NEVER || decision.wait < query->time_to_start)
        && (query->time_to_end == LB_TIME_NEVER
            || decision.wait + decision.service < query->time_to_end);
  return decision;
}

LbTime
lc_wait_estimate_max_retry_after (LbTime time_left)
{
  LbTime limit = time_left == LB_TIME_NEVER ? MAX_RETRY_AFTER : time_left / TIME_LEFT_DIVISOR;

  if (limit > MAX_RETRY_AFTER)
    limit = MAX_RETRY_AFTER;
  return limit < MIN_RETRY_AFTER ? MIN_RETRY_AFTER : limit;
}

void
lc_wait_estimate_record_answer (LcWaitEstimate *estimate)
{
  if (estimate->n_sent_elsewhere > 0)
    estimate->n_sent_elsewhere--;
}

/* An instance sees only its own queue and its own endpoint states, and a caller that retries
 * connects to another instance. If only this instance is slow, the caller is served there by its
 * deadline. If all are overloaded, it is refused again; so the number sent is bounded by the number
 * answered, and refused callers add at most as many submissions as there are answers. */
LbTime
lc_wait_estimate_send_elsewhere (LcWaitEstimate *estimate,
                                 const LcWaitDecision *decision,
                                 double random)
{
  LbTime limit = lc_wait_estimate_max_retry_after (decision->time_left);
  double part
      = MIN_PART_OF_USEFUL_DELAY + random * (MAX_PART_OF_USEFUL_DELAY - MIN_PART_OF_USEFUL_DELAY);
  LbTime delay = (LbTime)(part * (double)limit);

  if (decision->time_left == LB_TIME_NEVER || limit * TIME_LEFT_DIVISOR > decision->time_left
      || delay + decision->service >= decision->time_left
      || estimate->n_sent_elsewhere >= MAX_SENT_ELSEWHERE)
    return 0;
  estimate->n_sent_elsewhere++;
  return delay > MIN_RETRY_AFTER ? delay : MIN_RETRY_AFTER;
}

/* Returns the delay of a caller that can't be served by its deadline: it should retry with a new
 * deadline. If it retried before, retries would outnumber first requests, and none of them would be
 * served. */
static LbTime
choose_retry_after_deadline (const LcWaitDecision *decision, LbTime limit, double random)
{
  LbTime delay = decision->time_left == LB_TIME_NEVER ? limit / 2 : decision->time_left;

  if (delay < MIN_RETRY_AFTER)
    delay = MIN_RETRY_AFTER;
  if (delay > MAX_RETRY_AFTER)
    delay = MAX_RETRY_AFTER;
  return delay + (LbTime)(random * (double)delay / 2);
}

/* A caller can be served once the requests ahead have become fewer by as many as are too many for
 * its deadline. Each refused caller is told to retry one slot later than the previous one, at most
 * a third of its time later. */
LbTime
lc_wait_estimate_reserve_retry (LcWaitEstimate *estimate,
                                const LcWaitDecision *decision,
                                double random,
                                LbTime now)
{
  LbTime limit = lc_wait_estimate_max_retry_after (decision->time_left);
  LbTime earliest = decision->wait + decision->service;

  if (decision->time_left != LB_TIME_NEVER)
    earliest -= decision->time_left;
  if (earliest < MIN_RETRY_AFTER)
    earliest = MIN_RETRY_AFTER;
  LbTime retry_at
      = now + earliest > estimate->next_retry_at ? now + earliest : estimate->next_retry_at;
  bool is_too_late = decision->time_left != LB_TIME_NEVER
                     && retry_at - now + decision->service >= decision->time_left;
  if (decision->rate <= 0 || retry_at - now > limit || is_too_late)
    {
      LbTime delay = lc_wait_estimate_send_elsewhere (estimate, decision, random);
      return delay > 0 ? delay : choose_retry_after_deadline (decision, limit, random);
    }
  estimate->next_retry_at = retry_at + (LbTime)(LB_SEC / decision->rate);
  return retry_at - now;
}
