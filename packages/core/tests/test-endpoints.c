#include "endpoints-fixture.h"

/* A reply states that the endpoint is leaving; then a load report that was measured earlier arrives
 * late and states that the endpoint is not leaving. The outdated report must not make the endpoint
 * eligible again, but a report of the next process at its address must. */
Test (leaving, outdated_report_does_not_clear_leaving)
{
  Fixture f;

  fixture_init (&f, 2);

  LcLoadReport report = fixture_record_load_report (&f, "e0", "a", 1, 10);

  cr_assert (lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_ENDPOINT, 12));
  cr_assert_not (lc_endpoints_mark_leaving (f.endpoints, "e0", "a", LC_LEAVING_PEER, 12));
  lc_endpoints_record_load_report (f.endpoints, "e0", &report, 13);
  fixture_record_load_report (&f, "e0", "a", 2, 14);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 15));
  fixture_record_load_report (&f, "e0", "b", 2, 20);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 21));
  fixture_clear (&f);
}

/* An operator marks an endpoint as leaving, and a later revision removes the mark. The process must
 * stay excluded until it restarts, since other instances may already be draining it. A mark in the
 * current revision also applies to the next process. */
Test (leaving, later_revision_does_not_clear_leaving)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_record_load_report (&f, "e0", "a", 1, 10);
  f.members[0].leaving = true;
  fixture_apply_endpoint_set (&f, 11);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 11));
  f.members[0].leaving = false;
  fixture_apply_endpoint_set (&f, 12);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 12));
  fixture_record_load_report (&f, "e0", "b", 1, 20);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 21));

  f.members[0].leaving = true;
  fixture_apply_endpoint_set (&f, 30);
  fixture_record_load_report (&f, "e0", "c", 1, 40);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 41));
  fixture_clear (&f);
}

/* An endpoint restarts, and a delayed report of its previous process arrives after the first one of
 * the new process. If this report counted as a new incarnation, it would reset the known state, and
 * its leaving mark would exclude the new process. */
Test (leaving, delayed_report_of_previous_process_is_ignored)
{
  Fixture f;
  LcLoadReport old = { .incarnation = "a", .leaving = true, .version = 1, .measured_at = 15 };

  fixture_init (&f, 2);
  fixture_record_load_report (&f, "e0", "a", 1, 10);
  fixture_record_load_report (&f, "e0", "b", 7, 20);
  lc_endpoints_record_load_report (f.endpoints, "e0", &old, 21);
  cr_assert_eq (fixture_find_endpoint (&f, "e0")->report.version, 7);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 22));
  fixture_clear (&f);
}

/* A peer reports that the next process of an endpoint is leaving, before this instance has seen
 * that process. The process must be excluded from its first report on, not only after its own
 * announcement. */
Test (leaving, leaving_mark_of_an_unknown_incarnation_applies_to_its_first_report)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_record_load_report (&f, "e0", "a", 1, 10);
  cr_assert_not (lc_endpoints_mark_leaving (f.endpoints, "e0", "b", LC_LEAVING_PEER, 11));
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 12));
  fixture_record_load_report (&f, "e0", "b", 1, 20);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 21));
  fixture_clear (&f);
}

/* A new instance learns that an endpoint is leaving before it gets the endpoint's first report. The
 * incarnation in that report must not count as a new process. */
Test (leaving, leaving_mark_set_before_the_first_report_is_kept)
{
  Fixture f;

  fixture_init (&f, 2);
  cr_assert (lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_ENDPOINT, 5));
  fixture_record_load_report (&f, "e0", "a", 1, 10);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 11));
  fixture_clear (&f);
}

/* Reports of two processes at one address arrive out of order: the old process's report, forwarded
 * by a slow peer with a later time, arrives after the new process's report. The old process must
 * still count as leaving. */
Test (leaving, incarnation_seen_again_is_still_leaving)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_record_load_report (&f, "e0", "a", 1, 10);
  lc_endpoints_mark_leaving (f.endpoints, "e0", "a", LC_LEAVING_ENDPOINT, 11);
  fixture_record_load_report (&f, "e0", "b", 1, 20);
  fixture_record_load_report (&f, "e0", "a", 1, 30);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 31));
  fixture_clear (&f);
}

/* The platform's list lags: it marks the endpoint as leaving until seconds after its next process
 * started. A permanent mark would exclude the new process until it restarts; without a mark,
 * requests would be sent to a process that is leaving. So the new process must be excluded only
 * while the list marks the endpoint. */
Test (leaving, lagging_list_excludes_a_new_process_only_while_listed)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_record_load_report (&f, "e0", "a", 1, 10);
  cr_assert (lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_PLATFORM, 11));
  lc_endpoints_clear_platform_leaving_mark (f.endpoints, "e0", 12);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 13),
                 "e0 accepts calls, but the list must not clear a mark of the current incarnation");
  lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_PLATFORM, 14);
  fixture_record_load_report (&f, "e0", "b", 1, 20);
  lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_PLATFORM, 21);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 22));
  lc_endpoints_clear_platform_leaving_mark (f.endpoints, "e0", 23);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 24));
  fixture_clear (&f);
}

/* An endpoint is removed from the configuration while it processes a request. The pointer to the
 * endpoint is used when the request ends; if the endpoint were freed earlier, the daemon would
 * crash. */
Test (membership, endpoint_with_requests_outlives_its_removal)
{
  Fixture f;

  fixture_init (&f, 2);

  LcEndpoint *endpoint = fixture_find_endpoint (&f, "e1");

  lc_endpoint_request_sent (endpoint, LC_KIND_SAMPLE, 0, 10);
  f.set.n_endpoints = 1;
  fixture_apply_endpoint_set (&f, 11);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e1", 12));
  lc_endpoint_request_ended (endpoint, LC_KIND_SAMPLE, true, 5, 10, 20);
  fixture_apply_endpoint_set (&f, 21);
  cr_assert_null (lc_endpoints_find (f.endpoints, "e1"));
  fixture_clear (&f);
}

/* An instance is replaced while an endpoint drains. The new instance's configuration still names
 * the endpoint, and without a report the instance would send requests to the endpoint seconds after
 * all other instances stopped. An endpoint must get no request before its first report, however
 * long that takes. */
Test (leaving, new_instance_sends_nothing_before_the_first_report)
{
  Fixture f;
  LbTime start = 100 * LB_SEC;

  fixture_init (&f, 1);
  strcpy (f.members[1].name, "fresh");
  strcpy (f.members[1].pool, "reader");
  f.members[1].concurrency = 8;
  f.set.n_endpoints = 2;
  fixture_apply_endpoint_set (&f, start);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "fresh", start + LB_SEC));
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "fresh", start + 60 * LB_SEC));
  fixture_record_load_report (&f, "fresh", "a", 1, start + LB_SEC);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "fresh", start + LB_SEC));
  fixture_clear (&f);
}

/* This instance is stopped for ten seconds, and meanwhile an endpoint announces that it is leaving.
 * When the instance resumes, it first handles a broken stream, before it reads the announcement.
 * The retry must not go to the endpoint because of a report from before the stop. */
Test (leaving, reports_from_before_a_process_stop_are_ignored)
{
  Fixture f;
  LbTime now = 0;

  fixture_init (&f, 2);
  for (int i = 0; i < 10; i++, now += 500 * LB_MSEC)
    {
      fixture_record_load_report (&f, "e0", "a", 1, now);
      fixture_record_load_report (&f, "e1", "a", 1, now);
    }
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", now));
  now += 10 * LB_SEC;
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", now),
                 "outdated reports must be ignored before the first event after the stop");
  lc_endpoint_request_sent (fixture_find_endpoint (&f, "e1"), LC_KIND_LIVE, 0, now);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", now),
                 "an event must not make outdated reports valid");
  fixture_record_load_report (&f, "e0", "a", 1, now + LB_MSEC);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", now + LB_MSEC));
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e1", now + LB_MSEC));
  fixture_clear (&f);
}

/* Slots are indexes that other structures hold: the removal of one endpoint must not change
 * the slot of another. */
Test (membership, slots_are_stable_when_another_endpoint_is_removed)
{
  Fixture f;

  fixture_init (&f, 3);

  uint32_t slot = fixture_find_endpoint (&f, "e2")->slot;

  f.members[0] = f.members[2];
  f.set.n_endpoints = 2;
  fixture_apply_endpoint_set (&f, 10);
  cr_assert_eq (fixture_find_endpoint (&f, "e2")->slot, slot);
  cr_assert_eq (lc_endpoints_count (f.endpoints), 2);
  fixture_clear (&f);
}

/* A weight swap fails halfway and the engine reports version 0. Its samples would come from unknown
 * weights, so it must get no requests until a report states a version. */
Test (swap, engine_without_a_known_version_gets_no_requests)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_record_load_report (&f, "e0", "a", 4, 10);
  lc_endpoints_set_weight_swap_state (f.endpoints, "e0", true, 100, 20);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 30),
             "e0 must accept calls while it serves the old weights");
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 100),
                 "e0 must not accept calls: the swap is due and no version is stated");
  fixture_record_load_report (&f, "e0", "a", 0, 110);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 111));
  fixture_record_load_report (&f, "e0", "a", 5, 120);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 121));
  cr_assert_not (fixture_find_endpoint (&f, "e0")->swap_pending);
  fixture_clear (&f);
}

/* A swap is ordered, but the engine keeps serving the old version and states it after the swap was
 * due: the engine must not stay excluded for ever. A report that was measured before the swap was
 * due, but arrives later, does not tell how the swap ended. */
Test (swap, old_version_stated_after_the_due_time_ends_the_swap)
{
  Fixture f;
  LcLoadReport early = { .incarnation = "a", .version = 4, .measured_at = 90 };

  fixture_init (&f, 2);
  fixture_record_load_report (&f, "e0", "a", 4, 10);
  lc_endpoints_set_weight_swap_state (f.endpoints, "e0", true, 100, 20);
  lc_endpoints_record_load_report (f.endpoints, "e0", &early, 105);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 106));
  fixture_record_load_report (&f, "e0", "a", 4, 110);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 111));
  fixture_clear (&f);
}

/* If samples could use all of an engine's capacity, live calls would have to wait. */
Test (limits, samples_do_not_use_the_live_reserve)
{
  Fixture f;

  fixture_init (&f, 1);

  LcEndpoint *endpoint = fixture_find_endpoint (&f, "e0");

  for (int i = 0; i < 6; i++)
    {
      cr_assert (lc_endpoint_can_accept (endpoint, LC_KIND_SAMPLE, 0.25, 1));
      lc_endpoint_request_sent (endpoint, LC_KIND_SAMPLE, 0, 1);
    }
  cr_assert_not (lc_endpoint_can_accept (endpoint, LC_KIND_SAMPLE, 0.25, 1));
  cr_assert (lc_endpoint_can_accept (endpoint, LC_KIND_LIVE, 0.25, 1));
  fixture_clear (&f);
}

/* A report shows one free slot, and this instance uses it. Without counting its own requests since
 * the report, the instance would use the slot again and again until the next report. */
Test (limits, free_slot_of_a_report_is_used_once)
{
  Fixture f;
  LcLoadReport report = { .incarnation = "a", .version = 1, .running = 7, .measured_at = 10 };

  fixture_init (&f, 1);
  lc_endpoints_record_load_report (f.endpoints, "e0", &report, 10);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 11));
  lc_endpoint_request_sent (fixture_find_endpoint (&f, "e0"), LC_KIND_LIVE, 0, 11);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 12));
  lc_endpoint_request_ended (fixture_find_endpoint (&f, "e0"), LC_KIND_LIVE, true, 1, 1, 13);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 14));
  fixture_clear (&f);
}

/* A report takes half a second to arrive and includes the requests sent before it was measured. If
 * these requests were added again, a busy engine would look twice as busy. */
Test (limits, late_report_includes_requests_sent_before_it)
{
  Fixture f;
  LcLoadReport report = { .incarnation = "a", .version = 1, .running = 3, .measured_at = 20 };

  fixture_init (&f, 1);

  LcEndpoint *endpoint = fixture_find_endpoint (&f, "e0");

  for (LbTime at = 10; at <= 30; at += 5)
    lc_endpoint_request_sent (endpoint, LC_KIND_LIVE, 0, at);
  lc_endpoints_record_load_report (f.endpoints, "e0", &report, 40);
  cr_assert_eq (endpoint->sent_since_report, 2);
  fixture_clear (&f);
}

/* An endpoint gets a new address in the configuration, so another process runs there, and that
 * process has not reported its load yet. The swap, breaker and load of the process at the old
 * address do not apply to the new one. */
Test (membership, new_address_is_a_new_process)
{
  Fixture f;
  LcLoadReport full = { .incarnation = "a", .version = 0, .running = 8, .measured_at = 10 };

  fixture_init (&f, 1);
  lc_endpoints_record_load_report (f.endpoints, "e0", &full, 10);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 11));
  strcpy (f.members[0].address, "127.0.0.1:2");
  fixture_apply_endpoint_set (&f, 12);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 13),
                 "e0 must not accept calls before a report of the new process");
  fixture_record_load_report (&f, "e0", "b", 1, 14);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 15));
  fixture_clear (&f);
}

/* A plain service states its incarnation in some replies only. If a reply without an incarnation
 * counted as one of a new process, the breaker would close and the endpoint would no longer count
 * as leaving. */
Test (membership, report_without_an_incarnation_is_of_the_same_process)
{
  Fixture f;

  fixture_init (&f, 1);
  fixture_record_load_report (&f, "e0", "a", 1, 10);
  lc_endpoints_mark_leaving (f.endpoints, "e0", "a", LC_LEAVING_ENDPOINT, 11);
  for (int i = 0; i < 5; i++)
    {
      lc_endpoint_request_sent (fixture_find_endpoint (&f, "e0"), LC_KIND_LIVE, 0, 12);
      lc_endpoint_request_ended (fixture_find_endpoint (&f, "e0"), LC_KIND_LIVE, false, 0, 1, 13);
    }
  fixture_record_load_report (&f, "e0", "", 1, 20);
  cr_assert_eq (fixture_find_endpoint (&f, "e0")->breaker, LC_BREAKER_OPEN);
  fixture_record_load_report (&f, "e0", "a", 1, 30);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 31));
  cr_assert_str_eq (fixture_find_endpoint (&f, "e0")->report.incarnation, "a");
  fixture_clear (&f);
}

/* An endpoint's clock is ahead for one report. If that time were used, all later reports would be
 * outdated, and the load and the version would be hours old. */
Test (report, report_from_the_future_does_not_block_later_reports)
{
  Fixture f;
  LcLoadReport ahead = { .incarnation = "a", .version = 1, .measured_at = 3600 * LB_SEC };

  fixture_init (&f, 1);
  lc_endpoints_record_load_report (f.endpoints, "e0", &ahead, 10);
  fixture_record_load_report (&f, "e0", "a", 2, 20);
  cr_assert_eq (fixture_find_endpoint (&f, "e0")->report.version, 2);
  fixture_clear (&f);
}

Test (report, report_with_invalid_values_does_not_attract_requests)
{
  Fixture f;
  LcLoadReport report = {
    .incarnation = "a", .version = -3, .running = -1000, .tokens_per_second = -5, .measured_at = 10
  };

  fixture_init (&f, 1);
  lc_endpoints_record_load_report (f.endpoints, "e0", &report, 10);
  cr_assert_eq (fixture_find_endpoint (&f, "e0")->report.running, 0);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 11),
                 "version -3 must count as no known version");
  fixture_clear (&f);
}

/* An engine rejects new requests while it loads weights, which takes a second. If these rejections
 * opened its breaker, it would get only one, two or three requests at a time long after the load.
 * With new weights every few seconds, half of the engines were idle while samples waited for
 * seconds. */
Test (endpoints, rejections_by_an_endpoint_that_reports_its_concurrency_open_no_breaker)
{
  Fixture f;
  LbTime now = LB_SEC;

  fixture_init (&f, 1);
  f.members[0].reports_concurrency = true;
  fixture_apply_endpoint_set (&f, now);
  LcEndpoint *engine = lc_endpoints_find (f.endpoints, "e0");
  for (int i = 0; i < 8; i++)
    {
      lc_endpoint_request_sent (engine, LC_KIND_SAMPLE, 0, now);
      lc_endpoint_request_refused (engine, LC_KIND_SAMPLE, now, now);
      cr_assert_not (lc_endpoint_can_accept (engine, LC_KIND_SAMPLE, 0, now));
      now += 150 * LB_MSEC;
      cr_assert (lc_endpoint_can_accept (engine, LC_KIND_SAMPLE, 0, now),
                 "the engine must accept requests 150 ms after a rejection");
    }
  cr_assert_eq (engine->breaker, LC_BREAKER_CLOSED);
  cr_assert_eq (engine->concurrency_limit, 8);
  cr_assert_eq (engine->in_flight, 0);
  fixture_clear (&f);
}

/* During a weight swap, an endpoint that reports its concurrency gets no requests; an endpoint that
 * does not report it still does. */
Test (endpoints, endpoint_that_reports_its_concurrency_gets_no_requests_during_a_swap)
{
  Fixture f;
  LbTime now = LB_SEC;

  fixture_init (&f, 2);
  f.members[0].reports_concurrency = true;
  fixture_apply_endpoint_set (&f, now);
  for (int i = 0; i < 2; i++)
    lc_endpoints_set_weight_swap_state (f.endpoints, f.members[i].name, true, now + LB_SEC, now);
  cr_assert_not (
      lc_endpoint_can_accept (lc_endpoints_find (f.endpoints, "e0"), LC_KIND_SAMPLE, 0, now));
  cr_assert (
      lc_endpoint_can_accept (lc_endpoints_find (f.endpoints, "e1"), LC_KIND_SAMPLE, 0, now));
  fixture_clear (&f);
}

/* An engine with version 7 of one model and version 1 of another is reassigned from the first model
 * to the second. With version 7 kept as the known version, samples that need version 6 were sent to
 * the engine and discarded. */
Test (endpoints, known_version_is_dropped_when_an_engine_changes_its_pool)
{
  Fixture f;
  LcLoadReport report = { .version = 7 };
  LbTime now = LB_SEC;

  fixture_init (&f, 1);
  report.measured_at = now;
  lc_endpoints_record_load_report (f.endpoints, "e0", &report, now);
  strcpy (f.members[0].pool, "writer");
  fixture_apply_endpoint_set (&f, now);
  LcEndpoint *engine = lc_endpoints_find (f.endpoints, "e0");
  cr_assert_not (lc_endpoint_can_accept (engine, LC_KIND_SAMPLE, 0, now));
  report.version = 1;
  report.measured_at = now + LB_MSEC;
  lc_endpoints_record_load_report (f.endpoints, "e0", &report, now + LB_MSEC);
  cr_assert (lc_endpoint_can_accept (engine, LC_KIND_SAMPLE, 0, now + LB_MSEC));
  cr_assert_eq (engine->report.version, 1);
  fixture_clear (&f);
}
