#include "endpoints-fixture.h"

static double
get_expected_cached_share_of_prefix (Fixture *f, const char *name, uint64_t prefix, LbTime now)
{
  return lc_endpoint_cached_prompt_share (fixture_find_endpoint (f, name), &prefix, 1, now);
}

/* An engine evicts a prefix and the event is lost. Unless the gap in the sequence numbers lowers
 * the confidence in all prefixes known before, requests are still routed to the engine for the
 * evicted prefix. */
Test (prefix_index, missed_events_lower_the_expected_share)
{
  Fixture f;

  fixture_init (&f, 1);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 1, true, 77, 10);

  double before = get_expected_cached_share_of_prefix (&f, "e0", 77, 11);

  cr_assert_gt (before, 0.99);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 400, true, 78, 12);
  cr_assert_lt (get_expected_cached_share_of_prefix (&f, "e0", 77, 13), 0.5 * before);
  cr_assert_gt (get_expected_cached_share_of_prefix (&f, "e0", 78, 13), 0.99);
  fixture_clear (&f);
}

/* An eviction event arrives before the earlier store event. If the events were applied in the order
 * of arrival, the prefix would be assumed to be cached for minutes. */
Test (prefix_index, an_outdated_event_does_not_undo_a_later_one)
{
  Fixture f;

  fixture_init (&f, 1);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 1, true, 77, 10);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 3, false, 77, 11);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 2, true, 77, 12);
  cr_assert_eq (get_expected_cached_share_of_prefix (&f, "e0", 77, 13), 0);
  fixture_clear (&f);
}

/* An engine restarts with an empty cache and numbers its events from 1 again. The prefixes of the
 * previous process must be dropped, and events with smaller numbers must be accepted. */
Test (prefix_index, a_new_incarnation_has_an_empty_cache)
{
  Fixture f;

  fixture_init (&f, 1);
  fixture_record_load_report (&f, "e0", "a", 1, 5);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 900, true, 77, 10);
  fixture_record_load_report (&f, "e0", "b", 1, 20);
  cr_assert_eq (get_expected_cached_share_of_prefix (&f, "e0", 77, 21), 0);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 1, true, 78, 22);
  cr_assert_gt (get_expected_cached_share_of_prefix (&f, "e0", 78, 23), 0.99);
  fixture_clear (&f);
}

/* Endpoint e1 is removed and another endpoint gets its slot: the new endpoint must not inherit the
 * cached prefixes. */
Test (prefix_index, a_reused_slot_inherits_no_prefixes)
{
  Fixture f;

  fixture_init (&f, 2);
  lc_endpoints_apply_cache_event (f.endpoints, "e1", 1, true, 77, 10);
  f.set.n_endpoints = 1;
  fixture_apply_endpoint_set (&f, 11);
  strcpy (f.members[1].name, "other");
  f.set.n_endpoints = 2;
  fixture_apply_endpoint_set (&f, 12);
  cr_assert_eq (get_expected_cached_share_of_prefix (&f, "other", 77, 13), 0);
  fixture_clear (&f);
}

Test (prefix_index, the_longest_cached_prefix_determines_the_share)
{
  Fixture f;
  uint64_t prompt[4] = { 1, 2, 3, 4 };

  fixture_init (&f, 1);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 1, true, 1, 10);
  lc_endpoints_apply_cache_event (f.endpoints, "e0", 2, true, 3, 10);
  cr_assert_float_eq (lc_endpoint_cached_prompt_share (fixture_find_endpoint (&f, "e0"), prompt, 4,
                                                       10),
                      0.75, 0.01);
  fixture_clear (&f);
}

/* The number of distinct prompts is unbounded, but the size of the index must be bounded. */
Test (prefix_index, index_size_is_bounded_and_the_oldest_prefix_is_dropped)
{
  Fixture f;

  fixture_init (&f, 1);
  for (uint64_t i = 1; i <= 100000; i++)
    lc_endpoints_apply_cache_event (f.endpoints, "e0", i, true, i, 10);
  cr_assert_eq (get_expected_cached_share_of_prefix (&f, "e0", 1, 11), 0);
  cr_assert_gt (get_expected_cached_share_of_prefix (&f, "e0", 100000, 11), 0.99);
  fixture_clear (&f);
}
