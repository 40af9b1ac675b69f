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

/* A trainer's HTTP request about a step, from its arrival to its reply. */
typedef struct
{
  LbLink link;
  LnStepCallType type;
  LnExchange *exchange; /* NULL if the trainer has disconnected */
  uint64_t id;          /* id of the exchange; remains valid after a disconnect */
  LnStepKey key;
  LcPull pull;             /* set for LN_STEP_PULL: the parsed request */
  char *cursor;            /* storage of pull.cursor */
  int owner_lookups;       /* number of lookups of the step's owner for this call */
  struct LhFetch *relay;   /* relayed request to the step's owner; NULL if there is none */
  LnStepOwner relay_owner; /* owner to which the call is relayed */
  void *relay_state;       /* private to ln-step-relay.c */
} LnStepCall;

/* Parses a trainer's request. Returns NULL and sets error if the path or body does not conform to
 * docs/API.md, or if LcRollouts would reject the step. */
LnStepCall *
ln_step_call_parse (LnExchange *exchange, const LcRollouts *core, LbTime now, LbError *error);
void ln_step_call_free (LnStepCall *call);

/* Parses the body of the request that opens a step. If parsing fails, the caller need not clear
 * spec. */
bool ln_step_spec_parse (
    LcStepSpec *spec, const char *subscription, const char *body, size_t length, LbError *error);

/* The ln_step_call_reply_* functions send the reply to the trainer and end the exchange. */
void ln_step_call_reply_error (LnStepCall *call, const LbError *error, LbTime retry_after);
void ln_step_call_reply_opened (LnStepCall *call, int64_t samples, uint64_t session, bool durable);
void ln_step_call_reply_samples (LnStepCall *call, const LcRolloutAction *action);
void ln_step_call_reply_status (LnStepCall *call, const LcStepStatus *status, uint64_t session);

#endif
