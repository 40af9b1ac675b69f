#include "endpoints-fixture.h"

#include <math.h>

#include "lc-stream-pace.h"

#define NORMAL_INTERVAL (48 * LB_MSEC) /* time between two chunks */
#define SLOW_INTERVAL (4 * NORMAL_INTERVAL)

Test (pace, pace_follows_a_change_within_the_time_constant)
{
  LcStreamPace pace = { 0 };

  cr_assert_eq (lc_stream_pace_token_seconds (&pace), 0, "the pace must be 0 without data");
  for (int i = 0; i < 100; i++)
    lc_stream_pace_add_tokens (&pace, 1, NORMAL_INTERVAL);
  cr_assert_float_eq (lc_stream_pace_token_seconds (&pace), 0.048, 0.002);
  for (int i = 0; i < 5; i++)
    lc_stream_pace_add_tokens (&pace, 1, SLOW_INTERVAL);
  cr_assert_gt (lc_stream_pace_token_seconds (&pace), 0.048 * 1.5);
}

/* An instance is paused for half a second and then reads ten chunks at once. The engine was not
 * slow; if it were treated as slow, each of its generations would be moved to another engine. */
Test (pace, chunks_read_late_compensate_for_the_interval_before_them)
{
  LcStreamPace pace = { 0 };

  for (int i = 0; i < 40; i++)
    lc_stream_pace_add_tokens (&pace, 1, NORMAL_INTERVAL);
  lc_stream_pace_add_tokens (&pace, 1, 10 * NORMAL_INTERVAL);
  for (int i = 0; i < 9; i++)
    lc_stream_pace_add_tokens (&pace, 1, 0);
  cr_assert_float_eq (lc_stream_pace_token_seconds (&pace), 0.048, 0.003);
}

Test (pace, time_without_chunks_makes_the_pace_slow)
{
  LcStreamPace pace = { 0 };

  for (int i = 0; i < 40; i++)
    lc_stream_pace_add_tokens (&pace, 1, NORMAL_INTERVAL);
  lc_stream_pace_add_tokens (&pace, 0, 500 * LB_MSEC);
  cr_assert_gt (lc_stream_pace_token_seconds (&pace), 0.048 * 1.5);
}

static void
record_streamed_tokens (Fixture *f, const char *endpoint, LbTime interval, LbTime from, LbTime to)
{
  for (LbTime now = from; now < to; now += interval)
    lc_endpoint_tokens_received (fixture_find_endpoint (f, endpoint), 1, interval, now);
}

static int
count_routing_decisions_for_endpoint (Fixture *f, const char *endpoint, LbTime now)
{
  LcRouteQuery query = fixture_make_route_query ();
  LcRouter *router = lc_router_new ("lentilspindle", 7);
  int n = 0;

  for (int i = 0; i < 40; i++)
    n += strcmp (
             lc_router_choose_endpoint (router, f->endpoints, &query, now).endpoint->member.name,
             endpoint)
         == 0;
  lc_router_free (router);
  return n;
}

/* One of four engines becomes four times slower. Until its long generations ended, seconds later,
 * new generations were still sent to it, and a trainer's step waited for them. The slow engine must
 * get no requests while the others have capacity, and must be tried again once its pace is
 * outdated. */
Test (pace, slow_engine_gets_no_requests_while_others_have_capacity)
{
  Fixture f;

  fixture_init (&f, 4);
  for (int i = 0; i < 4; i++)
    record_streamed_tokens (&f, f.members[i].name, NORMAL_INTERVAL, 1, 2 * LB_SEC);
  cr_assert_gt (count_routing_decisions_for_endpoint (&f, "e3", 2 * LB_SEC), 0);
  record_streamed_tokens (&f, "e3", SLOW_INTERVAL, 2 * LB_SEC, 3 * LB_SEC);
  for (int i = 0; i < 3; i++)
    record_streamed_tokens (&f, f.members[i].name, NORMAL_INTERVAL, 2 * LB_SEC, 3 * LB_SEC);
  cr_assert_eq (count_routing_decisions_for_endpoint (&f, "e3", 3 * LB_SEC), 0);
  for (int i = 0; i < 3; i++)
    record_streamed_tokens (&f, f.members[i].name, NORMAL_INTERVAL, 3 * LB_SEC, 9 * LB_SEC);
  cr_assert_gt (count_routing_decisions_for_endpoint (&f, "e3", 9 * LB_SEC), 0,
                "the engine must be tried again, since it may have recovered");
  fixture_clear (&f);
}

/* --- choice of an endpoint for generations that would miss their deadline on a slow engine --- */

static const char *
choose_endpoint_with_new_router (Fixture *f, const LcRouteQuery *query, LbTime now)
{
  LcRouter *router = lc_router_new ("lentilspindle", 7);
  LcRouteDecision decision = lc_router_choose_endpoint (router, f->endpoints, query, now);

  lc_router_free (router);
  return decision.endpoint ? decision.endpoint->member.name : "";
}

/* Creates two engines of one model: e0 has a normal pace and is full, e1 has become slow. */
static void
fixture_init_slow_and_full_engines (Fixture *f, LbTime now)
{
  fixture_init (f, 2);
  record_streamed_tokens (f, "e0", NORMAL_INTERVAL, 1, now);
  record_streamed_tokens (f, "e1", SLOW_INTERVAL, 1, now);
  record_streamed_tokens (f, "e0", NORMAL_INTERVAL, now - LB_SEC, now);
  for (int i = 0; i < 8; i++)
    lc_endpoint_request_sent (fixture_find_endpoint (f, "e0"), LC_KIND_SAMPLE, 0, now);
}

static LcRouteQuery
make_long_generation_query (LbTime now)
{
  LcRouteQuery query = fixture_make_route_query ();

  query.kind = LC_KIND_SAMPLE;
  query.expected_tokens = 100; /* 100 tokens take 4.8 s on a normal engine, 19 s on a slow one */
  query.soft_deadline = now + 7 * LB_SEC;
  query.submitted = now;
  return query;
}

/* Two of a model's three engines are slow and have capacity. The longest generation of a step was
 * sent to one of them, found too slow, and moved to the other slow engine and back. The step was
 * late by 3 s although the third engine had capacity a moment later. The generation must wait for
 * the third engine; a short generation, which meets its deadline on any engine, must not wait. */
Test (pace, long_generation_waits_for_an_engine_at_full_pace)
{
  LbTime now = 3 * LB_SEC;
  LcRouteQuery query = make_long_generation_query (now);
  Fixture f;

  fixture_init_slow_and_full_engines (&f, now);
  cr_assert_str_eq (choose_endpoint_with_new_router (&f, &query, now), "");
  query.expected_tokens = 5;
  cr_assert_str_eq (choose_endpoint_with_new_router (&f, &query, now), "e1");
  fixture_clear (&f);
}

/* A generation must not wait for ever for a fast engine: a slow engine is better than none. */
Test (pace, long_generation_waits_for_a_limited_time)
{
  LbTime now = 3 * LB_SEC;
  LcRouteQuery query = make_long_generation_query (now);
  Fixture f;

  fixture_init_slow_and_full_engines (&f, now);
  query.submitted = now - 2 * LB_SEC;
  cr_assert_str_eq (choose_endpoint_with_new_router (&f, &query, now), "");
  query.submitted = now - 3 * LB_SEC;
  cr_assert_str_eq (choose_endpoint_with_new_router (&f, &query, now), "e1",
                    "must use the slow engine after the maximum wait, although it loses 14 s");
  fixture_clear (&f);
}

/* The engine with a normal pace is leaving, so there is no faster engine to wait for, not even for
 * a generation that was moved away from the slow engine. */
Test (pace, long_generation_uses_a_slow_engine_when_no_other_is_left)
{
  LbTime now = 3 * LB_SEC;
  LcRouteQuery query = make_long_generation_query (now);
  Fixture f;

  fixture_init_slow_and_full_engines (&f, now);
  lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_ENDPOINT, now);
  cr_assert_str_eq (choose_endpoint_with_new_router (&f, &query, now), "e1");
  query.n_avoid = 1;
  strcpy (query.avoid[0], "e1");
  cr_assert_str_eq (choose_endpoint_with_new_router (&f, &query, now), "e1");
  fixture_clear (&f);
}

/* A restarted engine may be faster or slower than before, for example on another machine. */
Test (pace, new_process_starts_without_a_lasting_pace)
{
  LbTime now = 5 * LB_SEC;
  LcLoadReport report = { .version = 1, .slots = 8, .work_time_percent = 250, .measured_at = now };
  Fixture f;

  fixture_init (&f, 2);
  fixture_record_load_report (&f, "e0", "first", 1, 1);
  record_streamed_tokens (&f, "e0", NORMAL_INTERVAL, 1, now);
  strcpy (report.incarnation, "first");
  lc_endpoints_record_load_report (f.endpoints, "e0", &report, now);
  cr_assert_float_eq (lc_endpoint_lasting_token_seconds (fixture_find_endpoint (&f, "e0")), 0.048,
                      0.003);
  cr_assert_eq (fixture_find_endpoint (&f, "e0")->report.slots, 8);
  cr_assert_gt (lc_endpoint_present_slowdown (fixture_find_endpoint (&f, "e0"), now), 2);
  fixture_record_load_report (&f, "e0", "second", 1, now + 1);
  cr_assert_eq (lc_endpoint_lasting_token_seconds (fixture_find_endpoint (&f, "e0")), 0);
  cr_assert_eq (lc_endpoint_present_slowdown (fixture_find_endpoint (&f, "e0"), now + 1), 1);
  cr_assert_eq (fixture_find_endpoint (&f, "e0")->report.slots, 0);
  cr_assert_gt (lc_endpoint_group_lasting_token_seconds (fixture_find_endpoint (&f, "e0")), 0,
                "the group's median must stand in for the unknown pace");
  fixture_clear (&f);
}

/* Small differences of the measured paces must not make all instances choose the same engine from
 * the same report. */
Test (pace, engines_of_nearly_equal_pace_share_the_requests)
{
  Fixture f;

  fixture_init (&f, 4);
  for (int i = 0; i < 4; i++)
    record_streamed_tokens (&f, f.members[i].name, NORMAL_INTERVAL + i * LB_MSEC, 1, 3 * LB_SEC);
  for (int i = 0; i < 4; i++)
    cr_assert_gt (count_routing_decisions_for_endpoint (&f, f.members[i].name, 3 * LB_SEC), 0,
                  "%s gets no requests", f.members[i].name);
  fixture_clear (&f);
}
