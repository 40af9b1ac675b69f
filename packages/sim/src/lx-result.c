#include "lx-result.h"

#include "lb-alloc.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

static void
fill_trainer_measurements (LxResult *result, const LxWorld *world)
{
  LbTime idle = 0;
  LbTime idle_floor = 0;
  int64_t samples = 0;
  int64_t staleness = 0;

  for (size_t i = 0; i < world->options.n_trainers; i++)
    {
      const LxTrainer *trainer = &world->trainers[i];

      result->steps += trainer->steps;
      idle += trainer->idle_time;
      idle_floor += trainer->idle_floor;
      samples += trainer->samples;
      staleness += trainer->staleness_sum;
      if (trainer->staleness_max > result->staleness_max)
        result->staleness_max = trainer->staleness_max;
    }
  if (result->steps > 0)
    {
      result->idle_seconds = (double)idle / LB_SEC / (double)result->steps;
      result->idle_floor_seconds = (double)idle_floor / LB_SEC / (double)result->steps;
    }
  if (samples > 0)
    result->staleness_mean = (double)staleness / (double)samples;
}

static void
fill_engine_measurements (LxResult *result, const LxWorld *world)
{
  int64_t total_tokens = 0;
  int64_t max_tokens = 0;
  int64_t blocks = 0;
  int64_t cached_blocks = 0;

  for (size_t i = 0; i < world->n_engines; i++)
    {
      const LxEngine *engine = world->engines[i];

      total_tokens += engine->generated_tokens;
      max_tokens = engine->generated_tokens > max_tokens ? engine->generated_tokens : max_tokens;
      blocks += engine->prompt_blocks;
      cached_blocks += engine->prompt_blocks_cached;
    }
  if (total_tokens > 0)
    result->imbalance = (double)max_tokens * (double)world->n_engines / (double)total_tokens;
  if (blocks > 0)
    result->prefix_hits = (double)cached_blocks / (double)blocks;
  result->tokens_per_second
      = (double)total_tokens / ((double)(lx_world_now (world) - LB_SEC) / LB_SEC);
}

static void
fill_violation_counts (LxResult *result, const LxAudit *audit)
{
  result->lost = audit->violations[LX_VIOLATION_LOST] + audit->violations[LX_VIOLATION_STUCK];
  result->doubled = audit->violations[LX_VIOLATION_DOUBLED];
  result->stale = audit->violations[LX_VIOLATION_STALE];
  result->other_breaches
      = lx_audit_count_violations (audit) - result->lost - result->doubled - result->stale;
}

void
lx_result_fill (LxResult *result, LxWorld *world, const char *policy, double real_seconds)
{
  memset (result, 0, sizeof *result);
  LB_COPY (result->policy, policy);
  result->seed = world->options.seed;
  fill_trainer_measurements (result, world);
  fill_engine_measurements (result, world);
  fill_violation_counts (result, &world->audit);
  result->live_p50_ms = lx_callers_latency_percentile_ms (&world->callers, 0.5);
  result->live_p99_ms = lx_callers_latency_percentile_ms (&world->callers, 0.99);
  result->live_calls = world->callers.answered;
  result->refused = world->callers.refused;
  result->failed = world->callers.failed;
  result->wasted_tokens_ratio = lx_audit_compute_wasted_token_ratio (&world->audit);
  result->decisions = world->decisions;
  result->events = lx_world_get_event_number (world);
  if (real_seconds > 0)
    result->decisions_per_second = (double)world->decisions / real_seconds;
}

static void
add_json_double (struct json_object *object, const char *key, double value)
{
  char text[32];

  snprintf (text, sizeof text, "%.4f", value);
  json_object_object_add (object, key, json_object_new_double_s (value, text));
}

static void
add_json_int (struct json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

struct json_object *
lx_result_to_json (const LxResult *result)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "policy", json_object_new_string (result->policy));
  add_json_int (object, "seed", (int64_t)result->seed);
  add_json_int (object, "steps", result->steps);
  add_json_double (object, "idle_seconds", result->idle_seconds);
  add_json_double (object, "idle_floor_seconds", result->idle_floor_seconds);
  add_json_double (object, "staleness_mean", result->staleness_mean);
  add_json_int (object, "staleness_max", result->staleness_max);
  add_json_double (object, "live_p50_ms", result->live_p50_ms);
  add_json_double (object, "live_p99_ms", result->live_p99_ms);
  add_json_int (object, "live_calls", result->live_calls);
  add_json_int (object, "refused", result->refused);
  add_json_int (object, "failed", result->failed);
  add_json_int (object, "lost", result->lost);
  add_json_int (object, "doubled", result->doubled);
  add_json_int (object, "stale", result->stale);
  add_json_int (object, "other_breaches", result->other_breaches);
  add_json_double (object, "wasted_tokens_ratio", result->wasted_tokens_ratio);
  add_json_double (object, "imbalance", result->imbalance);
  add_json_double (object, "prefix_hits", result->prefix_hits);
  add_json_double (object, "tokens_per_second", result->tokens_per_second);
  add_json_int (object, "decisions", result->decisions);
  add_json_double (object, "decisions_per_second", result->decisions_per_second);
  return object;
}
