#ifndef LN_CRASH_ROW_H
#define LN_CRASH_ROW_H

#include "lc-quarantine.h"

/* Row of the store by which an instance reports to the others the requests under which an endpoint
 * crashed, or clears a request because an endpoint answered it. */
typedef struct
{
  bool is_clearance; /* an endpoint answered the request report.fingerprints[0] at report.at, so the
                        request did not cause the crashes */
  LcCrashReport report; /* a clearance sets only the time and one fingerprint; the id is the row's
                           key and not part of its text */
  int64_t at_ms;        /* report.at in milliseconds of the store's clock; 0: unknown */
} LnCrashRow;

struct json_object;

/* Returns a JSON array of the fingerprints in hex, which the caller frees. */
struct json_object *ln_crash_fingerprints_to_json (const LcFingerprint *fingerprints,
                                                   size_t n_fingerprints);
/* Returns the row's JSON text, which the caller frees. */
char *ln_crash_row_to_text (const LnCrashRow *row);
/* Parses the row's JSON text; returns false and sets `error` if the text is malformed. The caller
 * sets report.id and report.at, which are not in the text. */
bool ln_crash_row_from_text (const char *text, LnCrashRow *row, LbError *error);

#endif
