#include "lc-dispatch-private.h"

#include "lc-endpoint-table.h"

#include "lb-alloc.h"
#include "lb-counter.h"

#include <math.h>
#include <string.h>

/* A free slot is held for the time that the cancelled text takes to come back as a new request. */
#define MOVE_HOLD_TIME (200 * LB_MSEC)
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
  [LC_MOVE_NOT_RUNNING] = REFUSED_INIT ("not_running"),
};

/* The endpoint to which a text can move, with the fastest expected pace. */
typedef struct
{
  const LcEndpointSummary *summary; /* NULL: no endpoint has a free slot */
  double token_seconds;
  unsigned n_equal; /* endpoints of nearly this pace among which the draw was made */
} MoveTarget;

static void
hold_slot (LcDispatch *dispatch, const char *endpoint, LbTime now)
{
  LcMoveHold *hold = &dispatch->move_holds[0];

  for (size_t i = 1; i < LC_MAX_MOVE_HOLDS; i++)
    if (dispatch->move_holds[i].until < hold->until)
      hold = &dispatch->move_holds[i];
  LB_COPY (hold->endpoint, endpoint);
  hold->until = now + MOVE_HOLD_TIME;
}

void
lc_dispatch_release_move_hold (LcDispatch *dispatch, const char *endpoint)
{
  for (size_t i = 0; endpoint[0] && i < LC_MAX_MOVE_HOLDS; i++)
    if (strcmp (dispatch->move_holds[i].endpoint, endpoint) == 0)
      {
        dispatch->move_holds[i] = (LcMoveHold){ 0 };
        return;
      }
}

static int
count_held_slots (const LcDispatch *dispatch, const char *endpoint, LbTime now)
{
  int n = 0;

  for (size_t i = 0; i < LC_MAX_MOVE_HOLDS; i++)
    n += dispatch->move_holds[i].until > now
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

/* Returns the number of slots that are known to be free for samples. */
static int
count_free_slots (const LcDispatch *dispatch,
                  const LcRequest *request,
                  const LcEndpointSummary *summary,
                  LbTime now)
{
  const LcEndpoint *endpoint = summary->endpoint;
  float share = 1 - (float)request->pool->live_reserve;
  float free_slots = summary->capacity * share - summary->requests;
  float allowed = summary->concurrency_limit * share - (float)summary->in_flight;
  LbTime oldest_report = now - dispatch->settings.max_report_age;

  if (summary->is_excluded || summary->reported_at == LC_NEVER_REPORTED
      || summary->reported_at < oldest_report || summary->version < request->min_version
      || (endpoint->swap_pending && now < endpoint->swap_until)
      || !lc_endpoint_can_accept (endpoint, request->kind, request->pool->live_reserve, now))
    return 0;
  if (allowed < free_slots)
    free_slots = allowed;
  return (int)ceilf (free_slots) - count_held_slots (dispatch, endpoint->member.name, now);
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

static MoveTarget
find_target (LcDispatch *dispatch,
             const LcRequest *request,
             const LcEndpointGroup *group,
             const char *here,
             double usual_token_seconds,
             LbTime now)
{
  MoveTarget best = { 0 };

  for (size_t i = 0; i < group->n_slots; i++)
    {
      const LcEndpointSummary *summary = &dispatch->endpoints->summaries[group->slots[i]];
      const char *name = summary->endpoint->member.name;

      if (count_free_slots (dispatch, request, summary, now) < 1 || strcmp (name, here) == 0
          || is_avoided (request, name))
        continue;
      consider_target (dispatch, &best, summary,
                       estimate_token_seconds (summary, usual_token_seconds, now));
    }
  return best;
}

static LcMoveInputs
make_move_inputs (LcDispatch *dispatch,
                  const LcRequest *request,
                  const LcAttempt *attempt,
                  const MoveTarget *target,
                  LbTime now)
{
  const LcEndpoint *here = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);
  LcMoveInputs inputs
      = { .since_last_piece = now - attempt->last_piece_at,
          .here_lasting_token_seconds = here ? lc_endpoint_lasting_token_seconds (here) : 0,
          .n_waiting = (int64_t)lc_queue_length (request->pool->queue),
          .prompt_tokens = request->prompt_tokens + request->next_token,
          .first_piece_seconds = request->pool->first_piece_seconds[request->kind] };

  if (!target->summary)
    return inputs;
  inputs.n_free_slots = 1;
  inputs.there_lasting_token_seconds = (double)target->summary->lasting_token_seconds;
  inputs.there_recent_token_seconds = get_recent_token_seconds (target->summary, now);
  return inputs;
}

static LcMoveDecision
decide_move_of_attempt (LcDispatch *dispatch,
                        const LcRequest *request,
                        const LcAttempt *attempt,
                        const LcMoveProposal *proposal,
                        LbTime now)
{
  const LcEndpointGroup *group
      = lc_endpoints_find_group (dispatch->endpoints, LC_ENDPOINT_ENGINE, request->pool->name);
  double median = group ? group->median_lasting_token_seconds : 0;
  double usual = median > 0 ? median : proposal->usual_token_seconds;
  MoveTarget target = { 0 };
  LcMoveInputs inputs;
  LcMoveDecision decision;

  if (group)
    target = find_target (dispatch, request, group, attempt->endpoint, usual, now);
  inputs = make_move_inputs (dispatch, request, attempt, &target, now);
  inputs.proposal = *proposal;
  inputs.proposal.usual_token_seconds = usual;
  decision = lc_move_decide (&inputs);
  if (!target.summary || !lc_move_is_reason_to_move (decision.reason))
    return decision;
  LB_COPY (decision.endpoint, target.summary->endpoint->member.name);
  hold_slot (dispatch, decision.endpoint, now);
  return decision;
}

LcMoveDecision
lc_dispatch_decide_move (LcDispatch *dispatch,
                         LcRequestId id,
                         const LcMoveProposal *proposal,
                         LbTime now)
{
  const LcRequest *request = lc_dispatch_find_request (dispatch, id);
  const LcAttempt *attempt
      = request ? lc_request_find_attempt (request, request->forwarded_attempt) : NULL;
  LcMoveDecision decision = { .reason = LC_MOVE_NOT_RUNNING };

  if (attempt && !attempt->is_complete)
    decision = decide_move_of_attempt (dispatch, request, attempt, proposal, now);
  lb_metric_add (&decided_moves[decision.reason], 1);
  return decision;
}
