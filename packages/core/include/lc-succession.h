#ifndef LC_SUCCESSION_H
#define LC_SUCCESSION_H

#include "lc-types.h"

/* This header declares the choice of the next owner of a model's batches: of new batches, and of
 * those that an instance hands over when it shuts down. No I/O. */

/* An instance that may own batches: alive, confirmed and not draining. */
typedef struct
{
  LbName name;
  int64_t strength;   /* capacity of its machine, see lc-duty.h */
  int64_t started_ms; /* store's clock when its process started; 0: unknown */
  int64_t n_models;   /* models that have an open batch assigned to the instance */
} LcSuccessor;

/* What this instance has seen of a rolling restart: a series of instances that shut down one after
 * the other. Initialise with zeros. */
typedef struct
{
  int64_t began_ms;        /* store's clock when the first of them was seen draining; 0: unknown */
  LbTime last_draining_at; /* when one was last seen draining; 0: never */
} LcRollingRestart;

/* Records whether a live instance is draining now. store_ms: the store's clock; 0: unknown. */
void lc_rolling_restart_observe (LcRollingRestart *restart,
                                 bool is_any_draining,
                                 int64_t store_ms,
                                 LbTime now);

/* Returns the store's clock at the beginning of the rolling restart in progress, or 0 if none is.
 * own_started_ms: store's clock when this process started; 0: unknown. */
int64_t lc_rolling_restart_get_beginning (const LcRollingRestart *restart,
                                          int64_t own_started_ms,
                                          const LcSuccessor *members,
                                          size_t n_members,
                                          LbTime now);

typedef enum
{
  LC_SUCCESSION_NONE,       /* there is no candidate */
  LC_SUCCESSION_SAME_MODEL, /* the instance owns the model's other batches */
  LC_SUCCESSION_RESTARTED,  /* the instance was restarted since the rolling restart began */
  LC_SUCCESSION_STRENGTH    /* by strength and number of models */
} LcSuccessionReason;

const char *lc_succession_reason_name (LcSuccessionReason reason);

typedef struct
{
  const char *model;
  const char *current;        /* instance that owns the model's other batches; "": none */
  int64_t restart_began_ms;   /* 0: no rolling restart is in progress */
  bool is_restart_continuing; /* an instance was seen draining within the last seconds */
} LcSuccessionQuery;

/* Whether an instance was seen draining so recently that further ones are expected to follow. */
bool lc_rolling_restart_is_continuing (const LcRollingRestart *restart, LbTime now);

/* Returns the index of the next owner; n_members if there is none. */
size_t lc_succession_choose (const LcSuccessionQuery *query,
                             const LcSuccessor *members,
                             size_t n_members,
                             LcSuccessionReason *reason);

#endif
