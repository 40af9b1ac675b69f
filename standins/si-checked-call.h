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
  const char *model;  /* service call: the path, such as "/services/lookup/x" */
  const char *prompt; /* service call: the request body */
  int64_t max_tokens;
  bool stream;
  bool vary_length;            /* the engines run with --vary-length */
  const char *caller;          /* NULL: none */
  const char *idempotency_key; /* NULL: none */
  const char *ticket;          /* NULL: none */
  const char *order;           /* x-order: key under which the service counts runs; NULL: none */
  const char *deadline_ms;     /* x-deadline-ms; NULL: none */
  LbTime idle_timeout;
} SiCheckedCallSpec;

typedef enum
{
  SI_CALL_COMPLETE,
  SI_CALL_WRONG_ANSWER, /* ended normally, but differs from the engine's answer to the prompt */
  SI_CALL_TRUNCATED,    /* stream ended without [DONE] and without a typed error */
  SI_CALL_NOT_RUN,      /* proven not to have reached or started at an endpoint */
  SI_CALL_FAILED,
  SI_N_CALL_OUTCOMES
} SiCallOutcome;

typedef struct
{
  SiCallOutcome outcome;
  LbName error;              /* type of the error; empty when the answer is complete */
  LbTime time_to_first_byte; /* from the start of the call */
  LbTime duration;           /* of the whole call */
  LbTime retry_after;        /* 0: absent */
  char body[512];            /* start of a reply that is not an event stream */
} SiCheckedCallResult;

typedef void (*SiCheckedCallDone) (const SiCheckedCallResult *result, void *user);

/* Sends one call and checks the answer against the stand-in engine's deterministic text. Invokes
 * `done` exactly once unless the pool is freed first. Aborts the program when the spec is invalid.
 */
void si_checked_call_start (LhPool *pool,
                            const SiCheckedCallSpec *spec,
                            SiCheckedCallDone done,
                            void *user);

#endif
