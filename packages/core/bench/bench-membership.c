/* Compares methods of failure detection between instances. Measures the bytes per second that one
 * instance sends and receives, with TCP and IP headers, and the time from the silent failure of an
 * instance until the others no longer list it. Runs the real detectors, membership and frame
 * encoding in virtual time. */

#include "fake-peers.h"

#include "lb-alloc.h"
#include "lc-detector.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL (100 * LB_MSEC)
/* limit for all control traffic of one instance, sent and received */
#define TRAFFIC_BUDGET_BYTES_PER_SECOND 14000.0
#define N_FAILURE_TRIALS 20
#define MIN_SECONDS_BEFORE_FAILURE 60
#define MIN_HEARTBEAT_PERIOD (500 * LB_MSEC)
#define MAX_HEARTBEAT_PERIOD (30 * LB_SEC)

static const size_t cluster_sizes[] = { 10, 100, 350 };

typedef struct
{
  double *values;
  size_t count;
  size_t allocated;
} Samples;

static void
append_sample_value (Samples *samples, double value)
{
  if (samples->count == samples->allocated)
    {
      samples->allocated = 2 * samples->allocated + 64;
      samples->values = lb_realloc (samples->values, samples->allocated * sizeof *samples->values);
    }
  samples->values[samples->count++] = value;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a, right = *(const double *)b;

  return (left > right) - (left < right);
}

static void
print_detection_method_row (const char *method, size_t n_members, double bytes, Samples *samples)
{
  double sum = 0;

  qsort (samples->values, samples->count, sizeof *samples->values, compare_doubles);
  for (size_t i = 0; i < samples->count; i++)
    sum += samples->values[i];
  printf ("%-28s %7zu %12.0f %9.2f %9.2f %9.2f\n", method, n_members, bytes,
          sum / (double)samples->count, samples->values[samples->count * 99 / 100],
          samples->values[samples->count - 1]);
  free (samples->values);
  *samples = (Samples){ 0 };
}

/* Returns the bytes of a ping and its pong, with TCP and IP headers. */
static double
compute_heartbeat_round_trip_bytes (void)
{
  LwMessage ping = { .type = LW_PING, .digest = UINT64_MAX };
  LwMessage pong = { .type = LW_PONG, .digest = UINT64_MAX };

  return (double)(fake_peers_message_bytes (&ping) + fake_peers_message_bytes (&pong));
}

/* Simulates heartbeats over one connection until the peer becomes unreachable. Returns the seconds
 * from this failure to the tick at which the detector reports it. */
static double
simulate_failure_detection_seconds (LbTime period, gsl_rng *rng)
{
  LcDetector detector;
  LbTime phase = (LbTime)gsl_rng_uniform_int (rng, (unsigned long)period);
  LbTime fails_at = MIN_SECONDS_BEFORE_FAILURE * LB_SEC + 10 * period
                    + (LbTime)gsl_rng_uniform_int (rng, (unsigned long)period);

  lc_detector_init (&detector, period, phase);
  for (LbTime sent = phase; sent < fails_at; sent += period)
    lc_detector_record_arrival (&detector, sent + 1000 + (LbTime)gsl_rng_uniform_int (rng, 2000));
  LbTime detected_at
      = (lc_detector_deadline (&detector) + TICK_INTERVAL - 1) / TICK_INTERVAL * TICK_INTERVAL;
  return (double)(detected_at - fails_at) / LB_SEC;
}

static void
bench_all_pairs_heartbeats (size_t n_members, LbTime period, gsl_rng *rng)
{
  Samples samples = { 0 };
  char method[64];

  for (size_t i = 0; i < N_FAILURE_TRIALS * (n_members - 1); i++)
    append_sample_value (&samples, simulate_failure_detection_seconds (period, rng));
  snprintf (method, sizeof method, "all pairs, %.1f s", (double)period / LB_SEC);
  print_detection_method_row (method, n_members,
                              (double)(n_members - 1) * compute_heartbeat_round_trip_bytes ()
                                  * LB_SEC / (double)period,
                              &samples);
}

/* Returns a heartbeat period in proportion to the number of members, between 0.5 and 30 s. Every
 * instance monitors all others and is monitored by them: the heartbeats that an instance sends and
 * those that it answers may each use half of its traffic budget. */
static LbTime
compute_self_regulating_heartbeat_period (size_t n_members)
{
  double capacity = TRAFFIC_BUDGET_BYTES_PER_SECOND / 2 / compute_heartbeat_round_trip_bytes ();
  LbTime period = (LbTime)((double)(n_members - 1) / capacity * LB_SEC);

  if (period < MIN_HEARTBEAT_PERIOD)
    return MIN_HEARTBEAT_PERIOD;
  return period > MAX_HEARTBEAT_PERIOD ? MAX_HEARTBEAT_PERIOD : period;
}

static void
bench_self_regulating_heartbeats (size_t n_members, gsl_rng *rng)
{
  LbTime period = compute_self_regulating_heartbeat_period (n_members);
  Samples samples = { 0 };

  for (size_t i = 0; i < N_FAILURE_TRIALS * (n_members - 1); i++)
    append_sample_value (&samples, simulate_failure_detection_seconds (period, rng));
  print_detection_method_row ("self-regulating period", n_members,
                              2 * (double)(n_members - 1) * compute_heartbeat_round_trip_bytes ()
                                  * LB_SEC / (double)period,
                              &samples);
}

/* Simulates growth from 10 to 350 members. A new heartbeat period takes effect for each monitored
 * instance at its next heartbeat. Prints the largest number of bytes in one second. */
static void
bench_self_regulating_heartbeats_in_growing_cluster (size_t joins_per_second)
{
  const size_t final_members = 350;
  LbTime *next = LB_NEW_ARRAY (LbTime, final_members);
  size_t n_members = 10;
  double largest = 0;

  for (size_t second = 0; second < 120; second++)
    {
      double bytes = 0;
      for (LbTime now = (LbTime)second * LB_SEC; now < (LbTime)(second + 1) * LB_SEC;
           now += TICK_INTERVAL)
        for (size_t i = 1; i < n_members; i++)
          if (next[i] <= now)
            {
              bytes += 2 * compute_heartbeat_round_trip_bytes ();
              next[i] = now + compute_self_regulating_heartbeat_period (n_members);
            }
      largest = bytes > largest ? bytes : largest;
      for (size_t join = 0; join < joins_per_second && n_members < final_members; join++)
        next[n_members++] = (LbTime)(second + 1) * LB_SEC;
    }
  printf (
      "self-regulating period, 10 to 350 members at %zu joins/s: at most %.0f bytes in a second, "
      "%.2f of the budget\n",
      joins_per_second, largest, largest / TRAFFIC_BUDGET_BYTES_PER_SECOND);
  free (next);
}

static FakePeers *
start_converged_cluster (size_t n_members, size_t n_rings, uint64_t seed)
{
  LcMembershipSettings settings = lc_membership_settings_default ();

  settings.n_rings = n_rings;
  FakePeers *peers = fake_peers_new (n_members, &settings, seed);
  fake_peers_start_instance (peers, 0);
  for (size_t i = 1; i < n_members; i++)
    {
      fake_peers_run_until (peers, fake_peers_now (peers) + 50 * LB_MSEC);
      fake_peers_start_instance (peers, i);
    }
  fake_peers_run_until (peers, fake_peers_now (peers) + 60 * LB_SEC);
  if (fake_peers_count_converged_instances (peers) != n_members)
    printf ("only %zu of %zu instances agree\n", fake_peers_count_converged_instances (peers),
            n_members);
  return peers;
}

static double
get_largest_instance_bytes_per_second (const FakePeers *peers, size_t n_members, double seconds)
{
  int64_t largest = 0;

  for (size_t i = 0; i < n_members; i++)
    if (fake_peers_traffic_bytes (peers, i) > largest)
      largest = fake_peers_traffic_bytes (peers, i);
  return (double)largest / seconds;
}

static double
measure_steady_bytes_per_second (FakePeers *peers, size_t n_members)
{
  fake_peers_reset_traffic_bytes (peers);
  fake_peers_run_until (peers, fake_peers_now (peers) + 20 * LB_SEC);
  return get_largest_instance_bytes_per_second (peers, n_members, 20);
}

/* Makes the subject unreachable. Adds to samples, for each other member, the seconds until it no
 * longer lists the subject; 99 if it still does after 4 s. */
static void
measure_unlisting_times (FakePeers *peers, size_t n_members, size_t subject, Samples *samples)
{
  bool *is_unlisted = LB_NEW_ARRAY (bool, n_members);
  LbTime failed_at = fake_peers_now (peers);

  fake_peers_set_instance_state (peers, subject, FAKE_UNREACHABLE);
  for (int step = 1; step <= 200; step++)
    {
      fake_peers_run_until (peers, failed_at + step * 20 * LB_MSEC);
      for (size_t i = 0; i < n_members; i++)
        if (i != subject && !is_unlisted[i] && !fake_peers_is_listed (peers, i, subject))
          {
            is_unlisted[i] = true;
            append_sample_value (samples, step * 0.02);
          }
    }
  for (size_t i = 0; i < n_members; i++)
    if (i != subject && !is_unlisted[i])
      append_sample_value (samples, 99);
  free (is_unlisted);
}

static void
bench_successor_rings (size_t n_members, size_t n_rings, uint64_t seed, gsl_rng *rng)
{
  FakePeers *peers = start_converged_cluster (n_members, n_rings, seed);
  double rate = measure_steady_bytes_per_second (peers, n_members);
  Samples samples = { 0 };
  char method[64];

  for (int trial = 0; trial < N_FAILURE_TRIALS; trial++)
    {
      size_t subject = 1 + gsl_rng_uniform_int (rng, n_members - 1);
      fake_peers_run_until (peers, fake_peers_now (peers)
                                       + (LbTime)gsl_rng_uniform_int (rng, (unsigned long)LB_SEC));
      measure_unlisting_times (peers, n_members, subject, &samples);
      fake_peers_start_instance (peers, subject);
      fake_peers_run_until (peers, fake_peers_now (peers) + 5 * LB_SEC);
    }
  snprintf (method, sizeof method, "%zu successors on rings", n_rings);
  print_detection_method_row (method, n_members, rate, &samples);
  fake_peers_free (peers);
}

/* Measures the traffic while a partition separates a third of all instances, one data centre, and
 * after the partition ends two minutes later. */
static void
bench_data_centre_loss (size_t n_members, uint64_t seed)
{
  FakePeers *peers = start_converged_cluster (n_members, 3, seed);
  double largest[2] = { 0 };

  for (int phase = 0; phase < 2; phase++)
    {
      for (size_t i = 0; i < n_members; i += 3)
        fake_peers_set_partition_group (peers, i, phase == 0);
      LbTime started_at = fake_peers_now (peers);
      LbTime agreed_after = 0;
      for (int second = 1; second <= 60; second++)
        {
          fake_peers_reset_traffic_bytes (peers);
          fake_peers_run_until (peers, started_at + second * LB_SEC);
          double rate = get_largest_instance_bytes_per_second (peers, n_members, 1);
          largest[phase] = rate > largest[phase] ? rate : largest[phase];
          if (phase == 1 && !agreed_after
              && fake_peers_count_converged_instances (peers) == n_members)
            agreed_after = fake_peers_now (peers) - started_at;
        }
      if (phase == 1)
        printf ("a third of %zu members cut off: at most %.0f bytes in a second of one instance; "
                "back: at most %.0f, all agree after %.0f s\n",
                n_members, largest[0], largest[1], (double)agreed_after / LB_SEC);
      fake_peers_run_until (peers, fake_peers_now (peers) + 60 * LB_SEC);
    }
  fake_peers_free (peers);
}

static void
bench_all_detection_methods (uint64_t seed, gsl_rng *rng)
{
  printf ("heartbeat and answer: %.0f bytes\n", compute_heartbeat_round_trip_bytes ());
  printf ("%-28s %7s %12s %9s %9s %9s\n", "way", "members", "bytes/s", "mean s", "p99 s", "max s");
  for (size_t i = 0; i < sizeof cluster_sizes / sizeof *cluster_sizes; i++)
    {
      bench_all_pairs_heartbeats (cluster_sizes[i], 500 * LB_MSEC, rng);
      bench_all_pairs_heartbeats (cluster_sizes[i], LB_SEC, rng);
      bench_self_regulating_heartbeats (cluster_sizes[i], rng);
      for (size_t n_rings = 2; n_rings <= 4; n_rings++)
        bench_successor_rings (cluster_sizes[i], n_rings, seed, rng);
      fflush (stdout);
    }
  bench_self_regulating_heartbeats_in_growing_cluster (1);
  bench_self_regulating_heartbeats_in_growing_cluster (10);
  bench_self_regulating_heartbeats_in_growing_cluster (50);
}

/* Arguments: random seed, 1 by default; "ways" to run only the comparison of the methods, or
 * "region" to run only the loss of a data centre. */
int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;
  const char *part = argc > 2 ? argv[2] : "";
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);

  gsl_rng_set (rng, (unsigned long)seed);
  if (strcmp (part, "region") != 0)
    bench_all_detection_methods (seed, rng);
  if (strcmp (part, "ways") != 0)
    bench_data_centre_loss (350, seed);
  gsl_rng_free (rng);
  return 0;
}
