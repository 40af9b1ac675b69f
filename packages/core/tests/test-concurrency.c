#include "lc-concurrency.h"

#include <criterion/criterion.h>

#define MAX_CONCURRENCY 32

static LcConcurrency
make_concurrency_limit_after_first_byte (double min_first_byte_seconds)
{
  LcConcurrency concurrency;

  lc_concurrency_init (&concurrency, MAX_CONCURRENCY);
  lc_concurrency_first_byte_received (&concurrency, min_first_byte_seconds, 1, LB_SEC);
  return concurrency;
}

/* An engine declares a concurrency of 32, but queues requests beyond ten: first bytes take seconds
 * and live calls wait behind samples. The limit must decrease until first bytes are fast again. */
Test (concurrency, limit_decreases_while_first_bytes_are_slow)
{
  LcConcurrency concurrency = make_concurrency_limit_after_first_byte (0.05);
  LbTime now = LB_SEC;

  for (int second = 2; second < 30; second++)
    {
      bool is_queueing = concurrency.limit > 10;

      now = second * LB_SEC;
      lc_concurrency_first_byte_received (&concurrency, is_queueing ? 2 : 0.06,
                                          (int64_t)concurrency.limit, now);
    }
  cr_assert_lt (concurrency.limit, 12);
  cr_assert_gt (concurrency.limit, 7);
}

/* One slow period of an engine delays the first bytes of all requests in flight. If each of these
 * requests decreased the concurrency limit, the limit would fall to 1 and the engine would be
 * nearly idle. */
Test (concurrency, limit_decreases_once_for_concurrent_slow_requests)
{
  LcConcurrency concurrency = make_concurrency_limit_after_first_byte (0.05);

  for (int i = 0; i < MAX_CONCURRENCY; i++)
    lc_concurrency_first_byte_received (&concurrency, 3, MAX_CONCURRENCY, 2 * LB_SEC + i);
  cr_assert_gt (concurrency.limit, 0.8 * MAX_CONCURRENCY);
}

Test (concurrency, limit_recovers_to_the_declared_size_and_no_further)
{
  LcConcurrency concurrency = make_concurrency_limit_after_first_byte (0.05);

  for (int second = 2; second < 12; second++)
    lc_concurrency_request_failed (&concurrency, second * LB_SEC);
  cr_assert_lt (concurrency.limit, MAX_CONCURRENCY / 4.0);
  cr_assert_geq (concurrency.limit, 1);
  for (int i = 0; i < 2000; i++)
    lc_concurrency_first_byte_received (&concurrency, 0.05, (int64_t)concurrency.limit,
                                        20 * LB_SEC);
  cr_assert_float_eq (concurrency.limit, MAX_CONCURRENCY, 1e-9);
}

/* Fast first bytes at an idle endpoint do not show that it can process more requests at once. */
Test (concurrency, limit_does_not_increase_while_unused)
{
  LcConcurrency concurrency = make_concurrency_limit_after_first_byte (0.05);
  double decreased_limit = 0;

  lc_concurrency_request_failed (&concurrency, 2 * LB_SEC);
  decreased_limit = concurrency.limit;
  for (int i = 0; i < 100; i++)
    lc_concurrency_first_byte_received (&concurrency, 0.05, 1, 3 * LB_SEC);
  cr_assert_float_eq (concurrency.limit, decreased_limit, 1e-9);
}
