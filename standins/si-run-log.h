#ifndef SI_RUN_LOG_H
#define SI_RUN_LOG_H

#include "lb-types.h"

struct json_object;

/* How often each key was run, so that a test can prove "at most once" and "not run". */
typedef struct SiRunCount SiRunCount;

typedef struct
{
  SiRunCount *counts;
  int64_t started;
  int64_t finished;
  int64_t cancelled;
  int64_t refused;
  int64_t resumed;
  int64_t resume_mismatches; /* a resume whose text is not what the engine would have said */
} SiRunLog;

void si_run_log_clear (SiRunLog *log);
/* Counts one more run of the key; answers how many there have been. */
int64_t si_run_log_count_start (SiRunLog *log, const char *key);
struct json_object *si_run_log_to_json (const SiRunLog *log);

#endif
