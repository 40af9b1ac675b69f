#include "lc-move.h"

#include <criterion/criterion.h>

/* A text with 5 s left on an engine of usual pace 1.0, with an equal engine free. A token takes
 * 50 ms at pace 1.0. */
static LcMoveInputs
make_inputs (double here_pace, double recent_pace, double there_pace)
{
  return (LcMoveInputs){ .proposal = { .remaining_tokens = 100,
                                       .recent_token_seconds = 0.05 * recent_pace,
                                       .usual_token_seconds = 0.05,
                                       .gain_seconds = 1 },
                         .since_last_piece = 50 * LB_MSEC,
                         .source_lasting_token_seconds = 0.05 * here_pace,
                         .target_lasting_token_seconds = 0.05 * there_pace,
                         .n_free_slots = 1,
                         .prompt_tokens = 400,
                         .first_piece_seconds = 0.15 };
}

static void
expect_reason (const LcMoveInputs *inputs, LcMoveReason expected)
{
  LcMoveDecision decision = lc_move_decide (inputs);

  cr_assert_eq (decision.reason, expected, "expected %s, got %s with gain %.2f",
                lc_move_reason_name (expected), lc_move_reason_name (decision.reason),
                decision.gain_seconds);
}

/* A step would wait for its last text at a slow engine. Other texts must not move: each move loads
 * the prompt again and saves the step no time. */
Test (move, text_leaves_an_engine_that_is_usually_slow)
{
  LcMoveInputs inputs = make_inputs (1.7, 1.7, 0.7);

  inputs.proposal.decides_step = true;
  expect_reason (&inputs, LC_MOVE_LASTING_PACE);
  cr_assert_float_eq (lc_move_decide (&inputs).gain_seconds, 4.8, 0.01);
  inputs.proposal.decides_step = false;
  expect_reason (&inputs, LC_MOVE_STEP_DOES_NOT_WAIT);
  inputs.proposal.decides_step = true;
  inputs.proposal.remaining_tokens = 15;
  expect_reason (&inputs, LC_MOVE_GAIN_TOO_SMALL);
}

/* Each engine is 2.5 times slower for intervals of 600 ms, which raises the pace over a second to
 * less than 1.4 times. Moves for this reason preempted a third of all runs. */
Test (move, momentary_slowness_moves_no_text)
{
  LcMoveInputs inputs = make_inputs (1, 1.4, 1);

  inputs.proposal.decides_step = true;
  expect_reason (&inputs, LC_MOVE_MOMENTARY);
  inputs.proposal.recent_token_seconds = 3.0 * 0.05;
  expect_reason (&inputs, LC_MOVE_SLOWED_DOWN);
  inputs.proposal.decides_step = false;
  expect_reason (&inputs, LC_MOVE_SLOWED_DOWN);
  inputs.target_recent_token_seconds = 3.0 * 0.05;
  expect_reason (&inputs, LC_MOVE_GAIN_TOO_SMALL);
}

/* Without free slot, a moved text waits in the queue, and a text that waits already is later. */
Test (move, text_needs_a_free_slot)
{
  LcMoveInputs inputs = make_inputs (1.7, 6, 0.7);

  inputs.n_free_slots = 0;
  expect_reason (&inputs, LC_MOVE_NO_FREE_SLOT);
  inputs.proposal.decides_step = true;
  expect_reason (&inputs, LC_MOVE_NO_FREE_SLOT);
}

/* While all engines are full, a text stayed at an engine 3.5 times slower for several seconds, and
 * its step ended 3 s late. */
Test (move, text_leaves_a_much_slower_engine_without_a_free_slot)
{
  LcMoveInputs inputs = make_inputs (1, 3.5, 1);

  inputs.n_free_slots = 0;
  inputs.proposal.gain_seconds = 2;
  expect_reason (&inputs, LC_MOVE_SLOWED_DOWN);
  inputs.n_waiting = 3;
  expect_reason (&inputs, LC_MOVE_NO_FREE_SLOT);
  inputs.proposal.decides_step = true;
  expect_reason (&inputs, LC_MOVE_SLOWED_DOWN);
  inputs.proposal.recent_token_seconds = 0.05 * 2;
  expect_reason (&inputs, LC_MOVE_NO_FREE_SLOT);
}

/* A text that moves takes the free slot from a waiting request, which delays the request's step. */
Test (move, while_requests_wait_only_texts_that_decide_their_step_move)
{
  LcMoveInputs inputs = make_inputs (1.7, 1.7, 0.7);

  inputs.n_waiting = 3;
  expect_reason (&inputs, LC_MOVE_REQUESTS_WAIT);
  inputs.proposal.decides_step = true;
  expect_reason (&inputs, LC_MOVE_LASTING_PACE);
}

/* A text at an engine that has stopped sending would wait until its stream counts as broken. */
Test (move, stalled_text_moves)
{
  LcMoveInputs inputs = make_inputs (1, 1, 1);

  inputs.since_last_piece = 410 * LB_MSEC;
  expect_reason (&inputs, LC_MOVE_STALLED);
  inputs.n_free_slots = 0;
  expect_reason (&inputs, LC_MOVE_NO_FREE_SLOT);
  inputs.proposal.decides_step = true;
  expect_reason (&inputs, LC_MOVE_STALLED);
  inputs.source_lasting_token_seconds = 0.1;
  expect_reason (&inputs, LC_MOVE_NO_FREE_SLOT);
}

/* An instance that has just started knows no lasting pace. Its texts must still leave a slow engine
 * by the comparison with the average pace. */
Test (move, without_lasting_pace_the_proposal_decides)
{
  LcMoveInputs inputs = make_inputs (0, 3, 0);

  inputs.n_free_slots = 0;
  expect_reason (&inputs, LC_MOVE_UNKNOWN_PACE);
  inputs.since_last_piece = LB_SEC;
  expect_reason (&inputs, LC_MOVE_STALLED);
}

/* The pace of the free engine is unknown, so the average pace is expected there. */
Test (move, average_pace_stands_in_for_an_unknown_one)
{
  LcMoveInputs inputs = make_inputs (1.7, 1.7, 0);

  inputs.proposal.decides_step = true;
  expect_reason (&inputs, LC_MOVE_LASTING_PACE);
  inputs.source_lasting_token_seconds = 0.05;
  inputs.proposal.recent_token_seconds = 0.05;
  expect_reason (&inputs, LC_MOVE_GAIN_TOO_SMALL);
}
