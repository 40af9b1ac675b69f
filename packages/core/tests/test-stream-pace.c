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
    lc_endpoints_streamed (fixture_find (f, endpoint), 1, interval, now);
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
