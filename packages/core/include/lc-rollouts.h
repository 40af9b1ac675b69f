#ifndef LC_ROLLOUTS_H
#define LC_ROLLOUTS_H

#include "lc-dispatch.h"

/* This header declares the owner of trainers' steps. A step is the set of samples that a trainer
 * asks for at once, a slot is the place of one sample in a step, and a ledger is the row in the
 * store that records which slots of a step were delivered. The owner schedules generations, labels
 * samples with weight versions, has them scored, enforces the staleness bound, delivers chunks of
 * samples with cursors, and migrates or hedges stragglers. No I/O: functions that change the state
 * add actions that the caller carries out; the caller submits requests to LcDispatch and replies to
 * trainers. */

typedef struct
{
  LbName id;
  char *prompt; /* owned by this struct */
  int64_t samples;
  int64_t max_tokens;
} LcGroupSpec;

typedef struct
{
  LbName subscription;
  int64_t step;
  LcVersion trainer_version; /* the trainer's weight version when it opened the step */
  LcGroupSpec *groups;
  size_t n_groups;
} LcStepSpec;

void lc_step_spec_clear (LcStepSpec *spec);

/* A generated sample for delivery to a trainer. Its pointers are valid until the LcRollouts is next
 * changed. */
typedef struct
{
  const char *group;
  int64_t index;
  const char *text;
  const LcLabel *label;
  bool has_score;
  double score;
} LcReadySample;

/* State of a step that its previous owner left to the next owner. */
typedef struct
{
  /* number of the new owner's session; each later owner of a step has a larger number */
  uint64_t session;
  /* cursor in the step's ledger row, naming the delivered slots; "" if the row does not exist */
  const char *ledger_cursor;
  const LcReadySample *samples; /* samples that the trainer has not acknowledged */
  size_t n_samples;
} LcStepHandover;

/* A trainer's request for the next chunk of a step. */
typedef struct
{
  /* id of the pull, chosen by the caller of LcRollouts; the REPLY action has it as pull_id */
  uint64_t id;
  LbName subscription;
  int64_t step;
  /* cursor of the last reply that the trainer received; "" at the start of a step */
  const char *cursor;
  /* Strict subscriptions: whether the trainer names the last chunk that it has. If not, a chunk
   * counts as received when it is sent. */
  bool names_chunk;
  int64_t received_chunk_id; /* the last chunk that the trainer has; 0: none of this step */
  /* the trainer's current weight version; staleness is measured against it */
  LcVersion trainer_version;
  int64_t max_samples;
  LbTime wait_until; /* if no sample is ready by this time, the reply is sent without samples */
} LcPull;

typedef enum
{
  LC_ROLLOUT_GENERATE, /* submit a generation request to LcDispatch */
  LC_ROLLOUT_CANCEL,   /* cancel the request of an earlier GENERATE or SCORE action */
  LC_ROLLOUT_SCORE,    /* send a sample to the scorer */
  /* write a step's ledger row, unless a later owner of the step has written it */
  LC_ROLLOUT_WRITE_LEDGER,
  LC_ROLLOUT_REPLY, /* reply to a trainer's pull */
  /* Stop the request of an earlier GENERATE action. Then pass LB_ERROR_CLOSED to
   * lc_rollouts_finish_generation, with the text of exactly the pieces that were passed to
   * lc_rollouts_add_generated_piece, so that another request can resume after them. */
  LC_ROLLOUT_PREEMPT
} LcRolloutActionType;

typedef struct
{
  LbLink link;
  LcRolloutActionType type;
  /* Members set for GENERATE and SCORE; CANCEL and PREEMPT set only spec.id. */
  LcRequestSpec spec; /* request to submit; spec.id is its id */
  const char *group;  /* id of the sample's group; valid until the LcRollouts is next changed */
  int64_t index;      /* index of the sample in its group, from 0 */
  /* prompt of the sample; owned by the step, valid until the LcRollouts is next changed */
  const char *prompt;
  int64_t max_tokens;
  /* GENERATE: generated text that the request continues, owned by the action; NULL: none */
  char *resume_text;
  LbName scorer;
  const char *text; /* SCORE: text of the sample to score */
  /* Members set for WRITE_LEDGER. */
  uint64_t write_id; /* id of the write, to pass to lc_rollouts_finish_ledger_write */
  char *row_key;     /* key of the step's ledger row; owned by the action */
  char *row_value;   /* new value of the step's ledger row; owned by the action */
  uint64_t session;
  /* Members set for REPLY. */
  uint64_t pull_id;
  /* error that the reply gives to the trainer; with code LB_OK, the reply is a chunk of 0 or
   * more samples */
  LbError error;
  LbTime retry_after;
  LcReadySample *samples; /* samples of the chunk; the array is owned by the action */
  size_t n_samples;
  /* cursor to send with the chunk, which acknowledges the chunk when the trainer sends it back;
   * owned by the action */
  char *cursor;
  /* id of the chunk, or of the last one before a reply without samples, which the next pull of a
   * strict subscription sends back as received_chunk_id */
  int64_t chunk_id;
  int64_t remaining; /* number of slots still to be delivered after this chunk */
} LcRolloutAction;

/* Totals of a step, for its status and for benchmarks. */
typedef struct
{
  int64_t slots;
  int64_t delivered;            /* number of slots whose sample was sent to the trainer */
  int64_t ready;                /* number of slots whose sample is ready but not sent */
  int64_t running;              /* number of slots whose sample is being generated or scored */
  int64_t discarded_stale;      /* number of samples discarded for exceeding the staleness bound */
  int64_t discarded_unlabelled; /* number of samples discarded for an incomplete version label */
  int64_t hedges;
  int64_t tokens;        /* number of generated tokens, including wasted_tokens */
  int64_t wasted_tokens; /* number of tokens of samples that were discarded or cancelled */
  double staleness_sum;  /* sum of the staleness of all delivered samples, in versions */
  int64_t staleness_max; /* largest staleness of a delivered sample, in versions */
  LbTime opened_at;
  LbTime completed_at; /* time at which no undelivered slot was left; 0: the step is not complete */
} LcStepStatus;

typedef struct
{
  LbName instance;
  uint64_t seed;
  /* Scheduling features, all enabled by default. Benchmarks disable them to measure the effect of
   * each. */
  bool longest_first;
  bool hedging;
  bool resume;
  bool predict_staleness;
  bool group_release;
  bool fair_shares;
  bool migrate; /* stop samples on slow endpoints and resume them on other endpoints */
  /* After a pause of more than this between two calls, another instance may have taken over the
   * steps. The owner then confirms its session by a ledger write before it delivers again. 0: no
   * limit. */
  LbTime pause_limit;
} LcRolloutSettings;

typedef struct LcRollouts LcRollouts;

LcRolloutSettings lc_rollout_settings_default (void);
LcRollouts *lc_rollouts_new (const LcRolloutSettings *settings);
void lc_rollouts_free (LcRollouts *rollouts);

/* Functions that change an LcRollouts. */

/* Sets the function that returns ids for new requests. It should also supply the ids of other
 * LcDispatch requests, so that all ids are unique. */
void lc_rollouts_set_request_id_source (LcRollouts *rollouts,
                                        LcRequestId (*next_id) (void *user),
                                        void *user);
void
lc_rollouts_configure (LcRollouts *rollouts, const LcResourceSet *set, LbTime now, LbList *actions);
/* Opens a step and takes ownership of the spec's content. For a step that is already open, the call
 * has no effect if the content is the same, and fails with LB_ERROR_CONFLICT otherwise. Each later
 * owner of a step has a larger session number. */
bool lc_rollouts_open_step (LcRollouts *rollouts,
                            LcStepSpec *spec,
                            uint64_t session,
                            LbTime now,
                            LbList *actions,
                            LbError *error);
/* Opens a step of a previous owner. Slots that the ledger's cursor contains, and slots with a
 * sample in the handover (the state that the previous owner left), are not generated again. */
bool lc_rollouts_take_over_step (LcRollouts *rollouts,
                                 LcStepSpec *spec,
                                 const LcStepHandover *handover,
                                 LbTime now,
                                 LbList *actions,
                                 LbError *error);
/* Like lc_rollouts_take_over_step, but with the ledger row only, without samples of the previous
 * owner. */
bool lc_rollouts_recover_step_from_ledger (LcRollouts *rollouts,
                                           LcStepSpec *spec,
                                           uint64_t session,
                                           const char *ledger_cursor,
                                           LbTime now,
                                           LbList *actions,
                                           LbError *error);
/* Removes a step that another instance has taken over: cancels the step's requests and answers its
 * pulls with LB_ERROR_STALE_SESSION. */
void lc_rollouts_abort_step (LcRollouts *rollouts,
                             const char *subscription,
                             int64_t step_number,
                             LbTime now,
                             LbList *actions);
void
lc_rollouts_accept_pull (LcRollouts *rollouts, const LcPull *pull, LbTime now, LbList *actions);
/* Removes a trainer's pull whose connection was closed. A trainer that repeats the pull gets the
 * same chunk. */
void lc_rollouts_cancel_pull (LcRollouts *rollouts, uint64_t pull_id);
/* Processes the next piece of a generation's stream, which the endpoint sent. */
void lc_rollouts_add_generated_piece (LcRollouts *rollouts,
                                      LcRequestId request,
                                      const LcPiece *piece,
                                      const char *endpoint,
                                      LbTime now,
                                      LbList *actions);
/* Processes the end of a generation. Takes ownership of text, which excludes any resume_text. */
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
/* Sets the newest weight version that the pool serves and the time between new versions, from which
 * the staleness of samples is predicted. 0 means that a value is unknown. */
void lc_rollouts_set_newest_pool_version (LcRollouts *rollouts,
                                          const char *pool_name,
                                          LcVersion newest_version,
                                          LbTime version_interval,
                                          LbTime now,
                                          LbList *actions);
void lc_rollouts_drain (LcRollouts *rollouts, LbTime now, LbList *actions);
void lc_rollouts_tick (LcRollouts *rollouts, LbTime now, LbList *actions);
void lc_rollout_action_free (LcRolloutAction *action);

/* Functions that only read an LcRollouts. */

/* Whether the current configuration has a subscription of this name. */
bool lc_rollouts_has_subscription (const LcRollouts *rollouts, const char *subscription);
/* Whether the step is valid, its subscription is configured and this instance isn't draining. */
bool lc_rollouts_can_open_step (const LcRollouts *rollouts, const LcStepSpec *spec, LbError *error);
LbTime lc_rollouts_next_tick_at (const LcRollouts *rollouts);
bool lc_rollouts_get_step_status (const LcRollouts *rollouts,
                                  const char *subscription,
                                  int64_t step_number,
                                  LcStepStatus *status);
/* Lists the step's samples that the trainer has not acknowledged, for handover to the next owner.
 * The caller frees the array; the pointers in it are valid until the LcRollouts is next changed. */
size_t lc_rollouts_list_unacknowledged_samples (const LcRollouts *rollouts,
                                                const char *subscription,
                                                int64_t step_number,
                                                LcReadySample **samples);
/* Whether the id is that of a running request to a scorer. */
bool lc_rollouts_is_scoring_request (const LcRollouts *rollouts, LcRequestId request);
/* Returns the number of running requests plus the number of waiting pulls. */
size_t lc_rollouts_count_requests_and_waiting_pulls (const LcRollouts *rollouts);
/* Returns how many deliveries the invariant checks prevented; a number above 0 means a bug. */
int64_t lc_rollouts_count_invariant_failures (const LcRollouts *rollouts);
/* Returns a hash of the step's content that is the same on every instance. */
uint64_t lc_step_spec_hash (const LcStepSpec *spec);

#endif
