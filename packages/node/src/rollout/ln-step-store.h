#ifndef LN_STEP_STORE_H
#define LN_STEP_STORE_H

#include "ln-context.h"

/* Stored state of steps, which outlives their owners. The platform's table holds the row that names
 * a step's owner, and a row (the ledger) with the trainer's cursor. The object store holds the
 * trainer's request and the samples that an owner stores when it releases the step. */
typedef struct LnStepStore LnStepStore;

typedef struct
{
  LbName subscription;
  int64_t step;
} LnStepKey;

/* The row that names a step's owner. */
typedef struct
{
  LbName instance; /* empty if the last owner has released the step */
  char incarnation[40];
  LbName address;        /* address at which the owner accepts callers */
  char content_hash[24]; /* part of the key of the object with the trainer's request */
  uint64_t session;      /* fencing token, incremented by each claim */
  int64_t row_version;   /* version of the row in the store; 0 if the row is absent */
} LnStepOwner;

/* The callbacks of this header. Each is called exactly once, after the function that takes it has
 * returned; it is never called if the LnStepStore is freed before. */
typedef void (*LnStepOwnerDone) (LbErrorCode error, const LnStepOwner *owner, void *user);
/* Stored state of a step except its owner row; valid during the callback. */
typedef struct
{
  const char *content; /* body of the request that opened the step */
  size_t content_length;
  const char *ledger;  /* value of the ledger row; "" if there is no row */
  const char *samples; /* JSON array of samples that the last owner stored; NULL if there is none */
  size_t samples_length;
} LnStoredStep;

typedef void (*LnStepLoadDone) (LbErrorCode error, const LnStoredStep *stored, void *user);
typedef void (*LnStepWriteDone) (LbErrorCode error, void *user);

LnStepStore *ln_step_store_new (LnContext *context);
void ln_step_store_free (LnStepStore *store);

/* Reads the owner row. For a missing row, the callback gets LB_OK and an owner whose row_version is
 * 0. */
void ln_step_store_read_owner (LnStepStore *store,
                               const LnStepKey *key,
                               LnStepOwnerDone done,
                               void *user);
/* Makes this process the owner under the next session, on the condition that the row still has the
 * version seen->row_version. Fails with CONDITION_FAILED if another process has claimed the step.
 * Stores content first, unless content is NULL, which means that it is already stored. */
void ln_step_store_claim_step (LnStepStore *store,
                               const LnStepKey *key,
                               const LnStepOwner *seen,
                               const char *content,
                               LnStepOwnerDone done,
                               void *user);
/* Reads the trainer's request, the ledger row, and the samples that the last owner stored. */
void ln_step_store_load_step (LnStepStore *store,
                              const LnStepKey *key,
                              const LnStepOwner *owner,
                              LnStepLoadDone done,
                              void *user);
/* Writes the ledger row if this process still owns the step, else fails with CONDITION_FAILED. */
void ln_step_store_write_ledger (LnStepStore *store,
                                 const LnStepKey *key,
                                 const LnStepOwner *own,
                                 const char *value,
                                 LnStepWriteDone done,
                                 void *user);
/* Stores samples for the next owner and clears the owner in the row. The next instance that
 * receives a call for the step can then claim it. */
void ln_step_store_release_step (LnStepStore *store,
                                 const LnStepKey *key,
                                 const LnStepOwner *own,
                                 const char *samples,
                                 LnStepWriteDone done,
                                 void *user);

#endif
