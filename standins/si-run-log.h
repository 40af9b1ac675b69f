#ifndef SI_RUN_LOG_H
#define SI_RUN_LOG_H

#include "lb-types.h"

struct json_object;

typedef struct SiRunCount SiRunCount;

/* Counts how often the request of each key was executed, so that tests can check that it was
 * executed at most once or not at all. */
typedef struct
{
  SiRunCount *counts; /* hash table: number of executions by key */
  int64_t started;
  int64_t finished;
  int64_t cancelled;
  int64_t refused;
  int64_t resumed;
  int64_t resume_mismatches; /* number of resumed requests whose earlier text differs from the text
                                that this engine generates */
} SiRunLog;

void si_run_log_clear (SiRunLog *log);
/* Counts one more execution of the key's request; returns the key's number of executions. */
int64_t si_run_log_count_execution (SiRunLog *log, const char *key);
struct json_object *si_run_log_to_json (const SiRunLog *log);

#endif
