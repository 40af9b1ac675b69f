#ifndef LN_STEP_CALL_H
#define LN_STEP_CALL_H

#include "lc-rollouts.h"
#include "ln-exchange.h"
#include "ln-step-store.h"

struct LhFetch;
struct json_object;

typedef enum
{
  LN_STEP_OPEN,
  LN_STEP_PULL,
  LN_STEP_STATUS
} LnStepCallType;

/* A trainer's call, from its arrival to its reply. */
typedef struct
{
  LbLink link;
  LnStepCallType type;
  LnExchange *exchange; /* NULL: the trainer has disconnected */
  uint64_t id;          /* id of the exchange, valid after a disconnect too */
  LnStepKey key;
  LcPull pull;             /* PULL: what the trainer requests */
  char *cursor;            /* owned by the call; pull.cursor points to it */
  int owner_lookups;       /* number of lookups of the step's owner for this call */
  struct LhFetch *relay;   /* request to the owner; NULL: none */
  LnStepOwner relay_owner; /* the owner to which the call is relayed */
  void *relay_state;       /* private to ln-step-relay.c */
} LnStepCall;

/* Returns NULL and sets error if path or body is not as in docs/API.md, or if LcRollouts
 * would reject the step. */
LnStepCall *
ln_step_call_parse (LnExchange *exchange, const LcRollouts *core, LbTime now, LbError *error);
void ln_step_call_free (LnStepCall *call);

/* Parses the body of the request that opens a step. On failure spec needs no clearing. */
bool ln_step_spec_parse (
    LcStepSpec *spec, const char *subscription, const char *body, size_t length, LbError *error);

/* Replies; each ends the exchange. */
void ln_step_call_reply_error (LnStepCall *call, const LbError *error, LbTime retry_after);
void ln_step_call_reply_open (LnStepCall *call, int64_t samples, uint64_t session, bool durable);
void ln_step_call_reply_chunk (LnStepCall *call, const LcRolloutAction *action);
void ln_step_call_reply_status (LnStepCall *call, const LcStepStatus *status, uint64_t session);

#endif
