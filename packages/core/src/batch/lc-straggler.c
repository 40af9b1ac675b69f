#include "lc-straggler.h"

#include <math.h>

#define BUCKETS_PER_DOUBLING 8
/* The sum of the sample weights in a histogram at which all weights are halved; equals about four
 * steps of 2,048 samples. */
#define MAX_HISTORY_SAMPLES 8192
/* The mean length over all groups counts as this many samples in the prediction for one group. */
#define PRIOR_SAMPLES 1.0
#define PACE_SMOOTHING_FACTOR 0.1
/* Minimum number of ended samples to decide on hedges and moves. */
#define MIN_HISTORY_SAMPLES 8
/* A sample without a first piece counts as stuck after STUCK_SECONDS plus STUCK_WAIT_FACTOR times
 * the mean wait for a first piece. Until then it may only be queued for an engine. */
#define STUCK_SECONDS 2.0
#define STUCK_WAIT_FACTOR 4.0
/* Minimum number of tokens in a sample to measure a token rate. */
#define MIN_RATE_TOKENS 8
/* Maximum number of tokens that an engine may have generated but not yet sent, since engines send
 * several tokens in one piece. */
#define MAX_UNSEEN_TOKENS 32
/* A hedge or a move must be expected to be faster by this factor even if only the trainer's idle
 * time counts. */
#define MIN_SAFETY_FACTOR 1.5

static size_t
find_length_bucket (int64_t tokens)
{
  size_t bucket = (size_t)(BUCKETS_PER_DOUBLING * log2 ((double)tokens + 1));

  return bucket < LC_LENGTH_BUCKETS ? bucket : LC_LENGTH_BUCKETS - 1;
}

static double
get_bucket_middle_tokens (size_t bucket)
{
  return exp2 (((double)bucket + 0.5) / BUCKETS_PER_DOUBLING) - 1;
}

static void
halve_sample_weights (LcLengthHistogram *lengths)
{
  for (size_t i = 0; i < LC_LENGTH_BUCKETS; i++)
    lengths->buckets[i] /= 2;
  lengths->count /= 2;
  lengths->sum /= 2;
}

void
lc_length_histogram_add_sample_length (LcLengthHistogram *lengths, int64_t tokens)
{
  if (lengths->count >= MAX_HISTORY_SAMPLES)
    halve_sample_weights (lengths);
  lengths->buckets[find_length_bucket (tokens)]++;
  lengths->count++;
  lengths->sum += (double)tokens;
}

double
lc_length_histogram_mean_sample_length (const LcLengthHistogram *lengths, int64_t max_tokens)
{
  if (lengths->count < 1)
    return (double)max_tokens / 2;
  return fmin (lengths->sum / lengths->count, (double)max_tokens);
}

/* Returns the mean remaining length of the ended samples that were longer than `tokens`. If there
 * are none, the sample is expected to double its length, or to grow by the mean length if that is
 * more, up to max_tokens. */
double
lc_length_histogram_estimate_remaining_tokens (const LcLengthHistogram *lengths,
                                               int64_t tokens,
                                               int64_t max_tokens)
{
  double sum = 0;
  double count = 0;
  double max_remaining = fmax ((double)(max_tokens - tokens), 1);

  for (size_t i = find_length_bucket (tokens) + 1; i < LC_LENGTH_BUCKETS; i++)
    {
      sum += get_bucket_middle_tokens (i) * lengths->buckets[i];
      count += lengths->buckets[i];
    }
  if (count > 0)
    return fmin (sum / count - (double)tokens, max_remaining);
  return fmin (fmax ((double)tokens, lc_length_histogram_mean_sample_length (lengths, max_tokens)),
               max_remaining);
}

double
lc_length_histogram_predict_group_sample_length (const LcLengthHistogram *lengths,
                                                 const LcGroupLengths *group,
                                                 int64_t max_tokens)
{
  double mean = lc_length_histogram_mean_sample_length (lengths, max_tokens);

  return (group->sum + PRIOR_SAMPLES * mean) / ((double)group->count + PRIOR_SAMPLES);
}

static double
update_moving_average (double average, double sample)
{
  return average == 0 ? sample : average + PACE_SMOOTHING_FACTOR * (sample - average);
}

void
lc_pace_add_sample (LcPace *pace, int64_t tokens, LbTime wait_time, LbTime stream_time)
{
  pace->wait_seconds = update_moving_average (pace->wait_seconds, (double)wait_time / LB_SEC);
  if (tokens >= MIN_RATE_TOKENS && stream_time > 0)
    pace->tokens_per_second
        = update_moving_average (pace->tokens_per_second, (double)tokens * LB_SEC / stream_time);
}

double
lc_pace_expected_generation_seconds (const LcPace *pace, double tokens)
{
  if (pace->tokens_per_second <= 0)
    return 0;
  return pace->wait_seconds + tokens / pace->tokens_per_second;
}

static double
estimate_sample_tokens_per_second (const LcPace *pace, const LcSampleProgress *progress, LbTime now)
{
  LbTime streamed = now - progress->first_piece_at;

  if (progress->first_piece_at == 0 || streamed <= 0)
    return pace->tokens_per_second;
  if (progress->recent_seconds_per_token > 0)
    return fmin (1 / progress->recent_seconds_per_token, pace->tokens_per_second);
  return fmin ((double)(progress->tokens + MAX_UNSEEN_TOKENS) * LB_SEC / streamed,
               pace->tokens_per_second);
}

static double
estimate_seconds_to_regenerate_sample (const LcLengthHistogram *lengths,
                                       const LcPace *pace,
                                       const LcSampleProgress *progress)
{
  double remaining = lc_length_histogram_estimate_remaining_tokens (lengths, progress->tokens,
                                                                    progress->max_tokens);

  return lc_pace_expected_generation_seconds (pace, (double)progress->tokens + remaining);
}

static double
estimate_seconds_to_finish_sample (const LcLengthHistogram *lengths,
                                   const LcPace *pace,
                                   const LcSampleProgress *progress,
                                   LbTime now)
{
  double waited = (double)(now - progress->started_at) / LB_SEC;
  double overdue = waited - STUCK_SECONDS - STUCK_WAIT_FACTOR * pace->wait_seconds;

  if (progress->first_piece_at == 0)
    return estimate_seconds_to_regenerate_sample (lengths, pace, progress)
           * (overdue > 0 ? 2 + overdue : 1);
  return lc_length_histogram_estimate_remaining_tokens (lengths, progress->tokens,
                                                        progress->max_tokens)
         / estimate_sample_tokens_per_second (pace, progress, now);
}

static double
get_hedge_or_move_safety_factor (double idle_weight)
{
  return MIN_SAFETY_FACTOR + (1.0 - idle_weight);
}

static bool
has_enough_history_for_estimates (const LcLengthHistogram *lengths, const LcPace *pace)
{
  return lengths->count >= MIN_HISTORY_SAMPLES && pace->tokens_per_second > 0;
}

double
lc_straggler_hedge_gain_seconds (const LcLengthHistogram *lengths,
                                 const LcPace *pace,
                                 const LcSampleProgress *progress,
                                 double idle_weight,
                                 LbTime now)
{
  if (!has_enough_history_for_estimates (lengths, pace))
    return 0;
  return estimate_seconds_to_finish_sample (lengths, pace, progress, now)
         - get_hedge_or_move_safety_factor (idle_weight)
               * estimate_seconds_to_regenerate_sample (lengths, pace, progress);
}

/* Expected wait for the first piece after a move. A moved sample keeps its priority, so it should
 * not wait longer than it did before the move. The mean wait alone would be too long, because most
 * samples are short and are served last. */
static double
estimate_wait_seconds_after_move (const LcPace *pace, const LcSampleProgress *progress)
{
  double waited = (double)(progress->first_piece_at - progress->started_at) / LB_SEC;

  return fmin (waited, pace->wait_seconds);
}

double
lc_straggler_move_gain_seconds (const LcLengthHistogram *lengths,
                                const LcPace *pace,
                                const LcSampleProgress *progress,
                                double idle_weight,
                                LbTime now)
{
  if (!has_enough_history_for_estimates (lengths, pace) || progress->tokens == 0)
    return 0;

  double remaining = lc_length_histogram_estimate_remaining_tokens (lengths, progress->tokens,
                                                                    progress->max_tokens);
  return estimate_seconds_to_finish_sample (lengths, pace, progress, now)
         - estimate_wait_seconds_after_move (pace, progress)
         - get_hedge_or_move_safety_factor (idle_weight) * remaining / pace->tokens_per_second;
}

/* Counts the tokens of the original request, which runs until the hedge is complete and whose
 * tokens are then discarded. */
int64_t
lc_straggler_hedge_cost_tokens (const LcLengthHistogram *lengths,
                                const LcPace *pace,
                                const LcSampleProgress *progress,
                                LbTime now)
{
  double tokens_meanwhile = estimate_sample_tokens_per_second (pace, progress, now)
                            * estimate_seconds_to_regenerate_sample (lengths, pace, progress);

  return progress->tokens + (int64_t)(progress->first_piece_at ? tokens_meanwhile : 0);
}
