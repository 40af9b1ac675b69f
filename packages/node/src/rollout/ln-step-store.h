#ifndef LN_STEP_STORE_H
#define LN_STEP_STORE_H

#include "ln-context.h"

/* State of steps that outlives their owners, in the platform's table and object store: the owner (a
 * row), the trainer's cursor (a ledger row), and the trainer's request (an object). */
typedef struct LnStepStore LnStepStore;

typedef struct
{
  LbName subscription;
  int64_t step;
} LnStepKey;

/* The row that names a step's owner. */
typedef struct
{
  LbName instance; /* empty: released by its last owner */
  char incarnation[40];
  LbName address;        /* where the owner accepts callers */
  char content_hash[24]; /* part of the key of the object with the trainer's request */
  uint64_t session;      /* incremented by each claim */
  int64_t row_version;   /* 0: the row is absent */
} LnStepOwner;

/* Each callback is called exactly once, after the function has returned; never if the store is
 * freed first. */
typedef void (*LnStepOwnerDone) (LbErrorCode error, const LnStepOwner *owner, void *user);
/* What is stored for a step, without its owner; valid during the callback. */
typedef struct
{
  const char *content; /* body of the request that opened the step */
  size_t content_length;
  const char *ledger;  /* value of the ledger row; "": there is none */
  const char *samples; /* JSON, left by the last owner; NULL: none */
  size_t samples_length;
} LnStoredStep;

typedef void (*LnStepLoadDone) (LbErrorCode error, const LnStoredStep *stored, void *user);
typedef void (*LnStepWriteDone) (LbErrorCode error, void *user);

LnStepStore *ln_step_store_new (LnContext *context);
void ln_step_store_free (LnStepStore *store);

/* A missing row is LB_OK with a row_version of 0. */
void ln_step_store_read_owner (LnStepStore *store,
                               const LnStepKey *key,
                               LnStepOwnerDone done,
                               void *user);
/* Makes this incarnation the owner under the next session, on condition that the row still has the
 * version in seen; CONDITION_FAILED: another instance has claimed the step. Stores content first;
 * NULL: the content is stored already. */
void ln_step_store_claim (LnStepStore *store,
                          const LnStepKey *key,
                          const LnStepOwner *seen,
                          const char *content,
                          LnStepOwnerDone done,
                          void *user);
/* Reads the trainer's request, its cursor, and the samples that the last owner has stored. */
void ln_step_store_load (LnStepStore *store,
                         const LnStepKey *key,
                         const LnStepOwner *owner,
                         LnStepLoadDone done,
                         void *user);
/* Writes the ledger row if this incarnation still owns the step; CONDITION_FAILED when not. */
void ln_step_store_write_ledger (LnStepStore *store,
                                 const LnStepKey *key,
                                 const LnStepOwner *own,
                                 const char *value,
                                 LnStepWriteDone done,
                                 void *user);
/* Stores samples for the next owner and removes the owner from the row, so that the next instance
 * that gets a call for the step can claim it. */
void ln_step_store_release (LnStepStore *store,
                            const LnStepKey *key,
                            const LnStepOwner *own,
                            const char *samples,
                            LnStepWriteDone done,
                            void *user);

#endif
