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
  const char *model;  /* model; for a service the request path, such as "/services/lookup/x" */
  const char *prompt; /* prompt; for a service the request body */
  int64_t max_tokens;
  bool stream;
  bool vary_length;            /* must be set if the stand-in engines run with --vary-length */
  const char *caller;          /* header x-caller; NULL: not sent */
  const char *idempotency_key; /* header idempotency-key; NULL: not sent */
  const char *ticket;          /* header x-ticket; NULL: not sent */
  const char *order; /* header x-order: key under which a service counts runs; NULL: not sent */
  const char *deadline_ms; /* header x-deadline-ms; NULL: not sent */
  LbTime idle_timeout;
} SiCheckedCallSpec;

typedef enum
{
  SI_CALL_COMPLETE,
  SI_CALL_WRONG_ANSWER, /* the reply is complete, but its text is not the expected answer */
  SI_CALL_TRUNCATED,    /* the stream ended without [DONE] and without an error event */
  SI_CALL_NOT_RUN,      /* no endpoint started the call, so that a retry is safe */
  SI_CALL_FAILED,
  SI_N_CALL_OUTCOMES
} SiCallOutcome;

typedef struct
{
  SiCallOutcome outcome;
  LbName error; /* error type in the reply, or name of the transport error; empty: none */
  LbTime time_to_first_byte; /* from the start of the call to the first byte of the body */
  LbTime duration;           /* from the start of the call to the end of the reply */
  LbTime retry_after;        /* value of header x-retry-after-ms; 0: absent */
  char body[512];            /* first bytes of a reply that is not an event stream */
} SiCheckedCallResult;

typedef void (*SiCheckedCallDone) (const SiCheckedCallResult *result, void *user);

/* Sends one call and compares the answer with the stand-in engine's deterministic text; a service
 * must echo the request body. Invokes `done` exactly once unless the pool is freed first. Aborts
 * the program if the spec is invalid. */
void si_checked_call_start (LhPool *pool,
                            const SiCheckedCallSpec *spec,
                            SiCheckedCallDone done,
                            void *user);

#endif
