#include "lc-move.h"

#include <math.h>

/* A pace over about a second that is slower than the lasting pace by this factor is not momentary:
 * a slowdown of 2.5 times for 600 ms changes the pace over a second by less than 1.4 times, one of
 * 3.5 times reaches this factor within 0.7 s. */
#define SLOWED_DOWN_FACTOR 1.5
/* A stream without a piece for this time and for this multiple of the usual interval has stalled.
 */
#define MIN_STALL_SECONDS 0.4
#define STALL_INTERVALS 5.0
/* Tokens of the prompt and of the text so far that an engine processes per second. */
#define PREFILL_TOKENS_PER_SECOND 8000.0
#define CONNECT_SECONDS 0.05 /* time to open a connection */
/* Smallest gain, at the lasting paces, for which a text that decides when its step ends moves. */
#define MIN_DECISIVE_GAIN_SECONDS 0.8
/* Smallest gain for which any text leaves an engine that slowed down. It is small because the pace
 * over the last second is still better than the present pace. */
#define MIN_SLOWED_DOWN_GAIN_SECONDS 0.3

/* Smallest gain for which a text leaves an engine that slowed down although no slot is free or
 * others wait. It then waits in the queue, where it is among the first, since its step is late. A
 * text that stays at an engine 3.5 times slower delays its step by several seconds. */
#define MIN_GAIN_WITHOUT_SLOT_SECONDS 1.5
/* The pace over a second reaches this multiple of the lasting pace 1.1 s after an engine has become
 * 3.5 times slower. Two slowdowns of 2.5 times for 600 ms in a row stay below. */
#define SEVERE_SLOWDOWN_FACTOR 2.3

static const char *const reason_names[LC_N_MOVE_REASONS] = {
  [LC_MOVE_LASTING_PACE] = "lasting_pace",
  [LC_MOVE_SLOWED_DOWN] = "slowed_down",
  [LC_MOVE_STALLED] = "stalled",
  [LC_MOVE_UNKNOWN_PACE] = "unknown_pace",
  [LC_MOVE_NO_FREE_SLOT] = "no_free_slot",
  [LC_MOVE_REQUESTS_WAIT] = "requests_wait",
  [LC_MOVE_GAIN_TOO_SMALL] = "gain_too_small",
  [LC_MOVE_MOMENTARY] = "momentary",
  [LC_MOVE_NOT_RUNNING] = "not_running",
  [LC_MOVE_STEP_DOES_NOT_WAIT] = "step_does_not_wait",
};

const char *
lc_move_reason_name (LcMoveReason reason)
{
  return reason_names[reason];
}

bool
lc_move_is_reason_to_move (LcMoveReason reason)
{
  return reason < LC_N_REASONS_TO_MOVE;
}

double
lc_move_expected_token_seconds (double lasting, double recent)
{
  return recent >= SLOWED_DOWN_FACTOR * lasting ? recent : lasting;
}

static bool
has_stalled (const LcMoveInputs *inputs)
{
  double usual = inputs->source_lasting_token_seconds > 0 ? inputs->source_lasting_token_seconds
                                                          : inputs->proposal.usual_token_seconds;

  return (double)inputs->since_last_piece / LB_SEC
         > fmax (MIN_STALL_SECONDS, STALL_INTERVALS * usual);
}

/* Time until the other endpoint sends the first piece. */
static double
get_move_cost_seconds (const LcMoveInputs *inputs)
{
  return CONNECT_SECONDS
         + fmax (inputs->first_piece_seconds,
                 (double)inputs->prompt_tokens / PREFILL_TOKENS_PER_SECOND);
}

static double
estimate_gain_seconds (const LcMoveInputs *inputs, double source_token_seconds)
{
  double lasting = inputs->target_lasting_token_seconds > 0 ? inputs->target_lasting_token_seconds
                                                            : inputs->proposal.usual_token_seconds;
  double target_token_seconds
      = lc_move_expected_token_seconds (lasting, inputs->target_recent_token_seconds);

  return inputs->proposal.remaining_tokens * (source_token_seconds - target_token_seconds)
         - get_move_cost_seconds (inputs);
}

static LcMoveDecision
compare_paces (const LcMoveInputs *inputs)
{
  double recent = inputs->proposal.recent_token_seconds;
  double lasting = inputs->source_lasting_token_seconds;
  bool is_decisive = inputs->proposal.decides_step;
  LcMoveDecision decision = { .gain_seconds = estimate_gain_seconds (inputs, lasting) };
  double recent_gain = estimate_gain_seconds (inputs, recent);

  if (is_decisive && decision.gain_seconds >= MIN_DECISIVE_GAIN_SECONDS)
    decision.reason = LC_MOVE_LASTING_PACE;
  else if (recent >= SLOWED_DOWN_FACTOR * lasting && recent_gain >= MIN_SLOWED_DOWN_GAIN_SECONDS)
    {
      decision.reason = LC_MOVE_SLOWED_DOWN;
      decision.gain_seconds = recent_gain;
    }
  else if (decision.gain_seconds >= MIN_DECISIVE_GAIN_SECONDS)
    decision.reason = LC_MOVE_STEP_DOES_NOT_WAIT;
  else if (recent > lasting && recent_gain >= MIN_SLOWED_DOWN_GAIN_SECONDS)
    decision.reason = LC_MOVE_MOMENTARY;
  else
    decision.reason = LC_MOVE_GAIN_TOO_SMALL;
  return decision;
}

/* Whether the text leaves an engine that has become much slower, even if it must wait for a slot.
 */
static bool
should_leave_without_free_slot (const LcMoveInputs *inputs)
{
  return (inputs->n_waiting == 0 || inputs->proposal.decides_step)
         && inputs->proposal.gain_seconds >= MIN_GAIN_WITHOUT_SLOT_SECONDS
         && inputs->proposal.recent_token_seconds
                >= SEVERE_SLOWDOWN_FACTOR * inputs->source_lasting_token_seconds;
}

/* A text that decides the end of its step leaves a stalled endpoint even if it must wait for a
 * slot, since the stalled stream makes no progress. */
LcMoveDecision
lc_move_decide (const LcMoveInputs *inputs)
{
  LcMoveDecision decision = { .gain_seconds = inputs->proposal.gain_seconds };
  bool is_decisive = inputs->proposal.decides_step;

  if (inputs->source_lasting_token_seconds <= 0)
    decision.reason = has_stalled (inputs) ? LC_MOVE_STALLED : LC_MOVE_UNKNOWN_PACE;
  else if (has_stalled (inputs) && (inputs->n_free_slots > 0 || is_decisive))
    decision.reason = LC_MOVE_STALLED;
  else if (should_leave_without_free_slot (inputs))
    decision.reason = LC_MOVE_SLOWED_DOWN;
  else if (inputs->n_free_slots == 0)
    decision.reason = LC_MOVE_NO_FREE_SLOT;
  else if (inputs->n_waiting > 0 && !is_decisive)
    decision.reason = LC_MOVE_REQUESTS_WAIT;
  else
    return compare_paces (inputs);
  return decision;
}
