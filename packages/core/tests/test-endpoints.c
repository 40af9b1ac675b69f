#include "endpoints-fixture.h"

/* New work goes to an endpoint that said it was leaving: its own reply said so, then a load report
 * that it measured earlier arrives late and says that it serves. The cause is a view older than the
 * word "leaving" being believed. A report of its next process does bring it back. */
Test (leaving, late_report_does_not_bring_back)
{
  Fixture f;

  fixture_init (&f, 2);

  LcLoadReport report = fixture_report (&f, "e0", "a", 1, 10);

  cr_assert (lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_ENDPOINT, 12));
  cr_assert_not (lc_endpoints_mark_leaving (f.endpoints, "e0", "a", LC_LEAVING_PEER, 12));
  lc_endpoints_record_load (f.endpoints, "e0", &report, 13);
  fixture_report (&f, "e0", "a", 2, 14);
  cr_assert_not (fixture_may_take (&f, "e0", 15));
  fixture_report (&f, "e0", "b", 2, 20);
  cr_assert (fixture_may_take (&f, "e0", 21));
  fixture_clear (&f);
}

/* An operator marks an endpoint as leaving; an instance then takes in a revision in which it does
 * not leave. Work would go to an endpoint that others already empty, since the word of the earlier
 * revision was taken back by the later one. A mark that stands holds for the next process too. */
Test (leaving, later_revision_does_not_bring_back)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_report (&f, "e0", "a", 1, 10);
  f.members[0].leaving = true;
  fixture_configure (&f, 11);
  cr_assert_not (fixture_may_take (&f, "e0", 11));
  f.members[0].leaving = false;
  fixture_configure (&f, 12);
  cr_assert_not (fixture_may_take (&f, "e0", 12));
  fixture_report (&f, "e0", "b", 1, 20);
  cr_assert (fixture_may_take (&f, "e0", 21));

  f.members[0].leaving = true;
  fixture_configure (&f, 30);
  fixture_report (&f, "e0", "c", 1, 40);
  cr_assert_not (fixture_may_take (&f, "e0", 41));
  fixture_clear (&f);
}

/* An endpoint restarts. A report of the process before, delayed on its way, arrives after the first
 * one of the new process: taken as yet another incarnation it would clear what is known, and its
 * "leaving" would shut out the new process. */
Test (leaving, report_of_the_process_before_changes_nothing)
{
  Fixture f;
  LcLoadReport old = { .incarnation = "a", .leaving = true, .version = 1, .measured_at = 15 };

  fixture_init (&f, 2);
  fixture_report (&f, "e0", "a", 1, 10);
  fixture_report (&f, "e0", "b", 7, 20);
  lc_endpoints_record_load (f.endpoints, "e0", &old, 21);
  cr_assert_eq (fixture_find (&f, "e0")->report.version, 7);
  cr_assert (fixture_may_take (&f, "e0", 22));
  fixture_clear (&f);
}

/* A peer hears first that the next process of an endpoint is leaving; this instance has not seen
 * that process yet. When its first report comes it must be out at once, not after its own word. */
Test (leaving, word_about_an_incarnation_not_seen_yet)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_report (&f, "e0", "a", 1, 10);
  cr_assert_not (lc_endpoints_mark_leaving (f.endpoints, "e0", "b", LC_LEAVING_PEER, 11));
  cr_assert (fixture_may_take (&f, "e0", 12));
  fixture_report (&f, "e0", "b", 1, 20);
  cr_assert_not (fixture_may_take (&f, "e0", 21));
  fixture_clear (&f);
}

/* An instance starts, learns from a peer's answer that an endpoint is leaving, and only then gets
 * the endpoint's first report, which was measured before. The name of the incarnation that it
 * learns with it must not count as a new process. */
Test (leaving, word_before_the_first_report)
{
  Fixture f;

  fixture_init (&f, 2);
  cr_assert (lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_ENDPOINT, 5));
  fixture_report (&f, "e0", "a", 1, 10);
  cr_assert_not (fixture_may_take (&f, "e0", 11));
  fixture_clear (&f);
}

/* Reports of two processes behind one address cross: the old one's, passed on by a slow peer with a
 * late time, comes after the new one's. The old process was leaving and still is. */
Test (leaving, an_incarnation_seen_again_is_still_leaving)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_report (&f, "e0", "a", 1, 10);
  lc_endpoints_mark_leaving (f.endpoints, "e0", "a", LC_LEAVING_ENDPOINT, 11);
  fixture_report (&f, "e0", "b", 1, 20);
  fixture_report (&f, "e0", "a", 1, 30);
  cr_assert_not (fixture_may_take (&f, "e0", 31));
  fixture_clear (&f);
}

/* The platform's list lags: it still says leaving for seconds after the next process came. Believed
 * for good, that process would get no work until it restarts; not believed, a process that does
 * leave would get work. So it is out as long as the list says so, and in when the list no longer
 * does. */
Test (leaving, lagging_list_keeps_a_new_process_out_only_while_it_says_so)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_report (&f, "e0", "a", 1, 10);
  cr_assert (lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_PLATFORM, 11));
  lc_endpoints_clear_platform_leaving (f.endpoints, "e0", 12);
  cr_assert_not (fixture_may_take (&f, "e0", 13), "the list cannot take back a word on this one");
  lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_PLATFORM, 14);
  fixture_report (&f, "e0", "b", 1, 20);
  lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_PLATFORM, 21);
  cr_assert_not (fixture_may_take (&f, "e0", 22));
  lc_endpoints_clear_platform_leaving (f.endpoints, "e0", 23);
  cr_assert (fixture_may_take (&f, "e0", 24));
  fixture_clear (&f);
}

/* An endpoint is taken out of the configuration while a request of ours runs there. A pointer to it
 * is still in use when the request ends; freed too early, the daemon would crash. */
Test (membership, an_endpoint_with_work_outlives_its_removal)
{
  Fixture f;

  fixture_init (&f, 2);

  LcEndpoint *endpoint = fixture_find (&f, "e1");

  lc_endpoint_request_sent (endpoint, LC_KIND_SAMPLE, 0, 10);
  f.set.n_endpoints = 1;
  fixture_configure (&f, 11);
  cr_assert_not (fixture_may_take (&f, "e1", 12));
  lc_endpoint_request_ended (endpoint, LC_KIND_SAMPLE, true, 5, 10, 20);
  fixture_configure (&f, 21);
  cr_assert_null (lc_endpoints_find (f.endpoints, "e1"));
  fixture_clear (&f);
}

/* An instance is replaced while an endpoint drains. The new process has its configuration, which
 * still names the endpoint, before the endpoint's first word, and sends its first request there,
 * seconds after all others stopped. So an endpoint is heard first; one that never states its load
 * is used after two seconds, by when its peers and the platform's list have spoken. */
Test (leaving, a_fresh_instance_hears_an_endpoint_before_it_sends)
{
  Fixture f;
  LbTime start = 100 * LB_SEC;

  fixture_init (&f, 1);
  strcpy (f.members[1].name, "fresh");
  strcpy (f.members[1].pool, "reader");
  f.members[1].concurrency = 8;
  f.set.n_endpoints = 2;
  fixture_configure (&f, start);
  cr_assert_not (fixture_may_take (&f, "fresh", start + LB_SEC));
  cr_assert_not (fixture_may_take (&f, "fresh", start + 60 * LB_SEC));
  fixture_report (&f, "fresh", "a", 1, start + LB_SEC);
  cr_assert (fixture_may_take (&f, "fresh", start + LB_SEC));
  fixture_clear (&f);
}

/* An instance is stopped for ten seconds and goes on. Meanwhile an endpoint said to all that it is
 * leaving. The first thing the instance sees is a stream that broke, and its retry goes to that
 * endpoint by a report from before the stop; the report that says "leaving" is read after that. */
Test (leaving, what_was_heard_before_a_stop_of_this_process_is_void)
{
  Fixture f;
  LbTime now = 0;

  fixture_init (&f, 2);
  for (int i = 0; i < 10; i++, now += 500 * LB_MSEC)
    {
      fixture_report (&f, "e0", "a", 1, now);
      fixture_report (&f, "e1", "a", 1, now);
    }
  cr_assert (fixture_may_take (&f, "e0", now));
  now += 10 * LB_SEC;
  cr_assert_not (fixture_may_take (&f, "e0", now), "before any event");
  lc_endpoint_request_sent (fixture_find (&f, "e1"), LC_KIND_LIVE, 0, now);
  cr_assert_not (fixture_may_take (&f, "e0", now), "an event does not make old words true");
  fixture_report (&f, "e0", "a", 1, now + LB_MSEC);
  cr_assert (fixture_may_take (&f, "e0", now + LB_MSEC));
  cr_assert_not (fixture_may_take (&f, "e1", now + LB_MSEC));
  fixture_clear (&f);
}

/* Slots are indices that others keep: taking one endpoint out must not move another. */
Test (membership, slots_stay_when_another_endpoint_goes)
{
  Fixture f;

  fixture_init (&f, 3);

  uint32_t slot = fixture_find (&f, "e2")->slot;

  f.members[0] = f.members[2];
  f.set.n_endpoints = 2;
  fixture_configure (&f, 10);
  cr_assert_eq (fixture_find (&f, "e2")->slot, slot);
  cr_assert_eq (lc_endpoints_count (f.endpoints), 2);
  fixture_clear (&f);
}

/* A weight swap fails partway: the engine reports version 0. Samples sent there would come back
 * with weights that nobody can name. It gets work again with the first report that states a
 * version. */
Test (swap, no_work_until_a_version_is_stated)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_report (&f, "e0", "a", 4, 10);
  lc_endpoints_set_swap (f.endpoints, "e0", true, 100, 20);
  cr_assert (fixture_may_take (&f, "e0", 30), "the old weights still serve");
  cr_assert_not (fixture_may_take (&f, "e0", 100), "due, and nobody said what serves");
  fixture_report (&f, "e0", "a", 0, 110);
  cr_assert_not (fixture_may_take (&f, "e0", 111));
  fixture_report (&f, "e0", "a", 5, 120);
  cr_assert (fixture_may_take (&f, "e0", 121));
  cr_assert_not (fixture_find (&f, "e0")->swap_pending);
  fixture_clear (&f);
}

/* A swap is ordered and the engine goes on with the old version, which it states after the swap was
 * due. It serves: it must not stay out for good. A report measured before the swap was due, but
 * arriving after it, says nothing of the swap's end. */
Test (swap, old_version_stated_after_the_swap_was_due_counts)
{
  Fixture f;
  LcLoadReport early = { .incarnation = "a", .version = 4, .measured_at = 90 };

  fixture_init (&f, 2);
  fixture_report (&f, "e0", "a", 4, 10);
  lc_endpoints_set_swap (f.endpoints, "e0", true, 100, 20);
  lc_endpoints_record_load (f.endpoints, "e0", &early, 105);
  cr_assert_not (fixture_may_take (&f, "e0", 106));
  fixture_report (&f, "e0", "a", 4, 110);
  cr_assert (fixture_may_take (&f, "e0", 111));
  fixture_clear (&f);
}

/* Rollouts saturate an engine and a live call finds no place: samples must leave the reserve. */
Test (limits, samples_leave_the_live_reserve)
{
  Fixture f;

  fixture_init (&f, 1);

  LcEndpoint *endpoint = fixture_find (&f, "e0");

  for (int i = 0; i < 6; i++)
    {
      cr_assert (lc_endpoint_can_accept (endpoint, LC_KIND_SAMPLE, 0.25, 1));
      lc_endpoint_request_sent (endpoint, LC_KIND_SAMPLE, 0, 1);
    }
  cr_assert_not (lc_endpoint_can_accept (endpoint, LC_KIND_SAMPLE, 0.25, 1));
  cr_assert (lc_endpoint_can_accept (endpoint, LC_KIND_LIVE, 0.25, 1));
  fixture_clear (&f);
}

/* An engine has one free place by its report, and this instance fills it. The report is a second
 * old and still shows the place; without counting our own since then we would fill it again and
 * again. */
Test (limits, a_free_place_of_a_report_is_filled_once)
{
  Fixture f;
  LcLoadReport report = { .incarnation = "a", .version = 1, .running = 7, .measured_at = 10 };

  fixture_init (&f, 1);
  lc_endpoints_record_load (f.endpoints, "e0", &report, 10);
  cr_assert (fixture_may_take (&f, "e0", 11));
  lc_endpoint_request_sent (fixture_find (&f, "e0"), LC_KIND_LIVE, 0, 11);
  cr_assert_not (fixture_may_take (&f, "e0", 12));
  lc_endpoint_request_ended (fixture_find (&f, "e0"), LC_KIND_LIVE, true, 1, 1, 13);
  cr_assert (fixture_may_take (&f, "e0", 14));
  fixture_clear (&f);
}

/* A report takes half a second to arrive. What was sent before it was measured is in it already; if
 * all sends since the last report counted as new, a busy engine would look twice as busy. */
Test (limits, a_late_report_already_counts_what_was_sent_before_it)
{
  Fixture f;
  LcLoadReport report = { .incarnation = "a", .version = 1, .running = 3, .measured_at = 20 };

  fixture_init (&f, 1);

  LcEndpoint *endpoint = fixture_find (&f, "e0");

  for (LbTime at = 10; at <= 30; at += 5)
    lc_endpoint_request_sent (endpoint, LC_KIND_LIVE, 0, at);
  lc_endpoints_record_load (f.endpoints, "e0", &report, 40);
  cr_assert_eq (endpoint->sent_since_report, 2);
  fixture_clear (&f);
}

/* An endpoint gets another address in the configuration: another process, which was never reported.
 * A swap, a breaker and a load of the one before say nothing of it. */
Test (membership, another_address_is_another_process)
{
  Fixture f;
  LcLoadReport full = { .incarnation = "a", .version = 0, .running = 8, .measured_at = 10 };

  fixture_init (&f, 1);
  lc_endpoints_record_load (f.endpoints, "e0", &full, 10);
  cr_assert_not (fixture_may_take (&f, "e0", 11));
  strcpy (f.members[0].address, "127.0.0.1:2");
  fixture_configure (&f, 12);
  cr_assert_not (fixture_may_take (&f, "e0", 13), "not heard yet");
  fixture_report (&f, "e0", "b", 1, 14);
  cr_assert (fixture_may_take (&f, "e0", 15));
  fixture_clear (&f);
}

/* A plain service names its process in some replies and not in others. Taken as another process
 * each time, its breaker would close and its "leaving" would be forgotten with every second report.
 */
Test (membership, a_report_without_an_incarnation_is_of_the_same_process)
{
  Fixture f;

  fixture_init (&f, 1);
  fixture_report (&f, "e0", "a", 1, 10);
  lc_endpoints_mark_leaving (f.endpoints, "e0", "a", LC_LEAVING_ENDPOINT, 11);
  for (int i = 0; i < 5; i++)
    {
      lc_endpoint_request_sent (fixture_find (&f, "e0"), LC_KIND_LIVE, 0, 12);
      lc_endpoint_request_ended (fixture_find (&f, "e0"), LC_KIND_LIVE, false, 0, 1, 13);
    }
  fixture_report (&f, "e0", "", 1, 20);
  cr_assert_eq (fixture_find (&f, "e0")->breaker, LC_BREAKER_OPEN);
  fixture_report (&f, "e0", "a", 1, 30);
  cr_assert_not (fixture_may_take (&f, "e0", 31));
  cr_assert_str_eq (fixture_find (&f, "e0")->report.incarnation, "a");
  fixture_clear (&f);
}

/* The clock of an endpoint jumps ahead for one report. If that time were believed, all later
 * reports would count as old: a load of hours ago, and a version that no longer serves. */
Test (report, a_time_to_come_does_not_shut_out_later_reports)
{
  Fixture f;
  LcLoadReport ahead = { .incarnation = "a", .version = 1, .measured_at = 3600 * LB_SEC };

  fixture_init (&f, 1);
  lc_endpoints_record_load (f.endpoints, "e0", &ahead, 10);
  fixture_report (&f, "e0", "a", 2, 20);
  cr_assert_eq (fixture_find (&f, "e0")->report.version, 2);
  fixture_clear (&f);
}

Test (report, nonsense_does_not_draw_in_work)
{
  Fixture f;
  LcLoadReport report = {
    .incarnation = "a", .version = -3, .running = -1000, .tokens_per_second = -5, .measured_at = 10
  };

  fixture_init (&f, 1);
  lc_endpoints_record_load (f.endpoints, "e0", &report, 10);
  cr_assert_eq (fixture_find (&f, "e0")->report.running, 0);
  cr_assert_not (fixture_may_take (&f, "e0", 11), "a version below 1 is none");
  fixture_clear (&f);
}

/* An engine refuses new requests for the second that it loads weights. Five refusals opened its
 * breaker, which then let in one request, two, three, long after the load; with weights every few
 * seconds half of the engines stood idle while samples waited for seconds. */
Test (endpoints, refusals_of_an_endpoint_that_states_its_size_open_no_breaker)
{
  Fixture f;
  LbTime now = LB_SEC;

  fixture_init (&f, 1);
  f.members[0].reports_concurrency = true;
  fixture_configure (&f, now);
  LcEndpoint *engine = lc_endpoints_find (f.endpoints, "e0");
  for (int i = 0; i < 8; i++)
    {
      lc_endpoint_request_sent (engine, LC_KIND_SAMPLE, 0, now);
      lc_endpoint_request_refused (engine, LC_KIND_SAMPLE, now);
      cr_assert_not (lc_endpoint_can_accept (engine, LC_KIND_SAMPLE, 0, now));
      now += 150 * LB_MSEC;
      cr_assert (lc_endpoint_can_accept (engine, LC_KIND_SAMPLE, 0, now),
                 "it is asked again shortly");
    }
  cr_assert_eq (engine->breaker, LC_BREAKER_CLOSED);
  cr_assert_eq (engine->concurrency_limit, 8);
  cr_assert_eq (engine->in_flight, 0);
  fixture_clear (&f);
}

/* While it is known to load it gets nothing at all; one that only guesses sizes is still asked. */
Test (endpoints, an_endpoint_that_states_its_size_takes_nothing_during_a_swap)
{
  Fixture f;
  LbTime now = LB_SEC;

  fixture_init (&f, 2);
  f.members[0].reports_concurrency = true;
  fixture_configure (&f, now);
  for (int i = 0; i < 2; i++)
    lc_endpoints_set_swap (f.endpoints, f.members[i].name, true, now + LB_SEC, now);
  cr_assert_not (
      lc_endpoint_can_accept (lc_endpoints_find (f.endpoints, "e0"), LC_KIND_SAMPLE, 0, now));
  cr_assert (
      lc_endpoint_can_accept (lc_endpoints_find (f.endpoints, "e1"), LC_KIND_SAMPLE, 0, now));
  fixture_clear (&f);
}

/* An engine that holds two models is used for the other one from now on. It has version 7 of the
 * first and version 1 of the second; samples that need version 6 went there and were thrown away.
 */
Test (endpoints, an_engine_that_changes_its_pool_is_not_believed_to_have_its_weights)
{
  Fixture f;
  LcLoadReport report = { .version = 7 };
  LbTime now = LB_SEC;

  fixture_init (&f, 1);
  report.measured_at = now;
  lc_endpoints_record_load (f.endpoints, "e0", &report, now);
  strcpy (f.members[0].pool, "writer");
  fixture_configure (&f, now);
  LcEndpoint *engine = lc_endpoints_find (f.endpoints, "e0");
  cr_assert_not (lc_endpoint_can_accept (engine, LC_KIND_SAMPLE, 0, now));
  report.version = 1;
  report.measured_at = now + LB_MSEC;
  lc_endpoints_record_load (f.endpoints, "e0", &report, now + LB_MSEC);
  cr_assert (lc_endpoint_can_accept (engine, LC_KIND_SAMPLE, 0, now + LB_MSEC));
  cr_assert_eq (engine->report.version, 1);
  fixture_clear (&f);
}
