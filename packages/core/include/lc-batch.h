#ifndef LC_BATCH_H
#define LC_BATCH_H

#include "lc-carried.h"
#include "lc-dispatch.h"
#include "lc-outgoing.h"

/* A batch of samples at the instance that owns it: which item runs, which result comes at which
 * position, what is tried again and what is given up. No I/O: commands append actions. */

typedef struct
{
  LbName group; /* items of one group share their prompt */
  LcOutgoing request;
  int64_t prompt_tokens;
  int64_t max_tokens;
  int64_t expected_tokens; /* of the whole text, by its trainer's estimate; 0: not known */
  uint64_t prefix_hashes[LC_MAX_PREFIX_HASHES];
  size_t n_prefix_hashes;
  bool has_scorer;
  LcOutgoing scorer;
} LcItemSpec;

typedef struct
{
  LbName id;
  LbName model;
  LbName organisation; /* that it belongs to; empty: to nobody in particular */
  int64_t step;
  LcVersion min_version; /* older weights may not make any of its text */
  int64_t target_groups; /* whole groups that the trainer waits for */
  LcItemSpec *items;
  size_t n_items;
} LcBatchSpec;

void lc_batch_spec_clear (LcBatchSpec *spec);

#define LC_MAX_RESULT_VERSIONS 16

/* What is listed of an item, at a position that never changes. Owned texts. */
typedef struct
{
  LbName item;
  bool completed; /* else it was given up */
  char *text;
  char *score;
  LcVersion versions[LC_MAX_RESULT_VERSIONS];
  size_t n_versions;
} LcBatchResult;

void lc_batch_result_clear (LcBatchResult *result);

/* Some events of the text so far of an item that is not done. Not owned texts. */
typedef struct
{
  const char *item;
  int64_t run;    /* of the item's texts: one more each time that it was begun anew */
  int64_t first;  /* events of the text before these */
  int64_t events; /* in `text`, with a line feed between two */
  const char *text;
  const LcVersion *versions; /* of the text up to here */
  size_t n_versions;
} LcBatchPart;

typedef enum
{
  LC_BATCH_RUN,   /* submit the item to the dispatch under the id `request` */
  LC_BATCH_SCORE, /* the same for the item's scorer */
  LC_BATCH_STOP,  /* cancel `request` */
  /* Stop `request` and report it with lc_batch_ran and LB_ERROR_CLOSED, with the text of exactly
   * the pieces that were reported: it goes on elsewhere from there. */
  LC_BATCH_RECALL,
  LC_BATCH_WRITE, /* write results from `position` on; answer with lc_batch_written */
  /* Write what the texts have more than at the last KEEP, for the next owner; answer with
   * lc_batch_kept. */
  LC_BATCH_KEEP
} LcBatchActionType;

typedef struct
{
  LbLink link;
  LcBatchActionType type;
  LcRequestId request;
  size_t item; /* index into the spec's items */
  /* RUN */
  int64_t resume_at;       /* events that the text so far holds */
  const char *avoid;       /* endpoint that was too slow; "": none; valid until the next command */
  int64_t expected_events; /* still to come */
  LbTime wanted_by;        /* by the trainer */
  LbTime latest_start;     /* so that it is whole when the trainer wants it */
  /* KEEP: valid until the next command */
  LcBatchPart *parts;
  size_t n_parts;
  /* WRITE: valid until lc_batch_written */
  int64_t position;
  const LcBatchResult *const *results;
  size_t n_results;
} LcBatchAction;

void lc_batch_action_free (LcBatchAction *action);

/* What earlier batches of the same model taught of lengths and pace; outlives the batches. */
typedef struct LcBatchHistory LcBatchHistory;

LcBatchHistory *lc_batch_history_new (void);
void lc_batch_history_free (LcBatchHistory *history);

typedef struct
{
  LcBatchHistory *history;  /* not owned */
  LcCarried *carried;       /* not owned; NULL: every text is made anew */
  int64_t tokens_per_event; /* 0: not known */
  int64_t attempts;         /* failures of an item at engines after which it is given up */
  int64_t score_attempts;   /* the same for its scorer */
  bool resumable;
  bool single_version;
  LbTime due_at;     /* when the trainer wants all of it */
  LbTime give_up_at; /* what is not done by then is given up; LB_TIME_NEVER: never */
  LcRequestId (*next_id) (void *user);
  void *user;
} LcBatchSettings;

typedef struct LcBatch LcBatch;

/* Takes over the spec's content. */
LcBatch *lc_batch_new (LcBatchSpec *spec, const LcBatchSettings *settings);
void lc_batch_free (LcBatch *batch);

/* commands */
/* An earlier owner listed the item; before lc_batch_start. */
void lc_batch_was_listed (LcBatch *batch, const char *item);
void lc_batch_start (LcBatch *batch, LbTime now, LbList *actions);
/* An earlier owner has kept this of the item; before lc_batch_start. The parts of an item come in
 * the order of their run and first event. */
void lc_batch_restore (LcBatch *batch, const LcBatchPart *part);
/* One event of a running item's text. */
void lc_batch_piece (LcBatch *batch,
                     LcRequestId request,
                     LcVersion version,
                     const char *endpoint,
                     const char *text,
                     LbTime now);
/* The end of a run. */
void
lc_batch_ran (LcBatch *batch, LcRequestId request, LbErrorCode error, LbTime now, LbList *actions);
void lc_batch_scored (LcBatch *batch,
                      LcRequestId request,
                      LbErrorCode error,
                      const char *score,
                      LbTime now,
                      LbList *actions);
/* How the last WRITE ended; a failed one is asked again with the same results at the same
 * positions. */
void lc_batch_written (LcBatch *batch, bool ok, LbTime now, LbList *actions);
void lc_batch_tick (LcBatch *batch, LbTime now, LbList *actions);
/* Appends a KEEP with what has come since the last one that was kept; none when there is little. */
void lc_batch_keep (LcBatch *batch, LbTime now, LbList *actions);
/* How the last KEEP ended. */
void lc_batch_kept (LcBatch *batch, bool ok);
/* Ends all work; nothing is written any more. Texts of groups that are not whole are left for the
 * batch that asks for them again. */
void lc_batch_stop (LcBatch *batch, LbTime now, LbList *actions);

/* queries */
const LcBatchSpec *lc_batch_spec (const LcBatch *batch);
int64_t lc_batch_listed (const LcBatch *batch);
bool lc_batch_is_done (const LcBatch *batch);
LbTime lc_batch_next_tick (const LcBatch *batch);

#endif
