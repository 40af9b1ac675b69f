#include "ln-step-samples.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lc-label.h"

#include <json-c/json.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

static void
add_json_integer (struct json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

static struct json_object *
span_to_json (const LcSpan *span)
{
  struct json_object *object = json_object_new_object ();

  add_json_integer (object, "version", span->version);
  add_json_integer (object, "first", span->first);
  add_json_integer (object, "count", span->count);
  if (span->kv_reused_version)
    add_json_integer (object, "kv_reused_version", span->kv_reused_version);
  return object;
}

static struct json_object *
sample_to_json (const LcReadySample *sample, LcVersion trainer_version)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *spans = json_object_new_array ();

  json_object_object_add (object, "group", json_object_new_string (sample->group));
  add_json_integer (object, "index", sample->index);
  json_object_object_add (object, "text", json_object_new_string (sample->text));
  add_json_integer (object, "tokens", sample->label->tokens);
  if (sample->has_score)
    json_object_object_add (object, "score", json_object_new_double (sample->score));
  add_json_integer (object, "staleness", lc_label_staleness (sample->label, trainer_version));
  for (size_t i = 0; i < sample->label->n_spans; i++)
    json_object_array_add (spans, span_to_json (&sample->label->spans[i]));
  json_object_object_add (object, "spans", spans);
  return object;
}

struct json_object *
ln_step_samples_to_json (const LcReadySample *samples, size_t n_samples, LcVersion trainer_version)
{
  struct json_object *array = json_object_new_array ();

  for (size_t i = 0; i < n_samples; i++)
    json_object_array_add (array, sample_to_json (&samples[i], trainer_version));
  return array;
}

/* Parses the weight versions of a stored sample's tokens (the label). Adds the spans of tokens with
 * the function that is used for an engine's pieces, so that stored data cannot produce a label that
 * an engine could not. */
static LcLabel *
parse_sample_label (struct json_object *object)
{
  struct json_object *spans = NULL;
  LcLabel *label = LB_NEW (LcLabel);

  lc_label_init (label);
  json_object_object_get_ex (object, "spans", &spans);
  size_t n_spans
      = json_object_is_type (spans, json_type_array) ? json_object_array_length (spans) : 0;
  for (size_t i = 0; i < n_spans; i++)
    {
      struct json_object *span = json_object_array_get_idx (spans, i);
      lc_label_add_tokens_kv_reused (label, lb_json_int (span, "first", 0),
                                     lb_json_int (span, "count", 0),
                                     lb_json_int (span, "version", 0),
                                     lb_json_int (span, "kv_reused_version", 0));
    }
  return label;
}

static bool
parse_sample (struct json_object *object, LcReadySample *sample)
{
  struct json_object *score = NULL;

  *sample = (LcReadySample){ .group = lb_json_text (object, "group", NULL),
                             .index = lb_json_int (object, "index", 0),
                             .text = lb_json_text (object, "text", NULL) };
  sample->has_score = json_object_object_get_ex (object, "score", &score);
  sample->score = sample->has_score ? json_object_get_double (score) : 0;
  if (!sample->group || !sample->text)
    return false;
  sample->label = parse_sample_label (object);
  return true;
}

void
ln_step_samples_parse (LnStepSamples *samples, const char *text, size_t length)
{
  struct json_tokener *tokener = json_tokener_new ();

  memset (samples, 0, sizeof *samples);
  if (text && length <= INT_MAX)
    samples->json = json_tokener_parse_ex (tokener, text, (int)length);
  json_tokener_free (tokener);
  if (!json_object_is_type (samples->json, json_type_array))
    return;

  size_t n_entries = json_object_array_length (samples->json);
  samples->samples = LB_NEW_ARRAY (LcReadySample, n_entries);
  for (size_t i = 0; i < n_entries; i++)
    samples->n_samples += parse_sample (json_object_array_get_idx (samples->json, i),
                                        &samples->samples[samples->n_samples]);
}

void
ln_step_samples_clear (LnStepSamples *samples)
{
  for (size_t i = 0; i < samples->n_samples; i++)
    free ((void *)samples->samples[i].label);
  free (samples->samples);
  json_object_put (samples->json);
  memset (samples, 0, sizeof *samples);
}
