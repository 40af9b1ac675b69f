#ifndef SI_LIVE_H
#define SI_LIVE_H

#include "lh-fetch.h"
#include "lh-sse.h"
#include "si-text.h"

typedef enum
{
  SI_LIVE_COMPLETION,
  SI_LIVE_CHAT,
  SI_LIVE_SERVICE
} SiLiveKind;

typedef struct
{
  SiLiveKind kind;
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
  LbTime silence;
} SiLiveSpec;

typedef enum
{
  SI_LIVE_WHOLE,
  SI_LIVE_WRONG,   /* ended as whole, but is not what the engine says to this prompt */
  SI_LIVE_CUT,     /* ended without its end marker and without a typed error */
  SI_LIVE_NOT_RUN, /* refused with a proof */
  SI_LIVE_ERROR,
  SI_N_LIVE
} SiLiveOutcome;

typedef struct
{
  SiLiveOutcome outcome;
  LbName error;       /* type of the error; empty when whole */
  LbTime first;       /* until the first piece of the answer */
  LbTime took;        /* until its end */
  LbTime retry_after; /* 0: not said */
  char body[512];     /* the beginning of a reply that is not a stream */
} SiLiveResult;

typedef void (*SiLiveDone) (const SiLiveResult *result, void *user);

/* One call of a live caller, whose answer is checked against what the engine must say. Calls done
 * exactly once, unless the pool is freed before. */
void si_live_start (LhPool *pool, const SiLiveSpec *spec, SiLiveDone done, void *user);

#endif
