#ifndef LN_STEP_SAMPLES_H
#define LN_STEP_SAMPLES_H

#include "lc-rollouts.h"

struct json_object;

/* JSON form of samples, for trainers and for the next owner of a step. */

/* Staleness is computed against trainer_version. */
struct json_object *
ln_step_samples_to_json (const LcReadySample *samples, size_t n_samples, LcVersion trainer_version);

/* Parsed samples. */
typedef struct
{
  LcReadySample *samples;
  size_t n_samples;
  struct json_object *json; /* owns the strings of the samples */
} LnStepSamples;

/* Skips entries that lack a group or a text. text may be NULL. */
void ln_step_samples_parse (LnStepSamples *samples, const char *text, size_t length);
void ln_step_samples_clear (LnStepSamples *samples);

#endif
