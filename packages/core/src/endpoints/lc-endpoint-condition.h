#ifndef LC_ENDPOINT_CONDITION_H
#define LC_ENDPOINT_CONDITION_H

#include "lb-types.h"

#define LC_CONDITION_MAX_OBSERVATIONS 48

/* How fast an endpoint works: a lasting value, which slowdowns of less than a second do not change,
 * and the present slowdown. The unit of work is a token of a stream at an engine, and a request at
 * a plain service. */
typedef struct
{
  float observations[LC_CONDITION_MAX_OBSERVATIONS]; /* ring buffer: seconds per unit of work */
  uint64_t n_observations; /* number of observations added, including overwritten ones */
  double lasting_seconds;  /* median of the observations; 0: not enough observations */
  LbTime observed_at;      /* time of the last observation */
  /* the current time window, which becomes one observation */
  LbTime window_started_at; /* 0: no window is open */
  double window_seconds;    /* streaming time, corrected by the reported slowdown */
  double window_tokens;
  double reported_slowdown; /* 1: as usual; 0: not reported */
  LbTime reported_at;
  /* time per token of the last second of streaming, as a multiple of the lasting value; 0: not
   * known */
  double observed_slowdown;
  LbTime slowdown_observed_at;
  LbTime slow_since; /* since when observed_slowdown shows a slow endpoint; 0: it is not slow */
} LcEndpointCondition;

/* Functions that change an LcEndpointCondition. */

/* Records the work time that the endpoint reports, in percent of its usual work time. */
void lc_endpoint_condition_add_work_time (LcEndpointCondition *condition,
                                          int64_t percent,
                                          LbTime measured_at);
/* Records the tokens that a stream delivered in the interval before now. */
void lc_endpoint_condition_add_tokens (LcEndpointCondition *condition,
                                       int64_t tokens,
                                       LbTime interval,
                                       LbTime now);
/* Records the time per token of the last second of streaming. */
void lc_endpoint_condition_set_present_token_seconds (LcEndpointCondition *condition,
                                                      double token_seconds,
                                                      LbTime now);
/* Records the duration of a complete request. */
void lc_endpoint_condition_add_request (LcEndpointCondition *condition, LbTime took, LbTime now);

/* Functions that only read an LcEndpointCondition. */

/* Lasting seconds per unit of work; 0: not known or too old. */
double lc_endpoint_condition_lasting_seconds (const LcEndpointCondition *condition, LbTime now);
/* Present time per unit of work as a multiple of the lasting value; 1: as usual or not known. */
double lc_endpoint_condition_present_slowdown (const LcEndpointCondition *condition, LbTime now);
/* How much longer the present slowdown is expected to last; 0: the endpoint is not slow. */
LbTime lc_endpoint_condition_remaining_slowdown (const LcEndpointCondition *condition, LbTime now);
/* Returns the expected duration of work that takes the given seconds at the lasting pace. */
double lc_endpoint_condition_stretch_seconds (const LcEndpointCondition *condition,
                                              double seconds,
                                              LbTime now);

#endif
