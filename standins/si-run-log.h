#ifndef SI_RUN_LOG_H
#define SI_RUN_LOG_H

#include "lb-types.h"

struct json_object;

typedef struct SiRunCount SiRunCount;

/* Counts the runs of each key, so that a test can prove "at most once" and "not run". */
typedef struct
{
  SiRunCount *counts; /* by key */
  int64_t started;
  int64_t finished;
  int64_t cancelled;
  int64_t refused;
  int64_t resumed;
  int64_t resume_mismatches; /* resumes with a text that the engine would not generate */
} SiRunLog;

void si_run_log_clear (SiRunLog *log);
/* Counts a started run of the key; returns the number of its runs so far. */
int64_t si_run_log_count_start (SiRunLog *log, const char *key);
struct json_object *si_run_log_to_json (const SiRunLog *log);

#endif
