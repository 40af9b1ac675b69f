#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

static struct json_object *
versions_to_json (const LcVersion *versions, size_t n_versions)
{
  struct json_object *array = json_object_new_array ();

  for (size_t i = 0; i < n_versions; i++)
    json_object_array_add (array, json_object_new_int64 (versions[i]));
  return array;
}

/* Takes the object. */
static char *
to_text (struct json_object *object)
{
  const int flags = JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE;
  char *text = lb_strdup (json_object_to_json_string_ext (object, flags));

  json_object_put (object);
  return text;
}

/* Everything but the text. */
static struct json_object *
result_to_json (const LcBatchResult *result)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "item", json_object_new_string (result->item));
  json_object_object_add (object, "completed", json_object_new_boolean (result->completed));
  json_object_object_add (object, "versions",
                          versions_to_json (result->versions, result->n_versions));
  if (result->score)
    json_object_object_add (object, "score", json_object_new_string (result->score));
  return object;
}

char *
ln_batch_result_to_text (const LcBatchResult *result)
{
  struct json_object *object = result_to_json (result);

  json_object_object_add (object, "text",
                          json_object_new_string (result->text ? result->text : ""));
  return to_text (object);
}

char *
ln_batch_result_without_text (const LcBatchResult *result, size_t n_pieces)
{
  struct json_object *object = result_to_json (result);

  json_object_object_add (object, "pieces", json_object_new_int64 ((int64_t)n_pieces));
  return to_text (object);
}

size_t
ln_batch_result_pieces (const LpRow *row)
{
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  int64_t n = lb_json_int (object, "pieces", 0);

  json_object_put (object);
  return n > 0 ? (size_t)n : 0;
}

bool
ln_batch_result_from_row (const LpRow *row, LcBatchResult *result)
{
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  struct json_object *versions = lb_json_member (object, "versions");
  const char *score = lb_json_text (object, "score", NULL);

  memset (result, 0, sizeof *result);
  LB_COPY (result->item, lb_json_text (object, "item", ""));
  result->completed = lb_json_bool (object, "completed", false);
  result->text = lb_strdup (lb_json_text (object, "text", ""));
  result->score = score ? lb_strdup (score) : NULL;
  for (size_t i = 0;
       json_object_is_type (versions, json_type_array) && i < json_object_array_length (versions)
       && result->n_versions < LC_MAX_RESULT_VERSIONS;
       i++)
    result->versions[result->n_versions++]
        = json_object_get_int64 (json_object_array_get_idx (versions, i));
  json_object_put (object);
  return result->item[0] != '\0';
}

char *
ln_batch_part_to_text (const LcBatchPart *part)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "item", json_object_new_string (part->item));
  json_object_object_add (object, "events", json_object_new_int64 (part->events));
  json_object_object_add (object, "versions", versions_to_json (part->versions, part->n_versions));
  json_object_object_add (object, "text", json_object_new_string (part->text));
  return to_text (object);
}

bool
ln_batch_part_from_row (const LpRow *row, LcBatchPart *part)
{
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  struct json_object *versions = lb_json_member (object, "versions");
  size_t n
      = json_object_is_type (versions, json_type_array) ? json_object_array_length (versions) : 0;
  LcVersion *numbers = LB_NEW_ARRAY (LcVersion, n + 1);

  for (size_t i = 0; i < n; i++)
    numbers[i] = json_object_get_int64 (json_object_array_get_idx (versions, i));
  *part = (LcBatchPart){ .item = lb_strdup (lb_json_text (object, "item", "")),
                         .events = lb_json_int (object, "events", 0),
                         .text = lb_strdup (lb_json_text (object, "text", "")),
                         .versions = numbers,
                         .n_versions = n };
  json_object_put (object);
  return part->item[0] && part->events > 0 && n > 0;
}
