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

/* A trainer's call from its arrival to its reply. */
typedef struct
{
  LbLink link;
  LnStepCallType type;
  LnExchange *exchange; /* NULL: the trainer is gone */
  uint64_t id;          /* the exchange's */
  LnStepKey key;
  LcPull pull;           /* PULL */
  char *cursor;          /* PULL: what pull.cursor points to */
  int rounds;            /* times that its step's owner was looked up */
  struct LhFetch *relay; /* to the owner; NULL: none */
  LnStepOwner relayed_to;
  void *user; /* for the relay */
} LnStepCall;

/* NULL and a typed error when path or body is not as docs/API.md has it, or the core could not open
 * the step. */
LnStepCall *
ln_step_call_read (LnExchange *exchange, const LcRollouts *core, LbTime now, LbError *error);
void ln_step_call_free (LnStepCall *call);

/* Reads the content of a step from the body of its POST. */
bool ln_step_spec_read (
    LcStepSpec *spec, const char *subscription, const char *body, size_t length, LbError *error);

/* Replies; they end the exchange. */
void ln_step_call_reply_error (LnStepCall *call, const LbError *error, LbTime retry_after);
void ln_step_call_reply_open (LnStepCall *call, int64_t samples, uint64_t session, bool durable);
void ln_step_call_reply_chunk (LnStepCall *call, const LcRolloutAction *action);
void ln_step_call_reply_status (LnStepCall *call, const LcStepStatus *status, uint64_t session);

#endif
