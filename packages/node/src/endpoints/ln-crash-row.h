#ifndef LN_CRASH_ROW_H
#define LN_CRASH_ROW_H

#include "lc-quarantine.h"

/* Row in which an instance shares a crash report, or a clearance of a request, with the others. */
typedef struct
{
  bool is_clearance;    /* clears report.fingerprints[0]: an endpoint answered that request at
                           report.at */
  LcCrashReport report; /* the report, if not a clearance; its id is not part of the text */
  int64_t at_ms;        /* report.at by the store's clock; 0: unknown */
} LnCrashRow;

struct json_object;

/* JSON array of the fingerprints in text form, as in rows and log lines. */
struct json_object *ln_crash_fingerprints_to_json (const LcFingerprint *fingerprints,
                                                   size_t n_fingerprints);
/* The caller frees it. */
char *ln_crash_row_to_text (const LnCrashRow *row);
/* Does not set report.id and report.at. */
bool ln_crash_row_from_text (const char *text, LnCrashRow *row, LbError *error);

#endif
