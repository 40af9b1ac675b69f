#ifndef LN_STEP_STORE_H
#define LN_STEP_STORE_H

#include "ln-context.h"

/* What of a step must outlast its owner, in the platform's table and object store: who owns it (one
 * row), what its trainer has (one ledger row), what was asked for (one object). */
typedef struct LnStepStore LnStepStore;

typedef struct
{
  LbName subscription;
  int64_t step;
} LnStepKey;

typedef struct
{
  LbName instance; /* empty: released by its last owner */
  char incarnation[40];
  LbName address;   /* where the owner takes callers */
  char content[24]; /* names the object with what was asked for */
  uint64_t session;
  int64_t version; /* of the row; 0: the row is absent */
} LnStepOwner;

/* Each callback is called exactly once, never from inside the call, unless the store was freed. */
typedef void (*LnStepOwnerDone) (LbErrorCode error, const LnStepOwner *owner, void *user);
/* What is stored of a step; valid during the call. */
typedef struct
{
  const char *content; /* the body of the trainer's request */
  size_t content_length;
  const char *ledger;  /* "": none */
  const char *samples; /* that the last owner left; NULL: none */
  size_t samples_length;
} LnStepStored;

typedef void (*LnStepLoadDone) (LbErrorCode error, const LnStepStored *stored, void *user);
typedef void (*LnStepWriteDone) (LbErrorCode error, void *user);

LnStepStore *ln_step_store_new (LnContext *context);
void ln_step_store_free (LnStepStore *store);

/* LB_OK also when there is no row: the owner's version is 0 then. */
void
ln_step_store_find (LnStepStore *store, const LnStepKey *key, LnStepOwnerDone done, void *user);
/* Makes this incarnation the owner, with the next session, if the row still is as it was seen.
 * content is stored first; NULL: it already is. CONDITION_FAILED: another instance was faster. */
void ln_step_store_claim (LnStepStore *store,
                          const LnStepKey *key,
                          const LnStepOwner *seen,
                          const char *content,
                          LnStepOwnerDone done,
                          void *user);
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
/* Leaves the step, with samples for its next owner, to the instance that is asked for it next. */
void ln_step_store_release (LnStepStore *store,
                            const LnStepKey *key,
                            const LnStepOwner *own,
                            const char *samples,
                            LnStepWriteDone done,
                            void *user);

#endif
