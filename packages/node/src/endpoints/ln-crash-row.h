#ifndef LN_CRASH_ROW_H
#define LN_CRASH_ROW_H

#include "lc-quarantine.h"

/* What an instance tells the others of requests under which endpoints ended, as a row's text. */
typedef struct
{
  bool is_clearance;    /* of report.fingerprints[0]: an endpoint has answered it at report.at */
  LcCrashReport report; /* else the report; its id is not part of the text */
  int64_t at_ms;        /* report.at by the store's clock; 0: not known */
} LnCrashRow;

struct json_object;

/* Their texts, as rows and log lines name them. */
struct json_object *ln_crash_fingerprints_to_json (const LcFingerprint *contents,
                                                   size_t n_contents);
/* The caller frees it. */
char *ln_crash_row_to_text (const LnCrashRow *row);
/* Without report.id and report.at. */
bool ln_crash_row_from_text (const char *text, LnCrashRow *row, LbError *error);

#endif
