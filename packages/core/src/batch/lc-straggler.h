#ifndef LC_STRAGGLER_H
#define LC_STRAGGLER_H

#include "lb-types.h"

/* Predicts the length of samples from those that have ended, and decides which running samples to
 * hedge or to move. */

#define LC_LENGTH_BUCKETS 192

/* Lengths of a trainer's ended samples, in tokens. The weights of older samples decay, so that it
 * follows a model whose answers get longer or shorter. */
typedef struct
{
  double buckets[LC_LENGTH_BUCKETS]; /* eight for each doubling of the length */
  double count;
  double sum;
} LcLengthHistogram;

/* Lengths of a group's samples, which share a prompt: actual ones of ended samples, expected ones
 * of running samples. */
typedef struct
{
  int64_t count;
  double sum;
} LcGroupLengths;

/* Speed of a pool's streams, as measured on ended samples. */
typedef struct
{
  double tokens_per_second; /* 0: not known yet */
  double wait_seconds;      /* time from submission to the first piece */
} LcPace;

typedef struct
{
  int64_t tokens; /* generated so far */
  int64_t max_tokens;
  LbTime started_at;
  LbTime first_piece_at;           /* 0: none yet */
  double recent_seconds_per_token; /* 0: not known; the mean of the whole stream is used */
} LcSampleProgress;

void lc_length_histogram_add (LcLengthHistogram *lengths, int64_t tokens);
/* Mean length, at most max_tokens; half of max_tokens while no sample has ended. */
double lc_length_histogram_mean (const LcLengthHistogram *lengths, int64_t max_tokens);
/* Expected tokens still to come for a sample that has so many. */
double lc_length_histogram_estimate_remaining (const LcLengthHistogram *lengths,
                                               int64_t tokens,
                                               int64_t max_tokens);
double lc_length_histogram_predict_for_group (const LcLengthHistogram *lengths,
                                              const LcGroupLengths *group,
                                              int64_t max_tokens);

void lc_pace_add_sample (LcPace *pace, int64_t tokens, LbTime waited, LbTime streamed);
/* Expected time of a new sample of so many tokens. */
double lc_pace_expected_seconds (const LcPace *pace, double tokens);

/* How many seconds later than a second generation from the start the running sample is expected to
 * end, where the trainer's idle time counts by idle_weight (0..1); 0 or less: do not hedge. Only
 * the pace of its endpoint makes a sample worth a hedge, never its length: generating long samples
 * again until a short one comes would teach the trainer's model to be short. */
double lc_straggler_hedge_gain_seconds (const LcLengthHistogram *lengths,
                                        const LcPace *pace,
                                        const LcSampleProgress *progress,
                                        double idle_weight,
                                        LbTime now);
/* Seconds by which the running sample is expected to end earlier if another endpoint continues it,
 * where the time to generate the rest there is multiplied by a safety factor; 0 or less: do not
 * move. 0 without enough history or before the first token. */
double lc_straggler_move_gain_seconds (const LcLengthHistogram *lengths,
                                       const LcPace *pace,
                                       const LcSampleProgress *progress,
                                       double idle_weight,
                                       LbTime now);
/* Tokens that are expected to be discarded if the sample is hedged. */
int64_t lc_straggler_hedge_cost_tokens (const LcLengthHistogram *lengths,
                                        const LcPace *pace,
                                        const LcSampleProgress *progress,
                                        LbTime now);

#endif
