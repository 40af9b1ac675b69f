#ifndef LX_RESULT_H
#define LX_RESULT_H

#include "lx-world.h"

/* What a run measured. Times in the units of their names. */
typedef struct
{
  char policy[128];
  uint64_t seed;
  int64_t steps;
  double idle_seconds;       /* of all trainers, mean per step */
  double idle_floor_seconds; /* what no policy can take away */
  double staleness_mean;
  int64_t staleness_max;
  double live_p50_ms;
  double live_p99_ms;
  int64_t live_calls;
  int64_t refused;
  int64_t failed;
  int64_t lost;
  int64_t doubled;
  int64_t stale;
  int64_t other_breaches;
  double wasted_tokens_ratio;
  double imbalance;   /* largest over mean of the tokens made by the pool's engines */
  double prefix_hits; /* share of prompt blocks found in the engines' caches */
  double tokens_per_second;
  int64_t decisions;
  uint64_t events;
  double decisions_per_second; /* of real time, the harness's own work included */
} LxResult;

/* Runs the options once and measures; real_seconds is what the clock of the caller says. */
void lx_result_fill (LxResult *result, LxWorld *world, const char *policy, double real_seconds);
struct json_object *lx_result_to_json (const LxResult *result);

#endif
