#include "lc-dispatch-private.h"

#include "lb-alloc.h"
#include "lb-counter.h"

static LbMetric dropped_pieces
    = LB_COUNTER_INIT ("lentilspindle_pieces_dropped_total",
                       NULL,
                       "Pieces of answers that were late, foreign, repeated or out of order");

static LcPieceVerdict
drop_piece (void)
{
  lb_metric_add (&dropped_pieces, 1);
  return LC_PIECE_DROP;
}

static void
first_piece (LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, LbTime now)
{
  LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);

  attempt->heard = true;
  request->maybe_run = true;
  /* What brings a part that lasts goes on behind it: beginning it ends no endpoint. */
  if (lc_request_keeps_pieces (request))
    lc_quarantine_record_answer (dispatch->quarantine, request->content, now);
  lc_pool_state_heard (request->pool, request->kind, now - attempt->sent_at);
  if (endpoint)
    lc_endpoint_first_byte_received (endpoint, now - attempt->sent_at, now);
  lc_dispatch_set_timer (dispatch, request);
}

/* From here on the answer is this attempt's alone; a hedge that is still silent is closed. */
static void
make_owner (
    LcDispatch *dispatch, LcRequest *request, const LcAttempt *owner, LbTime now, LbList *actions)
{
  request->owner = owner->number;
  LB_LIST_FOREACH (&request->attempts, LcAttempt, link, attempt)
  {
    if (attempt != owner)
      lc_dispatch_cancel_attempt (dispatch, request, attempt, now, actions);
  }
}

/* A gap means that a piece was lost: what follows can't be joined to what the submitter has. The
 * attempt ends here as a broken stream and the answer goes on elsewhere or fails. */
static LcPieceVerdict
break_at_gap (
    LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, LbTime now, LbList *actions)
{
  LcAction *action = lc_action_new (LC_ACTION_CANCEL, request->id, actions);
  LcPoolState *pool = request->pool;

  action->attempt = attempt->number;
  LB_COPY (action->endpoint, attempt->endpoint);
  lc_dispatch_end_attempt (dispatch, request, attempt, LC_END_BROKEN, now, actions);
  lc_dispatch_pump (dispatch, pool, now, actions);
  return drop_piece ();
}

static bool
is_gap (const LcAttempt *attempt, const LcPiece *piece)
{
  return piece->offset > attempt->offset
         || (piece->offset < attempt->offset && piece->offset + piece->tokens > attempt->offset);
}

/* The last look before a piece is passed on: it is the very next one of the only attempt whose
 * pieces the submitter gets. */
static bool
fits_answer (LcDispatch *dispatch,
             const LcRequest *request,
             const LcAttempt *attempt,
             const LcPiece *piece)
{
  bool next = request->owner == attempt->number && request->next_token == piece->offset;

  return lc_dispatch_check (dispatch, request->delivery == LC_DELIVER_BUFFERED || next,
                            "whole-answers", request->id);
}

static void
note_pace (LcDispatch *dispatch, LcAttempt *attempt, const LcPiece *piece, LbTime now)
{
  LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);

  if (endpoint && attempt->piece_at > 0)
    lc_endpoint_tokens_received (endpoint, piece->tokens, now - attempt->piece_at, now);
  attempt->piece_at = now;
}

LcPieceVerdict
lc_dispatch_receive_piece (LcDispatch *dispatch,
                           LcRequestId id,
                           uint32_t number,
                           const LcPiece *piece,
                           LbTime now,
                           LbList *actions)
{
  LcRequest *request = lc_dispatch_find (dispatch, id);
  LcAttempt *attempt = request ? lc_request_attempt (request, number) : NULL;

  if (!attempt || attempt->whole || piece->tokens < 0)
    return drop_piece ();
  if (!attempt->heard)
    first_piece (dispatch, request, attempt, now);
  if (is_gap (attempt, piece))
    return break_at_gap (dispatch, request, attempt, now, actions);
  if (piece->offset < attempt->offset)
    return drop_piece ();
  if (request->delivery == LC_DELIVER_STREAM && request->owner == 0)
    make_owner (dispatch, request, attempt, now, actions);
  if (!fits_answer (dispatch, request, attempt, piece))
    {
      lc_dispatch_give_up (dispatch, request, LB_ERROR_STREAM_BROKEN, 0, now, actions);
      return drop_piece ();
    }
  if (request->delivery == LC_DELIVER_STREAM)
    note_pace (dispatch, attempt, piece, now);
  attempt->offset += piece->tokens;
  attempt->tokens += piece->tokens;
  attempt->whole = piece->last;
  if (request->delivery == LC_DELIVER_STREAM)
    request->next_token = attempt->offset;
  return LC_PIECE_FORWARD;
}
