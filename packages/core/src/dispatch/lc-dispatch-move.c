#include "lc-dispatch-private.h"

#include "lc-endpoint-table.h"

#include "lb-alloc.h"
#include "lb-counter.h"

#include <math.h>
#include <string.h>

/* A free slot is held for the time that the cancelled text takes to come back as a new request. */
#define MOVE_HOLD_TIME (200 * LB_MSEC)
/* Longest time for which the next free slot is kept for a running text. Longer than the delay after
 * which the text is proposed again, so that the slot is still kept then. */
#define NEXT_SLOT_HOLD_TIME (400 * LB_MSEC)
/* Endpoints whose expected pace differs less from the fastest are equal, and one is drawn.
 * Otherwise all instances would move texts to the same endpoint. */
#define PACE_TOLERANCE 0.1

#define MOVES_HELP "Running texts that moved to another endpoint, by reason"
#define REFUSED_HELP "Proposed moves of running texts that were refused, by reason"
#define MOVES_INIT(reason)                                                                         \
  LB_COUNTER_INIT ("lentilspindle_moves_total", "reason=\"" reason "\"", MOVES_HELP)
#define REFUSED_INIT(reason)                                                                       \
  LB_COUNTER_INIT ("lentilspindle_moves_refused_total", "reason=\"" reason "\"", REFUSED_HELP)

static LbMetric decided_moves[LC_N_MOVE_REASONS] = {
  [LC_MOVE_LASTING_PACE] = MOVES_INIT ("lasting_pace"),
  [LC_MOVE_SLOWED_DOWN] = MOVES_INIT ("slowed_down"),
  [LC_MOVE_STALLED] = MOVES_INIT ("stalled"),
  [LC_MOVE_UNKNOWN_PACE] = MOVES_INIT ("unknown_pace"),
  [LC_MOVE_NO_FREE_SLOT] = REFUSED_INIT ("no_free_slot"),
  [LC_MOVE_REQUESTS_WAIT] = REFUSED_INIT ("requests_wait"),
  [LC_MOVE_GAIN_TOO_SMALL] = REFUSED_INIT ("gain_too_small"),
  [LC_MOVE_MOMENTARY] = REFUSED_INIT ("momentary"),
  [LC_MOVE_STEP_DOES_NOT_WAIT] = REFUSED_INIT ("step_does_not_wait"),
  [LC_MOVE_NOT_RUNNING] = REFUSED_INIT ("not_running"),
};

/* A proposed move. */
typedef struct
{
  const LcRequest *request;
  const LcAttempt *attempt;     /* attempt whose pieces are forwarded */
  const LcEndpointGroup *group; /* NULL: the pool has no endpoint */
  LcMoveProposal proposal;
} ProposedMove;

/* The endpoint to which a text can move, with the fastest expected pace. */
typedef struct
{
  const LcEndpointSummary *summary; /* NULL: no endpoint has a free slot */
  double token_seconds;
  unsigned n_equal; /* endpoints of nearly this pace among which the draw was made */
} MoveTarget;

static void
clear_hold (LcDispatch *dispatch, LcMoveHold *hold, LbTime now)
{
  LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, hold->endpoint);

  if (endpoint)
    lc_endpoint_hold_slots (endpoint, -1, now);
  *hold = (LcMoveHold){ 0 };
  dispatch->n_move_holds--;
}

/* Keeps a slot of the endpoint for a text. owner: text that waits for the slot; 0: the text is on
 * its way. If all entries are in use, no slot is kept. */
static void
hold_slot (
    LcDispatch *dispatch, LcEndpoint *endpoint, LcRequestId owner, LbTime duration, LbTime now)
{
  for (size_t i = 0; i < LC_MAX_MOVE_HOLDS; i++)
    {
      LcMoveHold *hold = &dispatch->move_holds[i];
      if (hold->endpoint[0])
        continue;
      *hold = (LcMoveHold){ .owner = owner, .until = now + duration };
      LB_COPY (hold->endpoint, endpoint->member.name);
      dispatch->n_move_holds++;
      lc_endpoint_hold_slots (endpoint, 1, now);
      return;
    }
}

/* Returns the slot that is kept until the text can leave its endpoint; NULL: none is. */
static LcMoveHold *
find_hold_of_owner (LcDispatch *dispatch, LcRequestId owner)
{
  for (size_t i = 0; dispatch->n_move_holds > 0 && i < LC_MAX_MOVE_HOLDS; i++)
    if (dispatch->move_holds[i].endpoint[0] && dispatch->move_holds[i].owner == owner)
      return &dispatch->move_holds[i];
  return NULL;
}

static void
clear_hold_of_owner (LcDispatch *dispatch, LcRequestId owner, LbTime now)
{
  LcMoveHold *hold = find_hold_of_owner (dispatch, owner);

  if (hold)
    clear_hold (dispatch, hold, now);
}

static bool
extend_hold_of_owner (LcDispatch *dispatch, LcRequestId owner, LbTime now)
{
  LcMoveHold *hold = find_hold_of_owner (dispatch, owner);

  if (hold)
    hold->until = now + NEXT_SLOT_HOLD_TIME;
  return hold != NULL;
}

/* Clears the hold of a text that has arrived at the endpoint. */
void
lc_dispatch_release_move_hold (LcDispatch *dispatch, const char *endpoint, LbTime now)
{
  for (size_t i = 0; endpoint[0] && i < LC_MAX_MOVE_HOLDS; i++)
    if (dispatch->move_holds[i].owner == 0
        && strcmp (dispatch->move_holds[i].endpoint, endpoint) == 0)
      {
        clear_hold (dispatch, &dispatch->move_holds[i], now);
        return;
      }
}

void
lc_dispatch_expire_move_holds (LcDispatch *dispatch, LbTime now)
{
  for (size_t i = 0; dispatch->n_move_holds > 0 && i < LC_MAX_MOVE_HOLDS; i++)
    if (dispatch->move_holds[i].endpoint[0] && now >= dispatch->move_holds[i].until)
      clear_hold (dispatch, &dispatch->move_holds[i], now);
}

/* Returns the number of slots of the endpoint that are kept for texts other than this one. */
static int
count_slots_held_for_others (const LcDispatch *dispatch, const char *endpoint, LcRequestId text)
{
  int n = 0;

  for (size_t i = 0; dispatch->n_move_holds > 0 && i < LC_MAX_MOVE_HOLDS; i++)
    n += dispatch->move_holds[i].owner != text
         && strcmp (dispatch->move_holds[i].endpoint, endpoint) == 0;
  return n;
}

static bool
is_avoided (const LcRequest *request, const char *endpoint)
{
  for (size_t i = 0; i < request->n_avoid + request->n_tried; i++)
    if (strcmp (request->avoid[i], endpoint) == 0)
      return true;
  return false;
}

/* Whether the endpoint can run samples of the request and its load is known. Does not check whether
 * a slot is free. */
static bool
can_be_target (const LcDispatch *dispatch,
               const LcRequest *request,
               const LcEndpointSummary *summary,
               LbTime now)
{
  const LcEndpoint *endpoint = summary->endpoint;

  return !summary->is_excluded && summary->reported_at != LC_NEVER_REPORTED
         && summary->reported_at >= now - dispatch->settings.max_report_age
         && summary->version >= request->min_version
         && (!endpoint->swap_pending || now >= endpoint->swap_until)
         && endpoint->breaker == LC_BREAKER_CLOSED && !is_avoided (request, endpoint->member.name);
}

/* Returns the number of slots that are known to be free for this sample. */
static int
count_free_slots (const LcDispatch *dispatch,
                  const LcRequest *request,
                  const LcEndpointSummary *summary,
                  LbTime now)
{
  float share = 1 - (float)request->pool->live_reserve;
  float free_slots = summary->capacity * share - summary->requests;
  float allowed = summary->concurrency_limit * share - (float)summary->in_flight;

  /* Held slots count only for samples, and are counted below without those of this sample. */
  if (!lc_endpoint_can_accept (summary->endpoint, LC_KIND_LIVE, 0, now))
    return 0;
  return (int)ceilf (allowed < free_slots ? allowed : free_slots)
         - count_slots_held_for_others (dispatch, summary->endpoint->member.name, request->id);
}

/* Recent pace of an endpoint that has been slow for longer than a moment; 0: it is not slow. */
static double
get_recent_token_seconds (const LcEndpointSummary *summary, LbTime now)
{
  if (lc_endpoint_remaining_slowdown (summary->endpoint, now) == 0)
    return 0;
  return (double)summary->lasting_token_seconds
         * lc_endpoint_present_slowdown (summary->endpoint, now);
}

static double
estimate_token_seconds (const LcEndpointSummary *summary, double usual, LbTime now)
{
  if (summary->lasting_token_seconds <= 0)
    return usual;
  return lc_move_expected_token_seconds ((double)summary->lasting_token_seconds,
                                         get_recent_token_seconds (summary, now));
}

/* Keeps the faster endpoint; draws among those of nearly equal pace with equal probability. */
static void
consider_target (LcDispatch *dispatch,
                 MoveTarget *best,
                 const LcEndpointSummary *summary,
                 double token_seconds)
{
  bool is_equal = best->summary && token_seconds <= best->token_seconds * (1 + PACE_TOLERANCE)
                  && token_seconds >= best->token_seconds * (1 - PACE_TOLERANCE);

  if (best->summary && !is_equal && token_seconds > best->token_seconds)
    return;
  best->n_equal = is_equal ? best->n_equal + 1 : 1;
  if (is_equal && gsl_rng_uniform (dispatch->random) * best->n_equal >= 1)
    return;
  best->summary = summary;
  best->token_seconds = token_seconds;
}

/* Finds the fastest endpoint with a free slot; if free_only is false, the fastest endpoint without
 * a slot that is kept for another text. */
static MoveTarget
find_target (LcDispatch *dispatch, const ProposedMove *move, bool free_only, LbTime now)
{
  const LcRequest *request = move->request;
  MoveTarget best = { 0 };

  for (size_t i = 0; move->group && i < move->group->n_slots; i++)
    {
      const LcEndpointSummary *summary = &dispatch->endpoints->summaries[move->group->slots[i]];
      const char *name = summary->endpoint->member.name;

      if (!can_be_target (dispatch, request, summary, now)
          || strcmp (name, move->attempt->endpoint) == 0)
        continue;
      if (free_only ? count_free_slots (dispatch, request, summary, now) > 0
                    : count_slots_held_for_others (dispatch, name, request->id) == 0)
        consider_target (dispatch, &best, summary,
                         estimate_token_seconds (summary, move->proposal.usual_token_seconds, now));
    }
  return best;
}

static LcMoveInputs
make_move_inputs (LcDispatch *dispatch,
                  const ProposedMove *move,
                  const MoveTarget *target,
                  LbTime now)
{
  const LcRequest *request = move->request;
  const LcEndpoint *source = lc_endpoints_find (dispatch->endpoints, move->attempt->endpoint);
  LcMoveInputs inputs
      = { .proposal = move->proposal,
          .since_last_piece = now - move->attempt->last_piece_at,
          .source_lasting_token_seconds = source ? lc_endpoint_lasting_token_seconds (source) : 0,
          .n_waiting = (int64_t)lc_queue_length (request->pool->queue),
          .prompt_tokens = request->prompt_tokens + request->next_token,
          .first_piece_seconds = request->pool->first_piece_seconds[request->kind] };

  if (!target->summary)
    return inputs;
  inputs.n_free_slots = 1;
  inputs.target_lasting_token_seconds = (double)target->summary->lasting_token_seconds;
  inputs.target_recent_token_seconds = get_recent_token_seconds (target->summary, now);
  return inputs;
}

/* While requests wait, each slot that becomes free is taken at once, so a text that decides when
 * its step ends would stay on a slow engine. If such a text would move to a free slot of the
 * fastest endpoint, the endpoint's next free slot is kept for the text, which is then proposed
 * again. */
static void
hold_next_slot (LcDispatch *dispatch, const ProposedMove *move, LbTime now)
{
  MoveTarget target = find_target (dispatch, move, false, now);
  LcMoveInputs inputs = make_move_inputs (dispatch, move, &target, now);

  if (target.summary && lc_move_is_reason_to_move (lc_move_decide (&inputs).reason))
    hold_slot (dispatch, target.summary->endpoint, move->request->id, NEXT_SLOT_HOLD_TIME, now);
}

static LcMoveDecision
decide_move (LcDispatch *dispatch, const ProposedMove *move, LbTime now)
{
  MoveTarget target = find_target (dispatch, move, true, now);
  LcMoveInputs inputs = make_move_inputs (dispatch, move, &target, now);
  LcMoveDecision decision = lc_move_decide (&inputs);

  if (decision.reason == LC_MOVE_NO_FREE_SLOT && move->proposal.decides_step)
    {
      if (!extend_hold_of_owner (dispatch, move->request->id, now))
        hold_next_slot (dispatch, move, now);
      return decision;
    }
  clear_hold_of_owner (dispatch, move->request->id, now);
  /* Without a known pace, the usual placement chooses better: it knows the recent paces. */
  if (!target.summary || target.summary->lasting_token_seconds <= 0
      || !lc_move_is_reason_to_move (decision.reason))
    return decision;
  LB_COPY (decision.endpoint, target.summary->endpoint->member.name);
  hold_slot (dispatch, target.summary->endpoint, 0, MOVE_HOLD_TIME, now);
  return decision;
}

LcMoveDecision
lc_dispatch_decide_move (LcDispatch *dispatch,
                         LcRequestId id,
                         const LcMoveProposal *proposal,
                         LbTime now)
{
  ProposedMove move = { .request = lc_dispatch_find_request (dispatch, id), .proposal = *proposal };
  LcMoveDecision decision = { .reason = LC_MOVE_NOT_RUNNING };

  if (move.request)
    move.attempt = lc_request_find_attempt (move.request, move.request->forwarded_attempt);
  if (move.attempt && !move.attempt->is_complete)
    {
      lc_dispatch_expire_move_holds (dispatch, now);
      move.group = lc_endpoints_find_group (dispatch->endpoints, LC_ENDPOINT_ENGINE,
                                            move.request->pool->name, move.request->pool->service);
      if (move.group && move.group->median_lasting_token_seconds > 0)
        move.proposal.usual_token_seconds = move.group->median_lasting_token_seconds;
      decision = decide_move (dispatch, &move, now);
    }
  lb_metric_add (&decided_moves[decision.reason], 1);
  return decision;
}
