#ifndef LC_BATCH_HEAD_H
#define LC_BATCH_HEAD_H

#include "lc-engine-paces.h"

/* Buffer size in bytes for the start of a batch's path, which selects its route. */
#define LC_BATCH_PATH_SIZE 128

struct json_object;

/* Row of a batch in the store; the row exists if and only if the batch was accepted. A transaction
 * that writes results requires this row to be unchanged, so an instance that has been replaced as
 * owner of the batch, or has missed the end of the batch, cannot store further results. */
typedef struct
{
  LbName batch;
  LbName owner; /* instance that runs the batch; empty: released, any instance may take it over */
  LbName incarnation;
  /* While there is no owner: the instance that released the batch when it shut down, and the
   * store's clock at that time (0: unknown). */
  LbName released_by;
  int64_t released_ms;
  int64_t epoch; /* fencing token: incremented with each change of owner */
  bool ended;
  /* When the batch was submitted and ended, by the store's clock in Unix ms; 0: not known. Every
   * instance estimates the trainers' lag from them. */
  int64_t accepted_ms;
  int64_t ended_ms;
  int64_t n_items;
  LbName model;
  bool has_step; /* the trainer numbers its steps; `step` is then the number, from 0 */
  int64_t step;
  int64_t due_ms;          /* store's clock by which the batch is needed; 0: unknown */
  int64_t expected_tokens; /* expected total length of the batch's texts */
  /* Instance that should take over the batch from the instance that accepted it or that released
   * it. One instance runs all batches of a model, so that its connections to the engines are
   * reused. */
  LbName preferred_instance;
  LbName organisation;           /* organisation that the batch belongs to; empty: none */
  int64_t organisation_priority; /* priority when the batch was accepted; larger values run first */
  LbName host;                   /* host name of the batch's route */
  char path[LC_BATCH_PATH_SIZE];
  LcEnginePaces paces; /* as seen by the instance that submitted or claimed the batch */
} LcBatchHead;

struct json_object *lc_batch_head_to_json (const LcBatchHead *head);
bool lc_batch_head_from_json (struct json_object *object, LcBatchHead *head);

/* Returns the preferred instance, if any, while the batch has its first owner (epoch 1) or none;
 * otherwise the current owner. */
const char *lc_batch_head_assigned_instance (const LcBatchHead *head);
/* Whether the next batch of a model is assigned to the instance of batch a rather than to that of
 * batch b. The versions are those of the batches' rows in the store. */
bool lc_batch_head_has_next_batch_priority_over (const LcBatchHead *a,
                                                 int64_t row_version_a,
                                                 const LcBatchHead *b,
                                                 int64_t row_version_b);
/* Compares two rows by the order in which an instance claims their batches if several have no
 * owner: the one that is due first comes first. Returns a negative number, 0 or a positive number.
 */
int lc_batch_head_compare_by_due_time (const LcBatchHead *a, const LcBatchHead *b);

#endif
