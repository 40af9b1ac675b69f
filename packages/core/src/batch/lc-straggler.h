#ifndef LC_STRAGGLER_H
#define LC_STRAGGLER_H

#include "lb-types.h"

/* Predictions of how long samples get, from those that ended, and the choice of which to hedge. */

#define LC_LENGTH_BUCKETS 192

/* Lengths of a trainer's ended samples, in tokens. Older steps fade, so that a model that learns to
 * answer at other length is followed. */
typedef struct
{
  double buckets[LC_LENGTH_BUCKETS]; /* eight for each doubling */
  double count;
  double sum;
} LcLengthHistogram;

/* Lengths of a group's samples, ended or expected of those that run: siblings share their prompt.
 */
typedef struct
{
  int64_t count;
  double sum;
} LcGroupLengths;

/* How fast streams of a pool go, as seen by ended samples. */
typedef struct
{
  double tokens_per_second; /* 0: not known yet */
  double wait_seconds;      /* from submission to the first piece */
} LcPace;

/* A running sample as a candidate for a hedge. */
typedef struct
{
  int64_t tokens; /* so far */
  int64_t max_tokens;
  LbTime started_at;
  LbTime first_piece_at;           /* 0: none yet */
  double recent_seconds_per_token; /* of late; 0: not known, then the whole run counts */
} LcSampleProgress;

void lc_length_histogram_add (LcLengthHistogram *lengths, int64_t tokens);
/* Expected length of any sample, at most max_tokens. */
double lc_length_histogram_mean (const LcLengthHistogram *lengths, int64_t max_tokens);
/* Expected tokens still to come for a sample that has so many. */
double lc_length_histogram_expect_remaining (const LcLengthHistogram *lengths,
                                             int64_t tokens,
                                             int64_t max_tokens);
double lc_length_histogram_predict (const LcLengthHistogram *lengths,
                                    const LcGroupLengths *group,
                                    int64_t max_tokens);

void lc_pace_add (LcPace *pace, int64_t tokens, LbTime waited, LbTime streamed);
/* Seconds that a new sample of so many tokens is expected to take. */
double lc_pace_expected_seconds (const LcPace *pace, double tokens);

/* Seconds that the running sample is expected to need longer than a second generation of it from
 * the start would, where idle time counts by idle_weight (0..1); 0 or less: do not hedge. It is
 * never the length of a sample that makes it worth a hedge, only the pace of its endpoint: drawing
 * long samples again until a short one comes would teach the trainer's model to be short. */
double lc_straggler_hedge_gain_seconds (const LcLengthHistogram *lengths,
                                        const LcPace *pace,
                                        const LcSampleProgress *progress,
                                        double idle_weight,
                                        LbTime now);
/* The same for going on elsewhere from the tokens that it has. */
double lc_straggler_move_gain_seconds (const LcLengthHistogram *lengths,
                                       const LcPace *pace,
                                       const LcSampleProgress *progress,
                                       double idle_weight,
                                       LbTime now);
/* Tokens that are expected to be thrown away if this one is hedged. */
int64_t lc_straggler_hedge_cost_tokens (const LcLengthHistogram *lengths,
                                        const LcPace *pace,
                                        const LcSampleProgress *progress,
                                        LbTime now);

#endif
