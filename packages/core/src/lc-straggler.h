#ifndef LC_STRAGGLER_H
#define LC_STRAGGLER_H

#include "lb-types.h"

/* Predictions of how long samples get, from those that ended, and the choice of which to hedge. */

#define LC_LENGTH_BUCKETS 64

/* Lengths of the ended samples of a step, in tokens. */
typedef struct
{
  int64_t longest; /* max_tokens of the step */
  int64_t buckets[LC_LENGTH_BUCKETS];
  int64_t count;
  int64_t sum;
} LcLengths;

/* Lengths of a group's samples, ended or so far: siblings share their prompt. */
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
  LbTime started;
  LbTime first_piece; /* 0: none yet */
} LcProgress;

void lc_lengths_init (LcLengths *lengths, int64_t longest);
void lc_lengths_add (LcLengths *lengths, int64_t tokens);
double lc_lengths_mean (const LcLengths *lengths);
/* Expected tokens still to come for a sample that has so many. */
double lc_lengths_remaining (const LcLengths *lengths, int64_t tokens);
double lc_lengths_predict (const LcLengths *lengths, const LcGroupLengths *group);

void lc_pace_add (LcPace *pace, int64_t tokens, LbTime waited, LbTime streamed);
/* Seconds that a new sample of so many tokens is expected to take. */
double lc_pace_seconds (const LcPace *pace, double tokens);

/* Seconds that waiting for the running sample is expected to cost more than a second generation of
 * it, where idle time counts by idle_weight (0..1); 0 or less: do not hedge. */
double lc_straggler_gain (const LcLengths *lengths,
                          const LcPace *pace,
                          const LcProgress *progress,
                          double idle_weight,
                          LbTime now);
/* Tokens that are expected to be thrown away if this one is hedged. */
int64_t
lc_straggler_cost (const LcLengths *lengths, const LcPace *pace, const LcProgress *progress);

#endif
