#include "lc-concurrency.h"

#include <criterion/criterion.h>

#define SIZE 32

static LcConcurrency
with_floor (double seconds)
{
  LcConcurrency concurrency;

  lc_concurrency_init (&concurrency, SIZE);
  lc_concurrency_first_byte_received (&concurrency, seconds, 1, LB_SEC);
  return concurrency;
}

/* An engine was declared for 32 requests but queues beyond ten: first bytes take seconds and live
 * calls wait behind samples. The limit must come down until first bytes are quick again. */
Test (concurrency, comes_down_while_first_bytes_queue)
{
  LcConcurrency concurrency = with_floor (0.05);
  LbTime now = LB_SEC;

  for (int second = 2; second < 30; second++)
    {
      bool queues = concurrency.limit > 10;

      now = second * LB_SEC;
      lc_concurrency_first_byte_received (&concurrency, queues ? 2 : 0.06,
                                          (int64_t)concurrency.limit, now);
    }
  cr_assert_lt (concurrency.limit, 12);
  cr_assert_gt (concurrency.limit, 7);
}

/* One slow moment delays all that is in flight. Lowered once for each, the limit would fall to 1
 * and the engine would stand idle. */
Test (concurrency, is_lowered_once_for_one_bad_moment)
{
  LcConcurrency concurrency = with_floor (0.05);

  for (int i = 0; i < SIZE; i++)
    lc_concurrency_first_byte_received (&concurrency, 3, SIZE, 2 * LB_SEC + i);
  cr_assert_gt (concurrency.limit, 0.8 * SIZE);
}

Test (concurrency, returns_to_the_declared_size_and_no_further)
{
  LcConcurrency concurrency = with_floor (0.05);

  for (int second = 2; second < 12; second++)
    lc_concurrency_request_failed (&concurrency, second * LB_SEC);
  cr_assert_lt (concurrency.limit, SIZE / 4.0);
  cr_assert_geq (concurrency.limit, 1);
  for (int i = 0; i < 2000; i++)
    lc_concurrency_first_byte_received (&concurrency, 0.05, (int64_t)concurrency.limit,
                                        20 * LB_SEC);
  cr_assert_float_eq (concurrency.limit, SIZE, 1e-9);
}

/* An idle endpoint answers fast whatever its limit is, which proves nothing about a higher one. */
Test (concurrency, does_not_grow_unused)
{
  LcConcurrency concurrency = with_floor (0.05);
  double lowered = 0;

  lc_concurrency_request_failed (&concurrency, 2 * LB_SEC);
  lowered = concurrency.limit;
  for (int i = 0; i < 100; i++)
    lc_concurrency_first_byte_received (&concurrency, 0.05, 1, 3 * LB_SEC);
  cr_assert_float_eq (concurrency.limit, lowered, 1e-9);
}
