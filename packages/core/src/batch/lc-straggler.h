#ifndef LC_STRAGGLER_H
#define LC_STRAGGLER_H

#include "lb-types.h"

/* This header declares predictions of the length of samples from the lengths of ended samples, and
 * estimates of the gain of hedging a running sample or of moving it to another endpoint. */

#define LC_LENGTH_BUCKETS 192

/* Lengths of ended samples, in tokens. The weights of older samples decay, so that the histogram
 * follows a model whose answers get longer or shorter. */
typedef struct
{
  double buckets[LC_LENGTH_BUCKETS]; /* sample weights by length; eight buckets per doubling */
  double count;                      /* sum of the weights of all samples in the histogram */
  /* sum of the sample lengths, each multiplied by the weight of the sample */
  double sum;
} LcLengthHistogram;

/* Number and total length of the samples of a group, which share a prompt. Ended samples count with
 * their actual length, running samples with their expected length. */
typedef struct
{
  int64_t count;
  double sum;
} LcGroupLengths;

/* Stream speed of a pool or model, measured on ended samples. */
typedef struct
{
  double tokens_per_second; /* moving average; 0: not known yet */
  double wait_seconds;      /* moving average of the time from submission to the first piece */
} LcPace;

typedef struct
{
  int64_t tokens; /* number of tokens generated until now */
  int64_t max_tokens;
  LbTime started_at;
  LbTime first_piece_at; /* time of the first piece; 0: none yet */
  /* recent time per token of the sample's stream; 0: not known, so the mean of the whole stream
   * is used */
  double recent_seconds_per_token;
} LcSampleProgress;

void lc_length_histogram_add_sample_length (LcLengthHistogram *lengths, int64_t tokens);
/* Mean sample length, capped at max_tokens; half of max_tokens if no sample has ended yet. */
double lc_length_histogram_mean_sample_length (const LcLengthHistogram *lengths,
                                               int64_t max_tokens);
/* Expected number of further tokens of a sample that has `tokens` tokens. */
double lc_length_histogram_estimate_remaining_tokens (const LcLengthHistogram *lengths,
                                                      int64_t tokens,
                                                      int64_t max_tokens);
/* Expected length of the next sample of a group, in tokens. */
double lc_length_histogram_predict_group_sample_length (const LcLengthHistogram *lengths,
                                                        const LcGroupLengths *group,
                                                        int64_t max_tokens);

void lc_pace_add_sample (LcPace *pace, int64_t tokens, LbTime wait_time, LbTime stream_time);
/* Expected time to generate a new sample of `tokens` tokens; 0: the speed is not known. */
double lc_pace_expected_generation_seconds (const LcPace *pace, double tokens);

/* Expected seconds saved by a hedge, a second generation of the sample from its start; 0 or less:
 * do not hedge. The time of the second generation is multiplied by a safety factor, which falls
 * with idle_weight (0..1), the weight of the trainer's idle time. Only a slow endpoint justifies a
 * hedge, not a long sample: repeating long samples until a short one comes would teach the
 * trainer's model to be short. */
double lc_straggler_hedge_gain_seconds (const LcLengthHistogram *lengths,
                                        const LcPace *pace,
                                        const LcSampleProgress *progress,
                                        double idle_weight,
                                        LbTime now);
/* Expected seconds saved if another endpoint continues the running sample; 0 or less: do not move.
 * The time to generate the rest at the other endpoint is multiplied by a safety factor. Returns 0
 * without enough history or before the first token. */
double lc_straggler_move_gain_seconds (const LcLengthHistogram *lengths,
                                       const LcPace *pace,
                                       const LcSampleProgress *progress,
                                       double idle_weight,
                                       LbTime now);
/* Expected number of tokens that are discarded if the sample is hedged. */
int64_t lc_straggler_hedge_cost_tokens (const LcLengthHistogram *lengths,
                                        const LcPace *pace,
                                        const LcSampleProgress *progress,
                                        LbTime now);

#endif
