#include "endpoints-fixture.h"

static double
share (Fixture *f, const char *name, uint64_t prefix, LbTime now)
{
  return lc_endpoint_cached_share (fixture_find (f, name), &prefix, 1, now);
}

/* An engine evicts a prefix and the event is lost. Requests keep going there for a cache that is
 * gone: the gap in the sequence must lower the belief in all that was believed before. */
Test (belief, decays_on_a_gap)
{
  Fixture f;

  fixture_init (&f, 1);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 1, true, 77, 10);

  double before = share (&f, "e0", 77, 11);

  cr_assert_gt (before, 0.99);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 400, true, 78, 12);
  cr_assert_lt (share (&f, "e0", 77, 13), 0.5 * before);
  cr_assert_gt (share (&f, "e0", 78, 13), 0.99);
  fixture_clear (&f);
}

/* "Evicted" overtakes "stored" on the way. Applied in the order of arrival the prefix would be
 * believed there for minutes. */
Test (belief, an_event_out_of_order_does_not_undo_a_later_one)
{
  Fixture f;

  fixture_init (&f, 1);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 1, true, 77, 10);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 3, false, 77, 11);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 2, true, 77, 12);
  cr_assert_eq (share (&f, "e0", 77, 13), 0);
  fixture_clear (&f);
}

/* An engine restarts with an empty cache and numbers its events from 1 again. What was believed of
 * the process before must go, and the new events, with smaller numbers, must count. */
Test (belief, a_new_process_has_an_empty_cache)
{
  Fixture f;

  fixture_init (&f, 1);
  fixture_report (&f, "e0", "a", 1, 5);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 900, true, 77, 10);
  fixture_report (&f, "e0", "b", 1, 20);
  cr_assert_eq (share (&f, "e0", 77, 21), 0);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 1, true, 78, 22);
  cr_assert_gt (share (&f, "e0", 78, 23), 0.99);
  fixture_clear (&f);
}

/* Endpoint e1 goes and another takes its slot: it must not inherit the belief. */
Test (belief, a_slot_taken_over_inherits_nothing)
{
  Fixture f;

  fixture_init (&f, 2);
  lc_endpoints_apply_cache_event (f.endpoints, "e1", 1, true, 77, 10);
  f.set.n_endpoints = 1;
  fixture_configure (&f, 11);
  strcpy (f.members[1].name, "other");
  f.set.n_endpoints = 2;
  fixture_configure (&f, 12);
  cr_assert_eq (share (&f, "other", 77, 13), 0);
  fixture_clear (&f);
}

Test (belief, the_longest_known_prefix_counts)
{
  Fixture f;
  uint64_t prompt[4] = { 1, 2, 3, 4 };

  fixture_init (&f, 1);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 1, true, 1, 10);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 2, true, 3, 10);
  cr_assert_float_eq (lc_endpoint_cached_share (fixture_find (&f, "e0"), prompt, 4, 10), 0.75,
                      0.01);
  fixture_clear (&f);
}

/* Prompts are endless; the memory for them is not. */
Test (belief, is_bounded_and_forgets_the_oldest)
{
  Fixture f;

  fixture_init (&f, 1);
  for (uint64_t i = 1; i <= 100000; i++)
    lc_endpoints_apply_cache_event (f.endpoints, "e0", i, true, i, 10);
  cr_assert_eq (share (&f, "e0", 1, 11), 0);
  cr_assert_gt (share (&f, "e0", 100000, 11), 0.99);
  fixture_clear (&f);
}
