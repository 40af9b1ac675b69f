#include "endpoints-fixture.h"

#include <math.h>

#include "lc-stream-pace.h"

#define USUAL (48 * LB_MSEC) /* between two pieces of an engine that is well */
#define SLOW (4 * USUAL)

Test (pace, follows_a_change_within_the_window)
{
  LcStreamPace pace = { 0 };

  cr_assert_eq (lc_stream_pace_token_seconds (&pace), 0, "nothing is known yet");
  for (int i = 0; i < 100; i++)
    lc_stream_pace_add (&pace, 1, USUAL);
  cr_assert_float_eq (lc_stream_pace_token_seconds (&pace), 0.048, 0.002);
  for (int i = 0; i < 5; i++)
    lc_stream_pace_add (&pace, 1, SLOW);
  cr_assert_gt (lc_stream_pace_token_seconds (&pace), 0.048 * 1.5);
}

/* An instance stands still for half a second and then reads ten pieces at once. Its engine was not
 * slow: had it been taken for slow, each text there would have been moved. */
Test (pace, pieces_read_late_make_up_for_the_time_before_them)
{
  LcStreamPace pace = { 0 };

  for (int i = 0; i < 40; i++)
    lc_stream_pace_add (&pace, 1, USUAL);
  lc_stream_pace_add (&pace, 1, 10 * USUAL);
  for (int i = 0; i < 9; i++)
    lc_stream_pace_add (&pace, 1, 0);
  cr_assert_float_eq (lc_stream_pace_token_seconds (&pace), 0.048, 0.003);
}

Test (pace, a_silence_counts_as_slow)
{
  LcStreamPace pace = { 0 };

  for (int i = 0; i < 40; i++)
    lc_stream_pace_add (&pace, 1, USUAL);
  lc_stream_pace_add (&pace, 0, 500 * LB_MSEC);
  cr_assert_gt (lc_stream_pace_token_seconds (&pace), 0.048 * 1.5);
}

static void
stream (Fixture *f, const char *endpoint, LbTime interval, LbTime from, LbTime to)
{
  for (LbTime now = from; now < to; now += interval)
    lc_endpoint_tokens_received (fixture_find (f, endpoint), 1, interval, now);
}

static int
count_chosen (Fixture *f, const char *endpoint, LbTime now)
{
  LcRouteQuery query = fixture_query ();
  LcRouter *router = lc_router_new ("lentilspindle", 7);
  int n = 0;

  for (int i = 0; i < 40; i++)
    n += strcmp (lc_router_choose (router, f->endpoints, &query, now).endpoint->member.name,
                 endpoint)
         == 0;
  lc_router_free (router);
  return n;
}

/* One engine of four turns four times slower. New texts went there as before until the long ones
 * that it had ended, seconds later, and a trainer's step waited for them. It gets none while the
 * others have room; once nothing was seen of it for a while it is tried again. */
Test (pace, an_engine_that_turns_slow_gets_nothing_while_others_have_room)
{
  Fixture f;

  fixture_init (&f, 4);
  for (int i = 0; i < 4; i++)
    stream (&f, f.members[i].name, USUAL, 1, 2 * LB_SEC);
  cr_assert_gt (count_chosen (&f, "e3", 2 * LB_SEC), 0);
  stream (&f, "e3", SLOW, 2 * LB_SEC, 3 * LB_SEC);
  for (int i = 0; i < 3; i++)
    stream (&f, f.members[i].name, USUAL, 2 * LB_SEC, 3 * LB_SEC);
  cr_assert_eq (count_chosen (&f, "e3", 3 * LB_SEC), 0);
  for (int i = 0; i < 3; i++)
    stream (&f, f.members[i].name, USUAL, 3 * LB_SEC, 9 * LB_SEC);
  cr_assert_gt (count_chosen (&f, "e3", 9 * LB_SEC), 0, "it may be well again");
  fixture_clear (&f);
}

/* --- a text that would be late at a slow engine --- */

static const char *
place (Fixture *f, const LcRouteQuery *query, LbTime now)
{
  LcRouter *router = lc_router_new ("lentilspindle", 7);
  LcRouteDecision decision = lc_router_choose (router, f->endpoints, query, now);

  lc_router_free (router);
  return decision.endpoint ? decision.endpoint->member.name : "";
}

/* Of the two engines of a model one has turned slow; the other one is full for the moment. */
static void
make_slow_and_full (Fixture *f, LbTime now)
{
  fixture_init (f, 2);
  stream (f, "e0", USUAL, 1, now);
  stream (f, "e1", SLOW, 1, now);
  stream (f, "e0", USUAL, now - LB_SEC, now);
  for (int i = 0; i < 8; i++)
    lc_endpoint_request_sent (fixture_find (f, "e0"), LC_KIND_SAMPLE, 0, now);
}

static LcRouteQuery
long_text (LbTime now)
{
  LcRouteQuery query = fixture_query ();

  query.kind = LC_KIND_SAMPLE;
  query.expected_tokens = 100; /* 4.8 s at an engine that is well, 19 s at a slow one */
  query.soft_deadline = now + 7 * LB_SEC;
  query.submitted = now;
  return query;
}

/* Two of a model's three engines are slow and have room. The longest text of a step goes to one of
 * them, is found to be too slow there, moves to the other slow one and back; the step comes 3 s
 * late though the third engine had room a moment later. Now it waits for that one; a short text,
 * which is in time anywhere, does not. */
Test (pace, a_long_text_waits_for_an_engine_at_full_pace)
{
  LbTime now = 3 * LB_SEC;
  LcRouteQuery query = long_text (now);
  Fixture f;

  make_slow_and_full (&f, now);
  cr_assert_str_eq (place (&f, &query, now), "");
  query.expected_tokens = 5;
  cr_assert_str_eq (place (&f, &query, now), "e1");
  fixture_clear (&f);
}

/* A text that was to wait for ever would be worse off than a slow one. */
Test (pace, a_long_text_waits_no_longer_than_it_would_lose)
{
  LbTime now = 3 * LB_SEC;
  LcRouteQuery query = long_text (now);
  Fixture f;

  make_slow_and_full (&f, now);
  query.submitted = now - 2 * LB_SEC;
  cr_assert_str_eq (place (&f, &query, now), "");
  query.submitted = now - 3 * LB_SEC;
  cr_assert_str_eq (place (&f, &query, now), "e1",
                    "it would lose 14 s there, but has waited enough");
  fixture_clear (&f);
}

/* The engine that is well goes away: nothing better is left to wait for, also for a text that was
 * moved away from the other one. */
Test (pace, a_long_text_takes_a_slow_engine_when_no_other_is_left)
{
  LbTime now = 3 * LB_SEC;
  LcRouteQuery query = long_text (now);
  Fixture f;

  make_slow_and_full (&f, now);
  lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_ENDPOINT, now);
  cr_assert_str_eq (place (&f, &query, now), "e1");
  query.n_avoid = 1;
  strcpy (query.avoid[0], "e1");
  cr_assert_str_eq (place (&f, &query, now), "e1");
  fixture_clear (&f);
}
