#ifndef LN_STEP_SAMPLES_H
#define LN_STEP_SAMPLES_H

#include "lc-rollouts.h"

struct json_object;

/* Samples as JSON: for trainers, and for the next owner of a step. */

/* trainer: the version that staleness is stated against. */
struct json_object *
ln_step_samples_to_json (const LcReadySample *samples, size_t n_samples, LcVersion trainer);

/* Samples with memory of their own. */
typedef struct
{
  LcReadySample *samples;
  size_t n_samples;
  struct json_object *json; /* what the texts point into */
} LnStepSamples;

/* What is not a whole sample is left out. text may be NULL. */
void ln_step_samples_read (LnStepSamples *samples, const char *text, size_t length);
void ln_step_samples_clear (LnStepSamples *samples);

#endif
