#ifndef LC_ROLLOUTS_H
#define LC_ROLLOUTS_H

#include "lc-dispatch.h"

/* The owner's side of trainers' steps, where a step is the set of samples that a trainer asks for
 * at once, a slot the place of one sample in it, and the ledger a row in the store that records
 * which slots were delivered. Schedules generations, labels and scores samples, enforces the
 * staleness bound, delivers chunks with cursors, and migrates or hedges stragglers. No I/O:
 * commands add actions for the node, which submits requests to LcDispatch and replies to trainers.
 */

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
  LcVersion trainer_version; /* when the step was opened */
  LcGroupSpec *groups;
  size_t n_groups;
} LcStepSpec;

void lc_step_spec_clear (LcStepSpec *spec);

/* A sample that can be delivered. Pointers are valid until the next command. */
typedef struct
{
  const char *group;
  int64_t index;
  const char *text;
  const LcLabel *label;
  bool has_score;
  double score;
} LcReadySample;

/* State of a step left by its earlier owner. */
typedef struct
{
  uint64_t session;             /* number of the new owner; each owner of a step has a larger one */
  const char *ledger_cursor;    /* value of the ledger row; "": there is none */
  const LcReadySample *samples; /* not acknowledged when the earlier owner ended */
  size_t n_samples;
} LcStepHandover;

/* A trainer's request for the next chunk of a step. */
typedef struct
{
  uint64_t id; /* chosen by the node; the reply carries it */
  LbName subscription;
  int64_t step;
  const char *cursor;        /* cursor of the last reply; "" at the start of a step */
  LcVersion trainer_version; /* current version; staleness is counted from it */
  int64_t max_samples;
  LbTime wait_until; /* answer without samples at this time */
} LcPull;

typedef enum
{
  LC_ROLLOUT_GENERATE,     /* submit a generation to the dispatch */
  LC_ROLLOUT_CANCEL,       /* cancel a request of an earlier GENERATE or SCORE */
  LC_ROLLOUT_SCORE,        /* send a sample to the scorer */
  LC_ROLLOUT_WRITE_LEDGER, /* write the ledger's row, if no later session has written it */
  LC_ROLLOUT_REPLY,        /* answer a pull */
  /* Stop a request of an earlier GENERATE and pass LB_ERROR_CLOSED and the text of exactly those
   * pieces that were reported to lc_rollouts_finish_generation; another request resumes there. */
  LC_ROLLOUT_PREEMPT
} LcRolloutActionType;

typedef struct
{
  LbLink link;
  LcRolloutActionType type;
  /* GENERATE, SCORE, CANCEL, PREEMPT */
  LcRequestSpec spec; /* spec.id is the request's id */
  const char *group;  /* owned by the step; valid until the next command */
  int64_t index;      /* number of the sample in its group */
  const char *prompt; /* owned by the step; valid until the next command */
  int64_t max_tokens;
  char *resume_text; /* owned; text to resume after; NULL: start from the beginning */
  LbName scorer;
  const char *text; /* SCORE: text of the sample */
  /* WRITE_LEDGER */
  uint64_t write_id; /* to be passed to lc_rollouts_finish_ledger_write */
  char *row_key;     /* owned */
  char *row_value;   /* owned */
  uint64_t session;
  /* REPLY */
  uint64_t pull_id;
  LbError error; /* code LB_OK: the reply is a chunk */
  LbTime retry_after;
  LcReadySample *samples; /* owned array */
  size_t n_samples;
  char *cursor;      /* owned */
  int64_t remaining; /* slots still to be delivered after this chunk */
} LcRolloutAction;

/* Totals of a step, for its status and for benchmarks. */
typedef struct
{
  int64_t slots;
  int64_t delivered;            /* slots whose sample was sent to the trainer */
  int64_t ready;                /* slots whose sample can be delivered */
  int64_t running;              /* slots that are being generated or scored */
  int64_t discarded_stale;      /* samples that exceeded the staleness bound */
  int64_t discarded_unlabelled; /* samples without a complete label of versions */
  int64_t hedges;
  int64_t tokens;        /* generated, wasted ones included */
  int64_t wasted_tokens; /* tokens of samples that were discarded or cancelled */
  double staleness_sum;  /* in versions, over all delivered samples */
  int64_t staleness_max; /* largest of one delivered sample */
  LbTime opened_at;
  LbTime completed_at; /* 0: not yet */
} LcStepStatus;

typedef struct
{
  LbName instance;
  uint64_t seed;
  /* Parts of the scheduling: all true by default; benchmarks switch them off to measure the effect
   * of each. */
  bool longest_first;
  bool hedging;
  bool resume;
  bool predict_staleness;
  bool group_release;
  bool fair_shares;
  bool migrate; /* resume samples of slow endpoints on other endpoints */
  /* An owner that ran no command for longer than this may have been replaced, so it confirms its
   * session by a ledger write before it delivers again. 0: no limit. */
  LbTime pause_limit;
} LcRolloutSettings;

typedef struct LcRollouts LcRollouts;

LcRolloutSettings lc_rollout_settings_default (void);
LcRollouts *lc_rollouts_new (const LcRolloutSettings *settings);
void lc_rollouts_free (LcRollouts *rollouts);

/* commands */

/* Takes request ids from next_id, so that the node can use those of the dispatch. */
void
lc_rollouts_set_id_source (LcRollouts *rollouts, LcRequestId (*next_id) (void *user), void *user);
void
lc_rollouts_configure (LcRollouts *rollouts, const LcResourceSet *set, LbTime now, LbList *actions);
/* Takes ownership of the spec's content. Opening an open step again has no effect if the content is
 * the same, and is a conflict otherwise. Each later owner has a larger session. */
bool lc_rollouts_open_step (LcRollouts *rollouts,
                            LcStepSpec *spec,
                            uint64_t session,
                            LbTime now,
                            LbList *actions,
                            LbError *error);
/* Opens a step of an earlier owner. Slots that the ledger's cursor names, or for which a sample is
 * handed over, are not generated again. */
bool lc_rollouts_take_over_step (LcRollouts *rollouts,
                                 LcStepSpec *spec,
                                 const LcStepHandover *handover,
                                 LbTime now,
                                 LbList *actions,
                                 LbError *error);
/* The same as lc_rollouts_take_over_step, without samples of the earlier owner. */
bool lc_rollouts_recover_step (LcRollouts *rollouts,
                               LcStepSpec *spec,
                               uint64_t session,
                               const char *ledger_cursor,
                               LbTime now,
                               LbList *actions,
                               LbError *error);
/* Removes a step that has a new owner: cancels its requests and answers its pulls with
 * LB_ERROR_STALE_SESSION. */
void lc_rollouts_abort_step (LcRollouts *rollouts,
                             const char *subscription,
                             int64_t step_number,
                             LbTime now,
                             LbList *actions);
void
lc_rollouts_handle_pull (LcRollouts *rollouts, const LcPull *pull, LbTime now, LbList *actions);
/* Drops the pull of a closed connection; the chunk stays available for a repeat of the pull. */
void lc_rollouts_cancel_pull (LcRollouts *rollouts, uint64_t pull_id);
/* Receives the next piece of a generation. */
void lc_rollouts_add_piece (LcRollouts *rollouts,
                            LcRequestId request,
                            const LcPiece *piece,
                            const char *endpoint,
                            LbTime now,
                            LbList *actions);
/* Takes ownership of text, which is what was generated after any resume_text. */
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
    LcRollouts *rollouts, uint64_t write_id, LbErrorCode error, LbTime now, LbList *actions);
/* Sets the newest version that the pool serves and the time between versions, both used to predict
 * staleness; 0: unknown. */
void lc_rollouts_set_versions (LcRollouts *rollouts,
                               const char *pool_name,
                               LcVersion newest_version,
                               LbTime version_interval,
                               LbTime now,
                               LbList *actions);
void lc_rollouts_drain (LcRollouts *rollouts, LbTime now, LbList *actions);
void lc_rollouts_tick (LcRollouts *rollouts, LbTime now, LbList *actions);
void lc_rollout_action_free (LcRolloutAction *action);

/* queries */
/* Whether the current configuration has a subscription of this name. */
bool lc_rollouts_has_subscription (const LcRollouts *rollouts, const char *subscription);
/* Whether the step is valid, its subscription is configured and this instance isn't draining. */
bool lc_rollouts_can_open_step (const LcRollouts *rollouts, const LcStepSpec *spec, LbError *error);
LbTime lc_rollouts_next_tick (const LcRollouts *rollouts);
bool lc_rollouts_get_step_status (const LcRollouts *rollouts,
                                  const char *subscription,
                                  int64_t step_number,
                                  LcStepStatus *status);
/* The step's samples that the trainer has not acknowledged, for handover to the next owner. The
 * caller frees the array; what it points to is valid until the next command. */
size_t lc_rollouts_list_unacknowledged (const LcRollouts *rollouts,
                                        const char *subscription,
                                        int64_t step_number,
                                        LcReadySample **samples);
/* Whether the request is a running scoring. */
bool lc_rollouts_is_scoring_request (const LcRollouts *rollouts, LcRequestId request);
/* Running requests and waiting pulls. */
size_t lc_rollouts_count_in_progress (const LcRollouts *rollouts);
/* Deliveries prevented by the invariant checks; anything but 0 is a bug. */
int64_t lc_rollouts_count_invariant_failures (const LcRollouts *rollouts);
/* Hash of the step's content, the same on every instance. */
uint64_t lc_step_spec_hash (const LcStepSpec *spec);

#endif
