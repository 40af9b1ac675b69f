#include "lc-engine-paces.h"

#include "lb-alloc.h"

#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* Older paces are discarded: engines may have been replaced, and an engine without streams gets no
 * new pace. */
#define MAX_PACE_AGE (60 * LB_SEC)
/* Paces that differ less from the median are taken for equal, so that errors of measurement move no
 * engine between models. */
#define MIN_PACE_DIFFERENCE 0.15
/* Bounds on the speed of an engine relative to the median, which limit the effect of wrong paces.
 */
#define MIN_SPEED 0.25
#define MAX_SPEED 4.0
#define MAX_TOKEN_SECONDS 60
#define ENGINE_KEY_BYTES 9 /* hash in hexadecimal and the terminating null */

static uint32_t
hash_engine (const char *engine)
{
  return (uint32_t)XXH3_64bits (engine, strlen (engine));
}

static void
add_pace (LcEnginePaces *paces, uint32_t engine, double token_us)
{
  if (paces->n == LC_MAX_ENGINE_PACES || !(token_us >= 1)
      || token_us > MAX_TOKEN_SECONDS * (double)LB_SEC)
    return;
  paces->paces[paces->n++] = (LcEnginePace){ .engine = engine, .token_us = (uint32_t)token_us };
}

void
lc_engine_paces_add (LcEnginePaces *paces, const char *engine, double token_seconds)
{
  add_pace (paces, hash_engine (engine), round (token_seconds * (double)LB_SEC));
}

struct json_object *
lc_engine_paces_to_json (const LcEnginePaces *paces)
{
  struct json_object *object = json_object_new_object ();
  char key[ENGINE_KEY_BYTES];

  for (size_t i = 0; i < paces->n; i++)
    {
      snprintf (key, sizeof key, "%08x", paces->paces[i].engine);
      json_object_object_add (object, key, json_object_new_int64 (paces->paces[i].token_us));
    }
  return object;
}

void
lc_engine_paces_from_json (struct json_object *object, LcEnginePaces *paces)
{
  memset (paces, 0, sizeof *paces);
  if (!json_object_is_type (object, json_type_object))
    return;
  json_object_object_foreach (object, key, value)
  {
    char *end = NULL;
    unsigned long engine = strtoul (key, &end, 16);
    if (strlen (key) == ENGINE_KEY_BYTES - 1 && *end == '\0'
        && json_object_is_type (value, json_type_int))
      add_pace (paces, (uint32_t)engine, (double)json_object_get_int64 (value));
  }
}

/* --- paces of all engines --- */

typedef struct
{
  uint32_t engine; /* key in LcPaceTable.by_engine */
  uint32_t token_us;
  LbTime at;
  UT_hash_handle hh;
} KnownPace;

struct LcPaceTable
{
  KnownPace *by_engine;
};

LcPaceTable *
lc_pace_table_new (void)
{
  return LB_NEW (LcPaceTable);
}

static void
remove_paces_before (LcPaceTable *table, LbTime oldest)
{
  KnownPace *pace, *next;

  HASH_ITER (hh, table->by_engine, pace, next)
  {
    if (pace->at >= oldest)
      continue;
    HASH_DEL (table->by_engine, pace);
    free (pace);
  }
}

void
lc_pace_table_free (LcPaceTable *table)
{
  if (!table)
    return;
  remove_paces_before (table, LB_TIME_NEVER);
  free (table);
}

void
lc_pace_table_remove_outdated (LcPaceTable *table, LbTime now)
{
  remove_paces_before (table, now - MAX_PACE_AGE);
}

void
lc_pace_table_record (LcPaceTable *table, const LcEnginePaces *paces, LbTime at)
{
  for (size_t i = 0; i < paces->n; i++)
    {
      KnownPace *known = NULL;
      HASH_FIND (hh, table->by_engine, &paces->paces[i].engine, sizeof known->engine, known);
      if (!known)
        {
          known = LB_NEW (KnownPace);
          known->engine = paces->paces[i].engine;
          HASH_ADD (hh, table->by_engine, engine, sizeof known->engine, known);
        }
      else if (known->at > at)
        continue;
      known->token_us = paces->paces[i].token_us;
      known->at = at;
    }
}

/* Returns the engine's time per token in microseconds; 0: not known. */
static double
find_token_us (const LcPaceTable *table, const char *engine, LbTime now)
{
  uint32_t hash = hash_engine (engine);
  KnownPace *known = NULL;

  HASH_FIND (hh, table->by_engine, &hash, sizeof hash, known);
  return known && now - known->at <= MAX_PACE_AGE ? known->token_us : 0;
}

static int
compare_numbers (const void *a, const void *b)
{
  double difference = *(const double *)a - *(const double *)b;

  return (difference > 0) - (difference < 0);
}

/* Returns the median of the values that are above 0; 0: there are none. */
static double
find_median_of_known (const double *values, size_t n)
{
  double *known = LB_NEW_ARRAY (double, n + 1);
  size_t n_known = 0;

  for (size_t i = 0; i < n; i++)
    if (values[i] > 0)
      known[n_known++] = values[i];
  qsort (known, n_known, sizeof *known, compare_numbers);
  double median = n_known > 0 ? known[n_known / 2] : 0;
  free (known);
  return median;
}

static double
compute_speed (double token_us, double median_token_us)
{
  double speed = token_us > 0 ? median_token_us / token_us : 1;

  if (fabs (speed - 1) < MIN_PACE_DIFFERENCE)
    return 1;
  return fmin (fmax (speed, MIN_SPEED), MAX_SPEED);
}

void
lc_pace_table_convert_slots_to_capacities (
    const LcPaceTable *table, const LbName *engines, double *slots, size_t n, LbTime now)
{
  double median_slots = find_median_of_known (slots, n);
  double *token_us = LB_NEW_ARRAY (double, n + 1);

  for (size_t i = 0; i < n; i++)
    token_us[i] = find_token_us (table, engines[i], now);
  double median = find_median_of_known (token_us, n);
  for (size_t i = 0; i < n; i++)
    {
      double known_slots = slots[i] > 0 ? slots[i] : fmax (median_slots, 1);
      slots[i] = known_slots * compute_speed (token_us[i], median);
    }
  free (token_us);
}

void
lc_engine_paces_clear_if_even (LcEnginePaces *paces)
{
  double token_us[LC_MAX_ENGINE_PACES];
  bool is_even = true;

  for (size_t i = 0; i < paces->n; i++)
    token_us[i] = paces->paces[i].token_us;
  double median = find_median_of_known (token_us, paces->n);
  for (size_t i = 0; i < paces->n; i++)
    is_even = is_even && compute_speed (token_us[i], median) == 1;
  if (is_even)
    paces->n = 0;
}
