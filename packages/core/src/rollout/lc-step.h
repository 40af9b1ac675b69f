#ifndef LC_STEP_H
#define LC_STEP_H

#include "lc-cursor.h"
#include "lc-ledger.h"
#include "lc-rollouts.h"
#include "lc-straggler.h"

#include <uthash.h>

typedef struct LcStep LcStep;

typedef enum
{
  LC_SLOT_WAITING, /* nothing runs; text and label hold what a broken generation left */
  LC_SLOT_RUNNING, /* one generation, or two when hedged */
  LC_SLOT_SCORING,
  LC_SLOT_READY,
  LC_SLOT_SENT, /* in the chunk that the trainer has not acknowledged */
  LC_SLOT_ACKED
} LcSlotState;

#define LC_N_SLOT_STATES (LC_SLOT_ACKED + 1)

/* One request that runs for a slot: a generation or a call of the scorer. */
typedef struct
{
  UT_hash_handle hh;
  LbLink link; /* in the slot's jobs */
  LcRequestId request;
  LcStep *step;
  size_t slot;
  bool scores;   /* a call of the scorer, not a generation */
  bool hedge;    /* the second generation of its slot */
  bool recalled; /* its end was asked for, to go on in another request */
  int64_t base;  /* tokens that it was resumed with */
  char *prefix;  /* their text; NULL: none */
  LcLabel label;
  LbTime started;
  LbTime first_piece; /* 0: none yet */
  int64_t reserved;   /* of the hedge budget, tokens */
  LbName endpoint;    /* of the latest piece */
} LcJob;

/* The place of one sample: (subscription, step, group, index). */
typedef struct
{
  size_t group;
  int64_t index;
  LcSlotState state;
  LbList jobs;
  char *text;     /* NULL: none */
  LcLabel *label; /* of text */
  bool has_score;
  double score;
  bool was_sent;     /* in some chunk of this session */
  int moves;         /* times that it was migrated */
  LbName avoid;      /* endpoint that was slow with it; empty: none */
  int failures;      /* in a row */
  LbTime not_before; /* WAITING, SCORING: no new request earlier */
} LcSlot;

typedef struct
{
  size_t first; /* slot */
  size_t count;
} LcGroup;

/* What the trainer was given last and has not acknowledged. */
typedef struct
{
  size_t *slots; /* NULL: no chunk is out */
  size_t n_slots;
  LcCursor cursor;   /* acknowledges it */
  LcVersion version; /* of the trainer that it was checked against */
  uint64_t change;   /* strict: the ledger change that names it */
} LcChunk;

/* What the reply of this command may still point to; freed at the next one. */
typedef struct
{
  void **items;
  size_t n_items;
  size_t capacity;
} LcTrash;

void lc_trash_add (LcTrash *trash, void *item);
void lc_trash_empty (LcTrash *trash);

struct LcStep
{
  LbLink link;
  LcStepSpec spec;
  LcTrash *trash;
  uint64_t hash;
  uint64_t session;
  LcSlot *slots;
  size_t n_slots;
  LcGroup *groups; /* as many as in the spec */
  size_t n_in_state[LC_N_SLOT_STATES];
  LcVersion trainer_version; /* latest stated */

  LcCursor acked;
  LcChunk chunk;
  LbList pulls; /* LcWaitingPull */
  LcLedger ledger;
  uint64_t must_be_confirmed; /* ledger change without which nothing is delivered */

  int64_t reserved; /* tokens that running hedges may waste */
  LbTime next_review;
  LbTime retry_at; /* earliest not_before that was seen */
  LbTime closed;   /* when all was acknowledged; 0: not yet */
  LcStepStatus status;
};

/* Takes over the spec's content. */
LcStep *lc_step_new (LcStepSpec *spec, uint64_t session, LcTrash *trash, LbTime now);
/* Its jobs must be gone. */
void lc_step_free (LcStep *step);

/* Commands. */
void lc_step_set_state (LcStep *step, LcSlot *slot, LcSlotState state);
/* Forgets text, label and score: the slot waits for a new generation. */
void lc_step_reset_slot (LcStep *step, LcSlot *slot);
void lc_step_forget_text (LcStep *step, LcSlot *slot);
void lc_chunk_clear (LcChunk *chunk);

/* Queries. */
size_t lc_step_unsent (const LcStep *step);
LcReadySample lc_step_delivered (const LcStep *step, const LcSlot *slot);
/* NULL: the step has no such slot. */
LcSlot *lc_step_find_slot (LcStep *step, const char *group, int64_t index);
const LcGroupSpec *lc_step_group_spec (const LcStep *step, const LcSlot *slot);
/* A whole group: none of its samples is still to be made. */
bool lc_step_group_is_whole (const LcStep *step, size_t group);

#endif
