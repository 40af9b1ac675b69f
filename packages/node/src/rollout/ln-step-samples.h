#ifndef LN_STEP_SAMPLES_H
#define LN_STEP_SAMPLES_H

#include "lc-rollouts.h"

struct json_object;

/* Returns the samples as a JSON array, for a trainer or for the next owner of the step. The
 * staleness of each sample is relative to trainer_version. */
struct json_object *
ln_step_samples_to_json (const LcReadySample *samples, size_t n_samples, LcVersion trainer_version);

/* Samples parsed from JSON. */
typedef struct
{
  LcReadySample *samples;
  size_t n_samples;
  struct json_object *json; /* owns the strings of the samples */
} LnStepSamples;

/* Parses a JSON array of samples. Skips entries without a group or a text. If the JSON text is NULL
 * or is no array, the result is empty. */
void ln_step_samples_parse (LnStepSamples *samples, const char *text, size_t length);
void ln_step_samples_clear (LnStepSamples *samples);

#endif
