#ifndef SI_RUNLOG_H
#define SI_RUNLOG_H

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
} SiRunlog;

void si_runlog_clear (SiRunlog *log);
/* Counts one more run of the key; answers how many there have been. */
int64_t si_runlog_start (SiRunlog *log, const char *key);
struct json_object *si_runlog_to_json (const SiRunlog *log);

#endif
