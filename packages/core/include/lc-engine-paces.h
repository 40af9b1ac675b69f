#ifndef LC_ENGINE_PACES_H
#define LC_ENGINE_PACES_H

#include "lc-types.h"

struct json_object;

/* This header declares the lasting paces of engines, as an instance measures them from its own
 * streams. The owner of a batch writes them to the batch's row, because the instance that divides
 * the engines among the models often has no streams of its own. */

#define LC_MAX_ENGINE_PACES 64

typedef struct
{
  uint32_t engine;   /* hash of the engine's name */
  uint32_t token_us; /* lasting time per token in microseconds */
} LcEnginePace;

/* Paces of at most LC_MAX_ENGINE_PACES engines; those added later are ignored. */
typedef struct
{
  LcEnginePace paces[LC_MAX_ENGINE_PACES];
  size_t n;
} LcEnginePaces;

/* Adds the pace of an engine that is not in the list yet. A pace that is not positive is ignored.
 */
void lc_engine_paces_add (LcEnginePaces *paces, const char *engine, double token_seconds);
/* Removes all paces if none differs from the median by more than errors of measurement, so that
 * deployments with equal engines write no paces to the rows of batches. */
void lc_engine_paces_clear_if_even (LcEnginePaces *paces);
/* Returns a JSON object that the caller releases. */
struct json_object *lc_engine_paces_to_json (const LcEnginePaces *paces);
/* Ignores entries that are not paces. */
void lc_engine_paces_from_json (struct json_object *object, LcEnginePaces *paces);

/* Paces of all engines, from the rows of batches. */
typedef struct LcPaceTable LcPaceTable;

LcPaceTable *lc_pace_table_new (void);
void lc_pace_table_free (LcPaceTable *table);
/* at: when the paces were measured */
void lc_pace_table_record (LcPaceTable *table, const LcEnginePaces *paces, LbTime at);
void lc_pace_table_remove_outdated (LcPaceTable *table, LbTime now);
/* Replaces the number of slots of each engine, 0 if it is not known, by the engine's capacity:
 * slots at the median pace of the engines. An engine without a known pace counts as having the
 * median. */
void lc_pace_table_convert_slots_to_capacities (
    const LcPaceTable *table, const LbName *engines, double *slots, size_t n, LbTime now);

#endif
