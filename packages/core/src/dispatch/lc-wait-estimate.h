#ifndef LC_WAIT_ESTIMATE_H
#define LC_WAIT_ESTIMATE_H

#include "lc-types.h"

/* Estimates, for one pool of endpoints, how long a new request would wait and run, decides whether
 * it can be served by its deadline, and computes when a refused caller should retry. All estimates
 * come from observed attempts; while nothing has been observed, nothing is refused. */

/* Decaying averages of the attempts of one kind that ended. */
typedef struct
{
  double weight; /* decayed number of attempts; 0: none has ended */
  double seconds;
  double tokens; /* sum of the expected lengths of the requests */
  LbTime updated_at;
} LcEndedAttempts;

typedef struct
{
  LcEndedAttempts ended[LC_N_KINDS];
  int64_t running[LC_N_KINDS]; /* number of running attempts */
  /* when an attempt last ended, or when one started while none was running */
  LbTime last_progress_at;
  LbTime next_retry_at; /* earliest time at which the next refused caller should retry */
  /* number of refused callers that were sent to other instances, less the calls answered since */
  int n_sent_elsewhere;
} LcWaitEstimate;

typedef struct
{
  LcRequestKind kind;
  double n_ahead;          /* number of waiting requests that are sent before this one */
  int64_t expected_tokens; /* expected length of the answer; 0: unknown */
  bool is_admitted;        /* the request was admitted before, and is checked again */
  LbTime time_to_start;    /* time until the latest start; LB_TIME_NEVER: no limit */
  LbTime time_to_end;      /* time until the answer is due; LB_TIME_NEVER: no limit */
} LcWaitQuery;

/* A decision and the inputs that determined it. */
typedef struct
{
  bool is_in_time;
  double n_ahead;
  double rate;      /* attempts expected to end per second; 0: not known */
  LbTime wait;      /* expected wait; 0: none or not known */
  LbTime service;   /* expected time from start to end; 0: not known */
  LbTime time_left; /* time that the caller has; LB_TIME_NEVER: no limit */
} LcWaitDecision;

/* Functions that record attempts. */
void lc_wait_estimate_record_start (LcWaitEstimate *estimate, LcRequestKind kind, LbTime now);
/* duration: from sending the attempt to its end; 0 if the endpoint did not run it. tokens: expected
 * length of the request's answer; 0: unknown. */
void lc_wait_estimate_record_end (
    LcWaitEstimate *estimate, LcRequestKind kind, LbTime duration, int64_t tokens, LbTime now);

/* Records that a call was answered, after which one more caller may be sent to another instance. */
void lc_wait_estimate_record_answer (LcWaitEstimate *estimate);

LcWaitDecision
lc_wait_estimate_decide (const LcWaitEstimate *estimate, const LcWaitQuery *query, LbTime now);
/* Returns the expected time from the start of a request to its end; 0: not known. */
LbTime lc_wait_estimate_service_time (const LcWaitEstimate *estimate,
                                      LcRequestKind kind,
                                      int64_t expected_tokens);
/* Returns the delay after which the refused caller should retry, and reserves that time, so that
 * callers retry no faster than slots become free. random: uniform in [0, 1). */
LbTime lc_wait_estimate_reserve_retry (LcWaitEstimate *estimate,
                                       const LcWaitDecision *decision,
                                       double random,
                                       LbTime now);
/* Returns the delay after which the refused caller should try another instance, which may have free
 * slots; 0 if it has too little time or too many callers have been sent already. random: uniform in
 * [0, 1). */
LbTime lc_wait_estimate_send_elsewhere (LcWaitEstimate *estimate,
                                        const LcWaitDecision *decision,
                                        double random);
/* Returns the longest delay for a caller that has this time left: it can retry more than once. */
LbTime lc_wait_estimate_max_retry_after (LbTime time_left);

#endif
