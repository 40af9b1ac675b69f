#ifndef SI_CHECKED_CALL_H
#define SI_CHECKED_CALL_H

#include "lh-fetch.h"
#include "lh-sse.h"
#include "si-text.h"

typedef enum
{
  SI_CHECKED_CALL_COMPLETION,
  SI_CHECKED_CALL_CHAT,
  SI_CHECKED_CALL_SERVICE
} SiCheckedCallKind;

typedef struct
{
  SiCheckedCallKind kind;
  const char *address;
  const char *model;  /* or the service's path, "/services/lookup/x" */
  const char *prompt; /* or the service call's body */
  int64_t max_tokens;
  bool stream;
  bool vary_length;
  const char *caller;          /* NULL: none */
  const char *idempotency_key; /* NULL: none */
  const char *ticket;          /* NULL: none */
  const char *order;           /* x-order: what the service counts runs by; NULL: none */
  const char *deadline_ms;     /* x-deadline-ms; NULL: none */
  LbTime idle_timeout;
} SiCheckedCallSpec;

typedef enum
{
  SI_CALL_COMPLETE,
  SI_CALL_WRONG_ANSWER, /* ended as whole, but is not what the engine says to this prompt */
  SI_CALL_TRUNCATED,    /* ended without its end marker and without a typed error */
  SI_CALL_NOT_RUN,      /* refused with a proof */
  SI_CALL_FAILED,
  SI_N_CALL_OUTCOMES
} SiCallOutcome;

typedef struct
{
  SiCallOutcome outcome;
  LbName error;              /* type of the error; empty when whole */
  LbTime time_to_first_byte; /* until the first piece of the answer */
  LbTime duration;           /* until its end */
  LbTime retry_after;        /* 0: not said */
  char body[512];            /* the beginning of a reply that is not a stream */
} SiCheckedCallResult;

typedef void (*SiCheckedCallDone) (const SiCheckedCallResult *result, void *user);

/* One call of a live caller, whose answer is checked against what the engine must say. Calls done
 * exactly once, unless the pool is freed before. */
void si_checked_call_start (LhPool *pool,
                            const SiCheckedCallSpec *spec,
                            SiCheckedCallDone done,
                            void *user);

#endif
