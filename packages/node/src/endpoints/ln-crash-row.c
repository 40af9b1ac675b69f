#include "ln-crash-row.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <string.h>

#define JSON_OUTPUT_FLAGS (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

struct json_object *
ln_crash_fingerprints_to_json (const LcFingerprint *fingerprints, size_t n_fingerprints)
{
  struct json_object *array = json_object_new_array ();
  char text[LC_FINGERPRINT_TEXT_SIZE];

  for (size_t i = 0; i < n_fingerprints; i++)
    {
      lc_fingerprint_to_text (fingerprints[i], text);
      json_object_array_add (array, json_object_new_string (text));
    }
  return array;
}

char *
ln_crash_row_to_text (const LnCrashRow *row)
{
  struct json_object *object = json_object_new_object ();

  if (!row->is_clearance)
    json_object_object_add (object, "endpoint", json_object_new_string (row->report.endpoint));
  json_object_object_add (object, "at_ms", json_object_new_int64 (row->at_ms));
  json_object_object_add (object, "contents",
                          ln_crash_fingerprints_to_json (row->report.fingerprints,
                                                         row->report.n_fingerprints));
  return lb_json_serialize_and_release (object, JSON_OUTPUT_FLAGS);
}

static bool
parse_fingerprints (struct json_object *object, LcCrashReport *report)
{
  struct json_object *array = lb_json_member (object, "contents");
  size_t n = json_object_is_type (array, json_type_array) ? json_object_array_length (array) : 0;

  for (size_t i = 0; i < n && i < LC_MAX_REPORT_FINGERPRINTS; i++)
    {
      const char *text = json_object_get_string (json_object_array_get_idx (array, i));
      LcFingerprint fingerprint = text ? lc_fingerprint_from_text (text) : 0;
      if (fingerprint == 0)
        return false;
      report->fingerprints[report->n_fingerprints++] = fingerprint;
    }
  return report->n_fingerprints > 0;
}

bool
ln_crash_row_from_text (const char *text, LnCrashRow *row, LbError *error)
{
  struct json_object *object = json_tokener_parse (text);
  const char *endpoint = lb_json_text (object, "endpoint", NULL);
  bool ok;

  memset (row, 0, sizeof *row);
  row->is_clearance = !endpoint;
  row->at_ms = lb_json_int (object, "at_ms", 0);
  LB_COPY (row->report.endpoint, endpoint ? endpoint : "");
  ok = json_object_is_type (object, json_type_object) && parse_fingerprints (object, &row->report);
  json_object_put (object);
  return ok
         || lb_error_set (error, LB_ERROR_BAD_VALUE, "contents",
                          "expected an array of fingerprints in hex");
}
