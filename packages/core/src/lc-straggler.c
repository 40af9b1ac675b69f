#include "lc-straggler.h"

#include <string.h>

/* Weight of the step's mean against the group's own samples. */
#define PRIOR_SAMPLES 1.0
#define PACE_SMOOTHING 0.1
/* Fewer ended samples than this say nothing of the tail. */
#define LENGTHS_ENOUGH 8
/* Without a first piece for so long, beyond what is usual, a sample counts as stuck; less may only
 * mean that it waits for a place. */
#define STUCK_SECONDS 2.0
#define STUCK_WAITS 4.0
/* A rate is not judged by fewer tokens than this. */
#define RATE_TOKENS 8

void
lc_lengths_init (LcLengths *lengths, int64_t longest)
{
  memset (lengths, 0, sizeof *lengths);
  lengths->longest = longest > 0 ? longest : 1;
}

static size_t
bucket_of (const LcLengths *lengths, int64_t tokens)
{
  int64_t bucket = tokens * LC_LENGTH_BUCKETS / (lengths->longest + 1);

  return (size_t)(bucket < LC_LENGTH_BUCKETS ? bucket : LC_LENGTH_BUCKETS - 1);
}

void
lc_lengths_add (LcLengths *lengths, int64_t tokens)
{
  lengths->buckets[bucket_of (lengths, tokens)]++;
  lengths->count++;
  lengths->sum += tokens;
}

/* Half of the allowed length until samples have ended. */
double
lc_lengths_mean (const LcLengths *lengths)
{
  if (lengths->count == 0)
    return (double)lengths->longest / 2;
  return (double)lengths->sum / (double)lengths->count;
}

static double
bucket_middle (const LcLengths *lengths, size_t bucket)
{
  return ((double)bucket + 0.5) * (double)(lengths->longest + 1) / LC_LENGTH_BUCKETS;
}

/* The mean over ended samples that were longer; when none was, the sample is the longest so far and
 * is expected to go as far again, as far as it may. */
double
lc_lengths_remaining (const LcLengths *lengths, int64_t tokens)
{
  double sum = 0;
  int64_t count = 0;
  double room = (double)(lengths->longest - tokens);

  if (room < 1)
    return 1;
  for (size_t i = bucket_of (lengths, tokens) + 1; i < LC_LENGTH_BUCKETS; i++)
    {
      sum += bucket_middle (lengths, i) * (double)lengths->buckets[i];
      count += lengths->buckets[i];
    }
  if (count > 0)
    return sum / (double)count - (double)tokens;

  double mean = lc_lengths_mean (lengths);
  double guess = (double)tokens > mean ? (double)tokens : mean;
  return guess < room ? guess : room;
}

double
lc_lengths_predict (const LcLengths *lengths, const LcGroupLengths *group)
{
  double mean = lc_lengths_mean (lengths);

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
lc_pace_seconds (const LcPace *pace, double tokens)
{
  if (pace->tokens_per_second <= 0)
    return 0;
  return pace->wait_seconds + tokens / pace->tokens_per_second;
}

static double
own_rate (const LcPace *pace, const LcProgress *progress, LbTime now)
{
  LbTime streamed = now - progress->first_piece;

  if (progress->first_piece == 0 || progress->tokens < RATE_TOKENS || streamed <= 0)
    return pace->tokens_per_second;
  return (double)progress->tokens * LB_SEC / streamed;
}

static double
seconds_left (const LcLengths *lengths, const LcPace *pace, const LcProgress *progress, LbTime now)
{
  double left = lc_lengths_remaining (lengths, progress->tokens);
  double waited = (double)(now - progress->started) / LB_SEC;
  double overdue = waited - STUCK_SECONDS - STUCK_WAITS * pace->wait_seconds;

  if (progress->first_piece == 0)
    return lc_pace_seconds (pace, lc_lengths_mean (lengths)) * (overdue > 0 ? 2 + overdue : 1);
  return left / own_rate (pace, progress, now);
}

double
lc_straggler_gain (const LcLengths *lengths,
                   const LcPace *pace,
                   const LcProgress *progress,
                   double idle_weight,
                   LbTime now)
{
  if (lengths->count < LENGTHS_ENOUGH || pace->tokens_per_second <= 0)
    return 0;

  double again = lc_pace_seconds (pace, lc_lengths_mean (lengths));
  double margin = 1.0 + (1.0 - idle_weight);
  return seconds_left (lengths, pace, progress, now) - margin * again;
}

int64_t
lc_straggler_cost (const LcLengths *lengths, const LcPace *pace, const LcProgress *progress)
{
  double mean = lc_lengths_mean (lengths);
  double meanwhile = pace->tokens_per_second * pace->wait_seconds + mean;
  double original = (double)progress->tokens + meanwhile;

  return (int64_t)(original > mean ? original : mean);
}
