#ifndef LC_ROLLOUTS_H
#define LC_ROLLOUTS_H

#include "lc-dispatch.h"

/* Steps of trainers: slots, groups, labels, staleness, cursors, hedges. No I/O: commands return
 * actions for the node, which carries samples to LcDispatch and chunks to trainers. */

typedef struct
{
  LbName id;
  char *prompt; /* owned by the spec */
  int64_t samples;
  int64_t max_tokens;
} LcGroupSpec;

typedef struct
{
  LbName subscription;
  int64_t step;
  LcVersion trainer_version; /* the trainer's own when it asked */
  LcGroupSpec *groups;
  size_t n_groups;
} LcStepSpec;

void lc_step_spec_clear (LcStepSpec *spec);

/* A sample ready for its trainer. Pointers are valid until the next command. */
typedef struct
{
  const char *group;
  int64_t index;
  const char *text;
  const LcLabel *label;
  bool has_score;
  double score;
} LcReadySample;

/* What an earlier owner of a step left. */
typedef struct
{
  uint64_t session;             /* of the new owner */
  const char *ledger_cursor;    /* value of the last ledger row; "": there is none */
  const LcReadySample *samples; /* that were ready and that the trainer may not have */
  size_t n_samples;
} LcStepHandover;

/* A pull: cursor is the text of the last reply ("" at the start of a step). */
typedef struct
{
  uint64_t id; /* names the waiting reply; chosen by the node */
  LbName subscription;
  int64_t step;
  const char *cursor;
  LcVersion trainer_version; /* what the trainer trains now: staleness is judged against it */
  int64_t max_samples;
  LbTime wait_until;
} LcPull;

typedef enum
{
  LC_ROLLOUT_GENERATE,     /* submit to the dispatch a sample: request, spec, prompt, resume_text */
  LC_ROLLOUT_CANCEL,       /* cancel a request of an earlier GENERATE or SCORE */
  LC_ROLLOUT_SCORE,        /* ask the scorer about a sample */
  LC_ROLLOUT_WRITE_LEDGER, /* write a batched row under its condition */
  LC_ROLLOUT_REPLY,        /* answer a pull */
  /* Stop a request of an earlier GENERATE and report it with lc_rollouts_finish_generation and
   * LB_ERROR_CLOSED, with the text of exactly those pieces that were reported: another request goes
   * on from there. */
  LC_ROLLOUT_PREEMPT
} LcRolloutActionType;

typedef struct
{
  LbLink link;
  LcRolloutActionType type;
  /* GENERATE, SCORE, ABANDON, RECALL */
  LcRequestSpec spec; /* spec.id names the request */
  const char *group;  /* owned by the step; valid until the next command */
  int64_t index;      /* of the sample in its group; the same for hedges and repeats of one slot */
  const char *prompt; /* owned by the step; valid until the next command */
  int64_t max_tokens;
  char *resume_text; /* owned by the action; NULL: from the start */
  LbName scorer;
  const char *text; /* SCORE: the sample */
  /* LEDGER */
  uint64_t write_id; /* names the write for lc_rollouts_finish_ledger_write */
  char *row_key;     /* owned */
  char *row_value;
  uint64_t session;
  /* REPLY */
  uint64_t pull_id;
  LbError error; /* code LB_OK: a chunk */
  LbTime retry_after;
  LcReadySample *samples; /* owned array */
  size_t n_samples;
  char *cursor;      /* owned */
  int64_t remaining; /* slots not delivered after this chunk */
} LcRolloutAction;

/* Totals of a step, for status and the measures. */
typedef struct
{
  int64_t slots;
  int64_t delivered;
  int64_t ready;
  int64_t running;
  int64_t discarded_stale;
  int64_t discarded_unlabelled;
  int64_t hedges;
  int64_t tokens;
  int64_t wasted_tokens;
  double staleness_sum;
  int64_t staleness_max;
  LbTime opened_at;
  LbTime completed_at; /* 0: not yet */
} LcStepStatus;

typedef struct
{
  LbName instance;
  uint64_t seed;
  /* mechanisms, for measuring each alone; all true in the product */
  bool longest_first;
  bool hedging;
  bool resume;
  bool predict_staleness;
  bool group_release;
  bool fair_shares;
  bool migrate; /* samples of slow endpoints go on elsewhere */
  /* An owner that found no time to tick for so long may have been replaced meanwhile: it has its
   * session confirmed by a ledger write before it delivers again. 0: never. */
  LbTime pause_limit;
} LcRolloutSettings;

typedef struct LcRollouts LcRollouts;

LcRolloutSettings lc_rollout_settings_default (void);
LcRollouts *lc_rollouts_new (const LcRolloutSettings *settings);
void lc_rollouts_free (LcRollouts *rollouts);

/* commands; ids of requests come from next_id so that the node can use the dispatch's numbering */
void
lc_rollouts_set_id_source (LcRollouts *rollouts, LcRequestId (*next_id) (void *user), void *user);
void
lc_rollouts_configure (LcRollouts *rollouts, const LcResourceSet *set, LbTime now, LbList *actions);
/* Takes over the spec's content. The same step again with the same content is accepted and changes
 * nothing; with other content it is a conflict. session is larger for each later owner. */
bool lc_rollouts_open_step (LcRollouts *rollouts,
                            LcStepSpec *spec,
                            uint64_t session,
                            LbTime now,
                            LbList *actions,
                            LbError *error);
/* Opens a step that an earlier owner began. Slots that the ledger names, or for which a sample is
 * given, are not generated again. */
bool lc_rollouts_take_over_step (LcRollouts *rollouts,
                                 LcStepSpec *spec,
                                 const LcStepHandover *recovery,
                                 LbTime now,
                                 LbList *actions,
                                 LbError *error);
/* The same for an owner that left no samples. */
bool lc_rollouts_recover_step (LcRollouts *rollouts,
                               LcStepSpec *spec,
                               uint64_t session,
                               const char *ledger,
                               LbTime now,
                               LbList *actions,
                               LbError *error);
/* The owner was replaced: stops all work of the step and answers its pulls with STALE_SESSION. */
void lc_rollouts_abort_step (
    LcRollouts *rollouts, const char *subscription, int64_t step, LbTime now, LbList *actions);
void lc_rollouts_pull (LcRollouts *rollouts, const LcPull *pull, LbTime now, LbList *actions);
/* The trainer's connection is gone; the chunk stays for its repeat. */
void lc_rollouts_cancel_pull (LcRollouts *rollouts, uint64_t pull);
/* Each piece of a sample's generation, in order. */
void lc_rollouts_add_piece (LcRollouts *rollouts,
                            LcRequestId request,
                            const LcPiece *piece,
                            const char *endpoint,
                            LbTime now,
                            LbList *actions);
/* The end of a request; text is taken over (the generated text, after any resume_text). */
void lc_rollouts_finish_generation (LcRollouts *rollouts,
                                    LcRequestId request,
                                    LbErrorCode error,
                                    char *text,
                                    LbTime now,
                                    LbList *actions);
void lc_rollouts_finish_scoring (LcRollouts *rollouts,
                                 LcRequestId request,
                                 LbErrorCode error,
                                 double score,
                                 LbTime now,
                                 LbList *actions);
void lc_rollouts_finish_ledger_write (
    LcRollouts *rollouts, uint64_t write, LbErrorCode error, LbTime now, LbList *actions);
/* What the fleet serves now: newest version and seconds between versions, for prediction. */
void lc_rollouts_set_versions (LcRollouts *rollouts,
                               const char *pool,
                               LcVersion newest,
                               LbTime cadence,
                               LbTime now,
                               LbList *actions);
void lc_rollouts_drain (LcRollouts *rollouts, LbTime now, LbList *actions);
void lc_rollouts_tick (LcRollouts *rollouts, LbTime now, LbList *actions);
void lc_rollout_action_free (LcRolloutAction *action);

/* queries */
/* Whether the resources have a subscription of this name. */
bool lc_rollouts_has_subscription (const LcRollouts *rollouts, const char *subscription);
/* Whether the step's content and subscription are such that it could be opened here. */
bool lc_rollouts_can_open_step (const LcRollouts *rollouts, const LcStepSpec *spec, LbError *error);
LbTime lc_rollouts_next_tick (const LcRollouts *rollouts);
bool lc_rollouts_get_step_status (const LcRollouts *rollouts,
                                  const char *subscription,
                                  int64_t step,
                                  LcStepStatus *status);
/* The step's samples that its trainer has not acknowledged, to be given to the next owner. The
 * array is the caller's, what it points to is valid until the next command. */
size_t lc_rollouts_list_unacknowledged (const LcRollouts *rollouts,
                                        const char *subscription,
                                        int64_t step,
                                        LcReadySample **samples);
/* True for a running request that asks a scorer. */
bool lc_rollouts_is_scoring (const LcRollouts *rollouts, LcRequestId request);
size_t lc_rollouts_count_in_progress (const LcRollouts *rollouts);
/* Times that a delivery was refused because it would have broken a promise; 0 in a sound program.
 */
int64_t lc_rollouts_invariant_failures (const LcRollouts *rollouts);
/* The content of a step as one number: equal for equal content, on every instance. */
uint64_t lc_step_spec_hash (const LcStepSpec *spec);

#endif
