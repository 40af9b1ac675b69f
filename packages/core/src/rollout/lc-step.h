#ifndef LC_STEP_H
#define LC_STEP_H

#include "lc-cursor.h"
#include "lc-ledger.h"
#include "lc-rollouts.h"
#include "lc-straggler.h"

#include <uthash.h>

/* A step, the samples that a trainer asks for at once, with one slot for each sample. */
typedef struct LcStep LcStep;

typedef enum
{
  LC_SLOT_WAITING, /* to be generated; text and label hold the part of an interrupted generation */
  LC_SLOT_RUNNING, /* one generation, or two when hedged */
  LC_SLOT_SCORING,
  LC_SLOT_READY,
  LC_SLOT_SENT, /* in the current chunk, not acknowledged by the trainer yet */
  LC_SLOT_ACKED
} LcSlotState;

#define LC_N_SLOT_STATES (LC_SLOT_ACKED + 1)

/* A running request of a slot: a generation, or a call of the scorer. */
typedef struct
{
  UT_hash_handle hh;
  LbLink link; /* in the slot's jobs */
  LcRequestId request;
  LcStep *step;
  size_t slot_index;
  bool is_scoring;       /* a call of the scorer, not a generation */
  bool is_hedge;         /* the second generation of its slot */
  bool is_preempted;     /* was asked to stop, so that another request can resume it */
  int64_t resume_offset; /* tokens that it was resumed with */
  char *resume_text;     /* the text of these tokens; NULL: none */
  LcLabel label;
  LbTime started_at;
  LbTime first_piece_at;   /* 0: no piece yet */
  int64_t reserved_tokens; /* taken from the step's hedge budget */
  LbName endpoint;         /* sent the latest piece */
} LcJob;

/* State of one sample, which is identified by (subscription, step, group, index). */
typedef struct
{
  size_t group_index;
  int64_t index; /* number of the sample in its group */
  LcSlotState state;
  LbList jobs;
  char *text;     /* NULL: none */
  LcLabel *label; /* versions that generated the text */
  bool has_score;
  double score;
  bool was_sent; /* this owner has sent it in a chunk */
  int n_migrations;
  LbName avoid_endpoint; /* was slow with this sample; empty: none */
  int consecutive_failures;
  LbTime not_before; /* in states WAITING and SCORING: earliest start of a new request */
} LcSlot;

typedef struct
{
  size_t first_slot;
  size_t n_slots;
} LcGroup;

/* The samples sent to the trainer last and not acknowledged yet. */
typedef struct
{
  size_t *slots; /* indices; NULL: there is no unacknowledged chunk */
  size_t n_slots;
  LcCursor cursor;           /* acknowledges the chunk when the trainer sends it back */
  LcVersion trainer_version; /* version against which the samples' staleness was checked */
  uint64_t ledger_change;    /* strict subscriptions: the change that records the chunk; else 0 */
} LcChunk;

/* Memory that actions of the current command may still point to, freed at the next command. */
typedef struct
{
  void **items;
  size_t n_items;
  size_t capacity;
} LcDeferredFree;

void lc_deferred_free_add (LcDeferredFree *deferred, void *item);
void lc_deferred_free_run (LcDeferredFree *deferred);

struct LcStep
{
  LbLink link;
  LcStepSpec spec;
  LcDeferredFree *deferred_free;
  uint64_t spec_hash;
  uint64_t session;
  LcSlot *slots;
  size_t n_slots;
  LcGroup *groups; /* parallel to spec.groups */
  size_t n_in_state[LC_N_SLOT_STATES];
  LcVersion trainer_version; /* latest that the trainer stated */

  LcCursor acked; /* slots that the trainer has acknowledged */
  LcChunk chunk;
  LbList waiting_pulls;            /* LcWaitingPull */
  LcLedger ledger;                 /* writes of acked and chunk to the store */
  uint64_t required_ledger_change; /* nothing is delivered before this change is stored */

  int64_t reserved_tokens; /* tokens that running hedges may waste */
  LbTime next_review_at;
  LbTime retry_at;  /* earliest not_before of a slot that had to wait */
  LbTime closed_at; /* when the last sample was acknowledged; 0: not yet */
  LcStepStatus status;
};

/* Takes ownership of the spec's content and clears it. */
LcStep *lc_step_new (LcStepSpec *spec, uint64_t session, LcDeferredFree *deferred_free, LbTime now);
/* All jobs of the step must have been freed. */
void lc_step_free (LcStep *step);

/* Commands. */
void lc_step_set_slot_state (LcStep *step, LcSlot *slot, LcSlotState state);
/* Discards the slot's sample and sets its state to WAITING. */
void lc_step_reset_slot (LcStep *step, LcSlot *slot);
/* Frees text, label and score, and keeps the state. */
void lc_step_clear_sample (LcStep *step, LcSlot *slot);
void lc_chunk_clear (LcChunk *chunk);

/* Queries. */
/* Slots that are neither in the current chunk nor acknowledged. */
size_t lc_step_count_unsent (const LcStep *step);
LcReadySample lc_step_make_ready_sample (const LcStep *step, const LcSlot *slot);
/* NULL: the step has no such slot. */
LcSlot *lc_step_find_slot (LcStep *step, const char *group, int64_t index);
const LcGroupSpec *lc_step_group_spec (const LcStep *step, const LcSlot *slot);
/* Whether every sample of the group is generated and scored. */
bool lc_step_is_group_complete (const LcStep *step, size_t group_index);

#endif
