#include "dispatch-fixture.h"

static const LcDispatchSettings settings
    = { .max_report_age = LB_TIME_NEVER, .queue_limit = 100, .retry_budget = 0.2, .seed = 1 };

Test (dispatch, answer_pieces_are_forwarded_as_they_arrive)
{
  Fixture f;

  fixture_init (&f, &settings, 2, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  cr_assert (fixture_submit_request (&f, &spec));

  LcAction send = fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id);

  cr_assert_eq (send.attempt, 1);
  cr_assert_str_eq (send.address, "127.0.0.1:9");
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 0, 3, false), LC_PIECE_FORWARD);
  cr_assert_eq (fixture_deliver_piece (&f, spec.id, 1, 3, 2, true), LC_PIECE_FORWARD);
  fixture_end_attempt (&f, spec.id, 1, LC_END_COMPLETE);
  cr_assert_eq (fixture_expect_action_of_request (&f, LC_ACTION_FINISH, spec.id).error, LB_OK);
  cr_assert_eq (lc_dispatch_count_requests_in_progress (f.dispatch), 0);
  fixture_clear (&f);
}

Test (dispatch, refused_requests_get_the_error_of_their_reason)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 4);

  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_LIVE);

  LB_COPY (spec.pool, "nobody");
  cr_assert_not (fixture_submit_request (&f, &spec));
  cr_assert_eq (f.error.code, LB_ERROR_UNKNOWN_POOL);
  spec.kind = LC_KIND_SERVICE;
  cr_assert_not (fixture_submit_request (&f, &spec));
  cr_assert_eq (f.error.code, LB_ERROR_UNKNOWN_SERVICE);
  spec = fixture_make_request_spec (&f, LC_KIND_LIVE);
  spec.deadline = f.now;
  cr_assert_not (fixture_submit_request (&f, &spec));
  cr_assert_eq (f.error.code, LB_ERROR_DEADLINE_BEFORE_START);
  cr_assert (lb_list_is_empty (&f.actions));
  fixture_clear (&f);
}
