#include "lc-straggler.h"

#include <math.h>

#define BUCKETS_PER_DOUBLING 8
/* About the last four steps of 2,048 samples. */
#define MAX_HISTORY_SAMPLES 8192
/* Weight of the trainer's mean length against the samples of the group. */
#define PRIOR_SAMPLES 1.0
#define PACE_SMOOTHING 0.1
/* Ended samples that a prediction needs at least. */
#define MIN_HISTORY_SAMPLES 8
/* A sample without a first piece counts as stuck after this time plus so many mean waits. A shorter
 * delay may only mean that it waits for a slot. */
#define STUCK_SECONDS 2.0
#define STUCK_WAIT_FACTOR 4.0
/* The rate is not measured on fewer tokens. */
#define MIN_RATE_TOKENS 8
/* Tokens that may have been generated beyond those received, since engines send several in one
 * piece. */
#define MAX_UNSEEN_TOKENS 32
/* A second generation must be expected to be this much faster even where only idle time counts. */
#define MIN_SAFETY_FACTOR 1.5

static size_t
find_bucket (int64_t tokens)
{
  size_t bucket = (size_t)(BUCKETS_PER_DOUBLING * log2 ((double)tokens + 1));

  return bucket < LC_LENGTH_BUCKETS ? bucket : LC_LENGTH_BUCKETS - 1;
}

static double
get_bucket_middle (size_t bucket)
{
  return exp2 (((double)bucket + 0.5) / BUCKETS_PER_DOUBLING) - 1;
}

static void
halve_weights (LcLengthHistogram *lengths)
{
  for (size_t i = 0; i < LC_LENGTH_BUCKETS; i++)
    lengths->buckets[i] /= 2;
  lengths->count /= 2;
  lengths->sum /= 2;
}

void
lc_length_histogram_add (LcLengthHistogram *lengths, int64_t tokens)
{
  if (lengths->count >= MAX_HISTORY_SAMPLES)
    halve_weights (lengths);
  lengths->buckets[find_bucket (tokens)]++;
  lengths->count++;
  lengths->sum += (double)tokens;
}

double
lc_length_histogram_mean (const LcLengthHistogram *lengths, int64_t max_tokens)
{
  if (lengths->count < 1)
    return (double)max_tokens / 2;
  return fmin (lengths->sum / lengths->count, (double)max_tokens);
}

/* The mean over the ended samples that were longer. If none was, the sample is the longest so far,
 * and it is expected to double its length, within max_tokens. */
double
lc_length_histogram_estimate_remaining (const LcLengthHistogram *lengths,
                                        int64_t tokens,
                                        int64_t max_tokens)
{
  double sum = 0;
  double count = 0;
  double max_remaining = fmax ((double)(max_tokens - tokens), 1);

  for (size_t i = find_bucket (tokens) + 1; i < LC_LENGTH_BUCKETS; i++)
    {
      sum += get_bucket_middle (i) * lengths->buckets[i];
      count += lengths->buckets[i];
    }
  if (count > 0)
    return fmin (sum / count - (double)tokens, max_remaining);
  return fmin (fmax ((double)tokens, lc_length_histogram_mean (lengths, max_tokens)),
               max_remaining);
}

double
lc_length_histogram_predict_for_group (const LcLengthHistogram *lengths,
                                       const LcGroupLengths *group,
                                       int64_t max_tokens)
{
  double mean = lc_length_histogram_mean (lengths, max_tokens);

  return (group->sum + PRIOR_SAMPLES * mean) / ((double)group->count + PRIOR_SAMPLES);
}

static double
update_average (double average, double sample)
{
  return average == 0 ? sample : average + PACE_SMOOTHING * (sample - average);
}

void
lc_pace_add_sample (LcPace *pace, int64_t tokens, LbTime waited, LbTime streamed)
{
  pace->wait_seconds = update_average (pace->wait_seconds, (double)waited / LB_SEC);
  if (tokens >= MIN_RATE_TOKENS && streamed > 0)
    pace->tokens_per_second
        = update_average (pace->tokens_per_second, (double)tokens * LB_SEC / streamed);
}

double
lc_pace_expected_seconds (const LcPace *pace, double tokens)
{
  if (pace->tokens_per_second <= 0)
    return 0;
  return pace->wait_seconds + tokens / pace->tokens_per_second;
}

static double
estimate_rate (const LcPace *pace, const LcSampleProgress *progress, LbTime now)
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
expect_seconds_to_regenerate (const LcLengthHistogram *lengths,
                              const LcPace *pace,
                              const LcSampleProgress *progress)
{
  double remaining
      = lc_length_histogram_estimate_remaining (lengths, progress->tokens, progress->max_tokens);

  return lc_pace_expected_seconds (pace, (double)progress->tokens + remaining);
}

static double
expect_seconds_remaining (const LcLengthHistogram *lengths,
                          const LcPace *pace,
                          const LcSampleProgress *progress,
                          LbTime now)
{
  double waited = (double)(now - progress->started_at) / LB_SEC;
  double overdue = waited - STUCK_SECONDS - STUCK_WAIT_FACTOR * pace->wait_seconds;

  if (progress->first_piece_at == 0)
    return expect_seconds_to_regenerate (lengths, pace, progress) * (overdue > 0 ? 2 + overdue : 1);
  return lc_length_histogram_estimate_remaining (lengths, progress->tokens, progress->max_tokens)
         / estimate_rate (pace, progress, now);
}

static double
get_safety_factor (double idle_weight)
{
  return MIN_SAFETY_FACTOR + (1.0 - idle_weight);
}

static bool
has_enough_history (const LcLengthHistogram *lengths, const LcPace *pace)
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
  if (!has_enough_history (lengths, pace))
    return 0;
  return expect_seconds_remaining (lengths, pace, progress, now)
         - get_safety_factor (idle_weight) * expect_seconds_to_regenerate (lengths, pace, progress);
}

/* The sample has waited for a slot once; at the same urgency it does not wait longer now. The mean
 * wait over all samples is mostly that of the short ones, which are served last. */
static double
expect_wait_seconds (const LcPace *pace, const LcSampleProgress *progress)
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
  if (!has_enough_history (lengths, pace) || progress->tokens == 0)
    return 0;

  double remaining
      = lc_length_histogram_estimate_remaining (lengths, progress->tokens, progress->max_tokens);
  return expect_seconds_remaining (lengths, pace, progress, now)
         - expect_wait_seconds (pace, progress)
         - get_safety_factor (idle_weight) * remaining / pace->tokens_per_second;
}

/* The original continues until the hedge is complete; its tokens are then discarded. */
int64_t
lc_straggler_hedge_cost_tokens (const LcLengthHistogram *lengths,
                                const LcPace *pace,
                                const LcSampleProgress *progress,
                                LbTime now)
{
  double tokens_meanwhile = estimate_rate (pace, progress, now)
                            * expect_seconds_to_regenerate (lengths, pace, progress);

  return progress->tokens + (int64_t)(progress->first_piece_at ? tokens_meanwhile : 0);
}
