#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define JSON_FORMAT (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

/* Returns a JSON object with all fields of the result except the text. */
static struct json_object *
result_to_json_object_without_text (const LcBatchResult *result)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "item", json_object_new_string (result->item));
  json_object_object_add (object, "completed", json_object_new_boolean (result->completed));
  json_object_object_add (object, "versions",
                          lb_json_array_from_integers (result->versions, result->n_versions));
  if (result->score)
    json_object_object_add (object, "score", json_object_new_string (result->score));
  return object;
}

char *
ln_batch_result_to_json (const LcBatchResult *result)
{
  struct json_object *object = result_to_json_object_without_text (result);

  json_object_object_add (object, "text",
                          json_object_new_string (result->text ? result->text : ""));
  return lb_json_serialize_and_release (object, JSON_FORMAT);
}

char *
ln_batch_result_to_json_without_text (const LcBatchResult *result, size_t n_chunks)
{
  struct json_object *object = result_to_json_object_without_text (result);

  json_object_object_add (object, "pieces", json_object_new_int64 ((int64_t)n_chunks));
  return lb_json_serialize_and_release (object, JSON_FORMAT);
}

bool
ln_batch_result_from_row (const LpRow *row, LcBatchResult *result, size_t *n_chunks)
{
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  const char *score = lb_json_text (object, "score", NULL);
  int64_t chunks = lb_json_int (object, "pieces", 0);

  memset (result, 0, sizeof *result);
  LB_COPY (result->item, lb_json_text (object, "item", ""));
  result->completed = lb_json_bool (object, "completed", false);
  result->text = lb_strdup (lb_json_text (object, "text", ""));
  result->score = score ? lb_strdup (score) : NULL;
  result->n_versions
      = lb_json_read_integers (object, "versions", result->versions, LC_MAX_RESULT_VERSIONS);
  *n_chunks = chunks > 0 ? (size_t)chunks : 0;
  json_object_put (object);
  return result->item[0] != '\0';
}

char *
ln_batch_text_part_to_json (const LcBatchTextPart *part)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "item", json_object_new_string (part->item));
  json_object_object_add (object, "run", json_object_new_int64 (part->restarts));
  json_object_object_add (object, "first", json_object_new_int64 (part->first_event));
  json_object_object_add (object, "events", json_object_new_int64 (part->n_events));
  json_object_object_add (object, "versions",
                          lb_json_array_from_integers (part->versions, part->n_versions));
  json_object_object_add (object, "text", json_object_new_string (part->text));
  return lb_json_serialize_and_release (object, JSON_FORMAT);
}

bool
ln_batch_text_part_from_row (const LpRow *row, LcBatchTextPart *part)
{
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  /* Room for one more version than a text may have, so that a row with too many is detected. */
  LcVersion *versions = LB_NEW_ARRAY (LcVersion, LC_MAX_RESULT_VERSIONS + 1);
  size_t n = lb_json_read_integers (object, "versions", versions, LC_MAX_RESULT_VERSIONS + 1);

  *part = (LcBatchTextPart){ .item = lb_strdup (lb_json_text (object, "item", "")),
                             .restarts = lb_json_int (object, "run", 0),
                             .first_event = lb_json_int (object, "first", 0),
                             .n_events = lb_json_int (object, "events", 0),
                             .text = lb_strdup (lb_json_text (object, "text", "")),
                             .versions = versions,
                             .n_versions = n };
  json_object_put (object);
  return part->item[0] && part->restarts >= 0 && part->first_event >= 0 && part->n_events > 0
         && n > 0;
}
