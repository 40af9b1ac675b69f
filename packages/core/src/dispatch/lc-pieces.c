#include "lc-dispatch-private.h"

#include "lb-alloc.h"
#include "lb-counter.h"

static LbMetric dropped_pieces
    = LB_COUNTER_INIT ("lentilspindle_pieces_dropped_total",
                       NULL,
                       "Pieces of answers that were late, foreign, repeated or out of order");

static LcPieceVerdict
count_dropped_piece (void)
{
  lb_metric_add (&dropped_pieces, 1);
  return LC_PIECE_DROP;
}

static void
record_first_piece (LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, LbTime now)
{
  LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);

  attempt->has_piece = true;
  request->may_have_run = true;
  /* The first piece of a resumable stream is recorded as an answer, because the endpoint survived
   * the start of the request and a broken stream is continued rather than started again. */
  if (lc_request_is_resumable_stream (request))
    lc_quarantine_record_answer (dispatch->quarantine, request->content, now);
  lc_pool_state_record_first_piece (request->pool, request->kind, now - attempt->sent_at);
  if (endpoint)
    lc_endpoint_first_byte_received (endpoint, now - attempt->sent_at, now);
  lc_dispatch_reschedule_request_timer (dispatch, request);
}

/* Chooses the attempt whose pieces are forwarded and cancels the request's other attempts. */
static void
choose_forwarded_attempt (
    LcDispatch *dispatch, LcRequest *request, const LcAttempt *chosen, LbTime now, LbList *actions)
{
  request->forwarded_attempt = chosen->number;
  LB_LIST_FOREACH (&request->attempts, LcAttempt, link, attempt)
  {
    if (attempt != chosen)
      lc_dispatch_cancel_attempt (dispatch, request, attempt, now, actions);
  }
}

/* Ends an attempt as a broken stream because a piece was lost: later pieces would not continue what
 * the submitter has. The request is then resumed at another endpoint or fails. */
static LcPieceVerdict
end_attempt_at_gap (
    LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, LbTime now, LbList *actions)
{
  LcAction *action = lc_action_new (LC_ACTION_CANCEL, request->id, actions);
  LcPoolState *pool = request->pool;

  action->attempt = attempt->number;
  LB_COPY (action->endpoint, attempt->endpoint);
  lc_dispatch_end_attempt (dispatch, request, attempt, LC_END_BROKEN, now, actions);
  lc_dispatch_send_waiting_requests (dispatch, pool, now, actions);
  return count_dropped_piece ();
}

static bool
is_gap_or_partial_overlap (const LcAttempt *attempt, const LcPiece *piece)
{
  return piece->offset > attempt->next_offset
         || (piece->offset < attempt->next_offset
             && piece->offset + piece->tokens > attempt->next_offset);
}

/* Last check before a piece is forwarded: the piece must be of the forwarded attempt and start at
 * the next token. Buffered answers need no check. */
static bool
check_is_next_piece (LcDispatch *dispatch,
                     const LcRequest *request,
                     const LcAttempt *attempt,
                     const LcPiece *piece)
{
  bool is_next
      = request->forwarded_attempt == attempt->number && request->next_token == piece->offset;

  return lc_dispatch_check_invariant (dispatch, request->delivery == LC_DELIVER_BUFFERED || is_next,
                                      "whole-answers", request->id);
}

static void
record_token_pace (LcDispatch *dispatch, LcAttempt *attempt, const LcPiece *piece, LbTime now)
{
  LcEndpoint *endpoint = lc_endpoints_find (dispatch->endpoints, attempt->endpoint);

  if (endpoint && attempt->last_piece_at > 0)
    lc_endpoint_tokens_received (endpoint, piece->tokens, now - attempt->last_piece_at, now);
  attempt->last_piece_at = now;
}

LcPieceVerdict
lc_dispatch_receive_piece (LcDispatch *dispatch,
                           LcRequestId id,
                           uint32_t number,
                           const LcPiece *piece,
                           LbTime now,
                           LbList *actions)
{
  LcRequest *request = lc_dispatch_find_request (dispatch, id);
  LcAttempt *attempt = request ? lc_request_find_attempt (request, number) : NULL;

  if (!attempt || attempt->is_complete || piece->tokens < 0)
    return count_dropped_piece ();
  if (!attempt->has_piece)
    record_first_piece (dispatch, request, attempt, now);
  if (is_gap_or_partial_overlap (attempt, piece))
    return end_attempt_at_gap (dispatch, request, attempt, now, actions);
  if (piece->offset < attempt->next_offset)
    return count_dropped_piece ();
  if (request->delivery == LC_DELIVER_STREAM && request->forwarded_attempt == 0)
    choose_forwarded_attempt (dispatch, request, attempt, now, actions);
  if (!check_is_next_piece (dispatch, request, attempt, piece))
    {
      lc_dispatch_fail_request (dispatch, request, LB_ERROR_STREAM_BROKEN, 0, now, actions);
      return count_dropped_piece ();
    }
  if (request->delivery == LC_DELIVER_STREAM)
    record_token_pace (dispatch, attempt, piece, now);
  attempt->next_offset += piece->tokens;
  attempt->received_tokens += piece->tokens;
  attempt->is_complete = piece->last;
  if (request->delivery == LC_DELIVER_STREAM)
    request->next_token = attempt->next_offset;
  return LC_PIECE_FORWARD;
}
