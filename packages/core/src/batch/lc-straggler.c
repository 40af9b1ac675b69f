#include "lc-straggler.h"

#include <math.h>

#define BUCKETS_PER_DOUBLING 8
/* Lengths that are remembered: about the last four steps of 2,048 samples. */
#define LENGTHS_KEPT 8192
/* Weight of the trainer's mean against the group's own samples. */
#define PRIOR_SAMPLES 1.0
#define PACE_SMOOTHING 0.1
/* Fewer ended samples than this say nothing. */
#define LENGTHS_ENOUGH 8
/* Without a first piece for so long, beyond what is usual, a sample counts as stuck; less may only
 * mean that it waits for a place. */
#define STUCK_SECONDS 2.0
#define STUCK_WAITS 4.0
/* The pace is not learnt from fewer tokens than this. */
#define RATE_TOKENS 8
/* So many may be made beside those seen, since engines send several in one piece. */
#define UNSEEN_TOKENS 32
/* A second generation must be expected to be so much faster even where only idle time counts. */
#define MIN_MARGIN 1.5

static size_t
bucket_of (int64_t tokens)
{
  size_t bucket = (size_t)(BUCKETS_PER_DOUBLING * log2 ((double)tokens + 1));

  return bucket < LC_LENGTH_BUCKETS ? bucket : LC_LENGTH_BUCKETS - 1;
}

static double
bucket_middle (size_t bucket)
{
  return exp2 (((double)bucket + 0.5) / BUCKETS_PER_DOUBLING) - 1;
}

static void
fade (LcLengthHistogram *lengths)
{
  for (size_t i = 0; i < LC_LENGTH_BUCKETS; i++)
    lengths->buckets[i] /= 2;
  lengths->count /= 2;
  lengths->sum /= 2;
}

void
lc_length_histogram_add (LcLengthHistogram *lengths, int64_t tokens)
{
  if (lengths->count >= LENGTHS_KEPT)
    fade (lengths);
  lengths->buckets[bucket_of (tokens)]++;
  lengths->count++;
  lengths->sum += (double)tokens;
}

/* Half of the allowed length until samples have ended. */
double
lc_length_histogram_mean (const LcLengthHistogram *lengths, int64_t max_tokens)
{
  if (lengths->count < 1)
    return (double)max_tokens / 2;
  return fmin (lengths->sum / lengths->count, (double)max_tokens);
}

/* The mean over ended samples that were longer; when none was, the sample is the longest so far and
 * is expected to go as far again, as far as it may. */
double
lc_length_histogram_expect_remaining (const LcLengthHistogram *lengths,
                                      int64_t tokens,
                                      int64_t max_tokens)
{
  double sum = 0;
  double count = 0;
  double room = fmax ((double)(max_tokens - tokens), 1);

  for (size_t i = bucket_of (tokens) + 1; i < LC_LENGTH_BUCKETS; i++)
    {
      sum += bucket_middle (i) * lengths->buckets[i];
      count += lengths->buckets[i];
    }
  if (count > 0)
    return fmin (sum / count - (double)tokens, room);
  return fmin (fmax ((double)tokens, lc_length_histogram_mean (lengths, max_tokens)), room);
}

double
lc_length_histogram_predict (const LcLengthHistogram *lengths,
                             const LcGroupLengths *group,
                             int64_t max_tokens)
{
  double mean = lc_length_histogram_mean (lengths, max_tokens);

  return (group->sum + PRIOR_SAMPLES * mean) / ((double)group->count + PRIOR_SAMPLES);
}

static double
smooth (double old, double sample)
{
  return old == 0 ? sample : old + PACE_SMOOTHING * (sample - old);
}

void
lc_pace_add (LcPace *pace, int64_t tokens, LbTime waited, LbTime streamed)
{
  pace->wait_seconds = smooth (pace->wait_seconds, (double)waited / LB_SEC);
  if (tokens >= RATE_TOKENS && streamed > 0)
    pace->tokens_per_second = smooth (pace->tokens_per_second, (double)tokens * LB_SEC / streamed);
}

double
lc_pace_expected_seconds (const LcPace *pace, double tokens)
{
  if (pace->tokens_per_second <= 0)
    return 0;
  return pace->wait_seconds + tokens / pace->tokens_per_second;
}

static double
own_rate (const LcPace *pace, const LcSampleProgress *progress, LbTime now)
{
  LbTime streamed = now - progress->first_piece_at;

  if (progress->first_piece_at == 0 || streamed <= 0)
    return pace->tokens_per_second;
  if (progress->recent_seconds_per_token > 0)
    return fmin (1 / progress->recent_seconds_per_token, pace->tokens_per_second);
  return fmin ((double)(progress->tokens + UNSEEN_TOKENS) * LB_SEC / streamed,
               pace->tokens_per_second);
}

static double
seconds_again (const LcLengthHistogram *lengths,
               const LcPace *pace,
               const LcSampleProgress *progress)
{
  double left
      = lc_length_histogram_expect_remaining (lengths, progress->tokens, progress->max_tokens);

  return lc_pace_expected_seconds (pace, (double)progress->tokens + left);
}

static double
seconds_left (const LcLengthHistogram *lengths,
              const LcPace *pace,
              const LcSampleProgress *progress,
              LbTime now)
{
  double waited = (double)(now - progress->started_at) / LB_SEC;
  double overdue = waited - STUCK_SECONDS - STUCK_WAITS * pace->wait_seconds;

  if (progress->first_piece_at == 0)
    return seconds_again (lengths, pace, progress) * (overdue > 0 ? 2 + overdue : 1);
  return lc_length_histogram_expect_remaining (lengths, progress->tokens, progress->max_tokens)
         / own_rate (pace, progress, now);
}

static double
margin (double idle_weight)
{
  return MIN_MARGIN + (1.0 - idle_weight);
}

static bool
knows_enough (const LcLengthHistogram *lengths, const LcPace *pace)
{
  return lengths->count >= LENGTHS_ENOUGH && pace->tokens_per_second > 0;
}

double
lc_straggler_hedge_gain_seconds (const LcLengthHistogram *lengths,
                                 const LcPace *pace,
                                 const LcSampleProgress *progress,
                                 double idle_weight,
                                 LbTime now)
{
  if (!knows_enough (lengths, pace))
    return 0;
  return seconds_left (lengths, pace, progress, now)
         - margin (idle_weight) * seconds_again (lengths, pace, progress);
}

/* The sample waited for a place once; with the same urgency it waits no longer now. The mean over
 * all samples is mostly that of the short ones, which go last. */
static double
wait_again (const LcPace *pace, const LcSampleProgress *progress)
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
  if (!knows_enough (lengths, pace) || progress->tokens == 0)
    return 0;

  double left
      = lc_length_histogram_expect_remaining (lengths, progress->tokens, progress->max_tokens);
  return seconds_left (lengths, pace, progress, now) - wait_again (pace, progress)
         - margin (idle_weight) * left / pace->tokens_per_second;
}

/* The original goes on until the hedge is whole; then its tokens are lost. */
int64_t
lc_straggler_hedge_cost_tokens (const LcLengthHistogram *lengths,
                                const LcPace *pace,
                                const LcSampleProgress *progress,
                                LbTime now)
{
  double meanwhile = own_rate (pace, progress, now) * seconds_again (lengths, pace, progress);

  return progress->tokens + (int64_t)(progress->first_piece_at ? meanwhile : 0);
}
