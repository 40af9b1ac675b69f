#ifndef LX_RESULT_H
#define LX_RESULT_H

#include "lx-world.h"

/* Measurements of a simulation run. */
typedef struct
{
  char policy[128];
  uint64_t seed;
  int64_t steps;
  double idle_seconds;       /* mean idle time of a trainer per step */
  double idle_floor_seconds; /* lower bound of idle_seconds for any policy */
  double staleness_mean;
  int64_t staleness_max;
  double live_p50_ms;
  double live_p99_ms;
  int64_t live_calls;     /* number of answered calls, including calls of services */
  int64_t refused;        /* number of calls that ended with a "not run" error */
  int64_t failed;         /* number of calls that ended with another error */
  int64_t lost;           /* number of LX_VIOLATION_LOST and LX_VIOLATION_STUCK */
  int64_t doubled;        /* number of LX_VIOLATION_DOUBLED */
  int64_t stale;          /* number of LX_VIOLATION_STALE */
  int64_t other_breaches; /* number of violations of all other kinds */
  double wasted_tokens_ratio;
  double imbalance;   /* tokens generated per engine: maximum / mean */
  double prefix_hits; /* share of prompt blocks found in the engines' prefix caches */
  double tokens_per_second;
  int64_t decisions; /* number of attempts that instances sent to endpoints */
  uint64_t events;
  /* attempts per second of wall clock time, which includes the simulation's own work */
  double decisions_per_second;
} LxResult;

/* Fills the result from a completed run that took real_seconds of wall clock time. */
void lx_result_fill (LxResult *result, LxWorld *world, const char *policy, double real_seconds);
struct json_object *lx_result_to_json (const LxResult *result);

#endif
