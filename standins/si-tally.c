#include "si-tally.h"

#include "lb-alloc.h"
#include "si-json.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define MAX_NOT_RUN_KEYS 10000

typedef struct SiErrorCount
{
  UT_hash_handle hh;
  LbName type;
  int64_t count;
} SiErrorCount;

void
si_tally_init (SiTally *tally)
{
  memset (tally, 0, sizeof *tally);
  tally->not_run_keys = json_object_new_array ();
}

void
si_tally_clear (SiTally *tally)
{
  SiErrorCount *error, *next;

  HASH_ITER (hh, tally->errors, error, next)
  {
    HASH_DEL (tally->errors, error);
    free (error);
  }
  json_object_put (tally->not_run_keys);
  free (tally->durations);
  free (tally->times_to_first_byte);
}

static void
count_error_type (SiTally *tally, const char *type)
{
  SiErrorCount *error = NULL;

  HASH_FIND_STR (tally->errors, type, error);
  if (!error)
    {
      error = LB_NEW (SiErrorCount);
      LB_COPY (error->type, type);
      HASH_ADD_STR (tally->errors, type, error);
    }
  error->count++;
}

static void
add_call_times (SiTally *tally, const SiCheckedCallResult *result)
{
  if ((tally->n_durations & (tally->n_durations - 1)) == 0)
    {
      size_t capacity = tally->n_durations > 0 ? tally->n_durations * 2 : 1;
      tally->durations = lb_realloc (tally->durations, capacity * sizeof (LbTime));
      tally->times_to_first_byte
          = lb_realloc (tally->times_to_first_byte, capacity * sizeof (LbTime));
    }
  tally->durations[tally->n_durations] = result->duration;
  tally->times_to_first_byte[tally->n_durations] = result->time_to_first_byte;
  tally->n_durations++;
}

void
si_tally_add_result (SiTally *tally, const SiCheckedCallResult *result, const char *key)
{
  tally->n_calls++;
  tally->outcomes[result->outcome]++;
  if (result->outcome == SI_CALL_COMPLETE)
    add_call_times (tally, result);
  else
    count_error_type (tally, result->error[0] != '\0' ? result->error : "none");
  if (result->outcome == SI_CALL_NOT_RUN
      && json_object_array_length (tally->not_run_keys) < MAX_NOT_RUN_KEYS)
    json_object_array_add (tally->not_run_keys, json_object_new_string (key));
}

bool
si_tally_has_no_wrong_or_truncated_answers (const SiTally *tally)
{
  return tally->outcomes[SI_CALL_WRONG_ANSWER] + tally->outcomes[SI_CALL_TRUNCATED] == 0;
}

static int
compare_call_times (const void *a, const void *b)
{
  LbTime left = *(const LbTime *)a;
  LbTime right = *(const LbTime *)b;

  return (left > right) - (left < right);
}

static void
add_time_percentiles (struct json_object *object, const char *key, LbTime *times, size_t n)
{
  static const struct
  {
    const char *name;
    double fraction;
  } percentiles[] = { { "p50", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 }, { "max", 1 } };
  struct json_object *values = json_object_new_object ();

  qsort (times, n, sizeof (LbTime), compare_call_times);
  for (size_t i = 0; n > 0 && i < sizeof percentiles / sizeof percentiles[0]; i++)
    {
      size_t index = (size_t)((double)(n - 1) * percentiles[i].fraction);
      json_object_object_add (values, percentiles[i].name,
                              json_object_new_double ((double)times[index] / (double)LB_MSEC));
    }
  json_object_object_add (object, key, values);
}

struct json_object *
si_tally_to_json (SiTally *tally)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *errors = json_object_new_object ();

  json_object_object_add (object, "ok",
                          json_object_new_boolean (
                              si_tally_has_no_wrong_or_truncated_answers (tally)));
  si_json_set_int (object, "calls", tally->n_calls);
  si_json_set_int (object, "whole", tally->outcomes[SI_CALL_COMPLETE]);
  si_json_set_int (object, "wrong", tally->outcomes[SI_CALL_WRONG_ANSWER]);
  si_json_set_int (object, "cut", tally->outcomes[SI_CALL_TRUNCATED]);
  si_json_set_int (object, "not_run", tally->outcomes[SI_CALL_NOT_RUN]);
  si_json_set_int (object, "failed", tally->outcomes[SI_CALL_FAILED]);
  si_json_set_int (object, "retries", tally->retries);
  for (const SiErrorCount *error = tally->errors; error; error = error->hh.next)
    si_json_set_int (errors, error->type, error->count);
  json_object_object_add (object, "errors", errors);
  add_time_percentiles (object, "took_ms", tally->durations, tally->n_durations);
  add_time_percentiles (object, "first_ms", tally->times_to_first_byte, tally->n_durations);
  json_object_object_add (object, "not_run_keys", json_object_get (tally->not_run_keys));
  return object;
}
