#include "lc-endpoint-condition.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>

#define TOKEN_INTERVAL (20 * LB_MSEC)
#define NOISE_INTERVAL (600 * LB_MSEC)
#define NOISE_SHARE 0.15
#define NOISE_SLOWDOWN 2.5

/* Streams the tokens of one stream, from the time from until the time to. */
static void
stream_tokens (LcEndpointCondition *condition, LbTime interval, LbTime from, LbTime to)
{
  for (LbTime now = from + interval; now <= to; now += interval)
    lc_endpoint_condition_add_tokens (condition, 1, interval, now);
}

/* Streams with slowdowns of NOISE_SLOWDOWN in a share NOISE_SHARE of the intervals. */
static void
stream_with_noise (LcEndpointCondition *condition, uint64_t seed, LbTime from, LbTime to)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);

  gsl_rng_set (rng, seed);
  for (LbTime at = from; at < to; at += NOISE_INTERVAL)
    {
      bool is_slow = gsl_rng_uniform (rng) < NOISE_SHARE;

      stream_tokens (condition,
                     is_slow ? (LbTime)(TOKEN_INTERVAL * NOISE_SLOWDOWN) : TOKEN_INTERVAL, at,
                     at + NOISE_INTERVAL);
    }
  gsl_rng_free (rng);
}

/* Short slowdowns, which hit each engine alike, must not make one engine look slower than another:
 * texts would be moved or kept from engines without a lasting difference. */
Test (condition, lasting_value_ignores_short_slowdowns)
{
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      LcEndpointCondition condition = { 0 };

      stream_with_noise (&condition, seed, LB_SEC, 31 * LB_SEC);
      cr_assert_float_eq (lc_endpoint_condition_lasting_seconds (&condition, 31 * LB_SEC), 0.020,
                          0.0012, "seed %d: %.4f", (int)seed,
                          lc_endpoint_condition_lasting_seconds (&condition, 31 * LB_SEC));
    }
}

/* An engine that becomes slow must count as slow at once, but a text of several seconds is slowed
 * only for as long as the slowdown is expected to last, which is longer the longer it has lasted.
 */
Test (condition, slowdown_counts_for_as_long_as_it_has_lasted)
{
  LcEndpointCondition condition = { 0 };
  LbTime now = 10 * LB_SEC;

  stream_tokens (&condition, TOKEN_INTERVAL, LB_SEC, now);
  cr_assert_float_eq (lc_endpoint_condition_stretch_seconds (&condition, 4, now), 4, 0.01);
  lc_endpoint_condition_set_present_token_seconds (&condition, 0.070, now);
  cr_assert_float_eq (lc_endpoint_condition_present_slowdown (&condition, now), 3.5, 0.1);
  cr_assert_lt (lc_endpoint_condition_stretch_seconds (&condition, 4, now), 4.4);
  lc_endpoint_condition_set_present_token_seconds (&condition, 0.070, now + 3 * LB_SEC);
  cr_assert_gt (lc_endpoint_condition_stretch_seconds (&condition, 4, now + 3 * LB_SEC), 5.5);
  cr_assert_eq (lc_endpoint_condition_remaining_slowdown (&condition, now + 7 * LB_SEC), 0,
                "without new observations the slowdown must end");
}

/* Reports that stop coming must not keep an endpoint slow for ever, and a lasting value that is too
 * old must not be used. */
Test (condition, present_slowdown_decays_and_lasting_value_expires)
{
  LcEndpointCondition condition = { 0 };

  stream_tokens (&condition, TOKEN_INTERVAL, LB_SEC, 10 * LB_SEC);
  lc_endpoint_condition_add_work_time (&condition, 250, 10 * LB_SEC);
  cr_assert_float_eq (lc_endpoint_condition_present_slowdown (&condition, 10 * LB_SEC), 2.5, 0.01);
  cr_assert_float_eq (lc_endpoint_condition_present_slowdown (&condition, 12 * LB_SEC), 1, 0.01);
  cr_assert_gt (lc_endpoint_condition_lasting_seconds (&condition, 69 * LB_SEC), 0);
  cr_assert_eq (lc_endpoint_condition_lasting_seconds (&condition, 71 * LB_SEC), 0);
}
