#ifndef LC_MOVE_H
#define LC_MOVE_H

#include "lb-types.h"

/* This header declares the decision whether a running text moves to another endpoint, which
 * continues it. The owner of the text proposes the move, the dispatcher decides. */

/* Why a text moves or stays. */
typedef enum
{
  LC_MOVE_LASTING_PACE,   /* moves: the other endpoint is usually faster */
  LC_MOVE_SLOWED_DOWN,    /* moves: the endpoint has been several times slower for about a second */
  LC_MOVE_STALLED,        /* moves: the endpoint no longer sends pieces */
  LC_MOVE_UNKNOWN_PACE,   /* moves: the endpoint's usual pace is unknown, so the proposal decides */
  LC_MOVE_NO_FREE_SLOT,   /* stays: no other endpoint is known to have a free slot */
  LC_MOVE_REQUESTS_WAIT,  /* stays: the free slot is left to a waiting request */
  LC_MOVE_GAIN_TOO_SMALL, /* stays: the move would save too little time */
  LC_MOVE_MOMENTARY,      /* stays: the endpoint is slow only for a moment */
  LC_MOVE_STEP_DOES_NOT_WAIT, /* stays: the step ends later than the text anyway */
  LC_MOVE_NOT_RUNNING,        /* stays: no endpoint is sending the text now */
  LC_N_MOVE_REASONS
} LcMoveReason;

#define LC_N_REASONS_TO_MOVE LC_MOVE_NO_FREE_SLOT

/* A move that the owner of a text proposes, with what the owner knows about the text. A token is a
 * unit of LcPiece.tokens. */
typedef struct
{
  double remaining_tokens;     /* expected number of tokens still to be generated */
  double recent_token_seconds; /* pace of the text's stream during about the last second */
  double usual_token_seconds;  /* average pace of the model's streams at all endpoints */
  double gain_seconds;         /* estimated gain, compared with the average pace */
  bool decides_step;           /* the step ends when this text ends */
} LcMoveProposal;

/* The inputs of a decision: the proposal, and what the dispatcher knows about the text's present
 * endpoint (source) and the endpoint to which it would move (target). */
typedef struct
{
  LcMoveProposal proposal;
  LbTime since_last_piece;
  double source_lasting_token_seconds; /* lasting pace of the source endpoint; 0: unknown */
  double target_lasting_token_seconds; /* lasting pace of the target endpoint; 0: unknown */
  double target_recent_token_seconds;  /* recent pace of the target endpoint; 0: unknown */
  int64_t n_free_slots;                /* free slots at the target endpoint; 0: there is none */
  int64_t n_waiting;                   /* requests that wait for an endpoint of the pool */
  int64_t prompt_tokens;               /* tokens that the target endpoint processes first */
  double first_piece_seconds;          /* usual time from a request to its first piece */
} LcMoveInputs;

typedef struct
{
  LcMoveReason reason;
  double gain_seconds; /* expected gain after the cost of the move */
  LbName endpoint;     /* endpoint to which the text moves; "": any */
} LcMoveDecision;

/* Returns the decision without the name of the endpoint. */
LcMoveDecision lc_move_decide (const LcMoveInputs *inputs);
/* Returns the expected pace of a stream of an endpoint: the lasting pace, or the recent pace if it
 * is so much slower that the slowness is not momentary. lasting: must be known; recent: 0 if not
 * known. */
double lc_move_expected_token_seconds (double lasting, double recent);
bool lc_move_is_reason_to_move (LcMoveReason reason);
const char *lc_move_reason_name (LcMoveReason reason);

#endif
