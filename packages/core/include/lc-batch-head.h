#ifndef LC_BATCH_HEAD_H
#define LC_BATCH_HEAD_H

#include "lc-types.h"

struct json_object;

/* The row that stands for an accepted batch: it exists exactly if the batch was accepted, and every
 * result is written under the condition that it has not changed. So an owner that was replaced, or
 * that missed the end of the batch, can list nothing more. */
typedef struct
{
  LbName batch;
  LbName owner; /* instance that runs it; empty: given up, anyone may take it */
  LbName incarnation;
  int64_t epoch; /* one more with each owner */
  bool ended;
  int64_t n_items;
  LbName model;
  int64_t expected_tokens; /* that its texts are expected to have */
  /* Instance that shall run it, so that one instance runs all batches of a model and keeps its
   * connections to the engines; it takes the batch from the one that accepted it. */
  LbName preferred_instance;
  LbName organisation;           /* that it belongs to; empty: to nobody in particular */
  int64_t organisation_priority; /* when it was accepted; larger first */
  LbName host;                   /* of its route */
  char path[128];
} LcBatchHead;

struct json_object *lc_batch_head_to_json (const LcBatchHead *head);
bool lc_batch_head_from_json (struct json_object *object, LcBatchHead *head);

/* The instance that runs the batch, or shall. */
const char *lc_batch_head_assigned_instance (const LcBatchHead *head);
/* Whether a's instance rather than b's is where the next batch of their model goes. */
bool lc_batch_head_is_preferred_over (const LcBatchHead *a,
                                      int64_t version_a,
                                      const LcBatchHead *b,
                                      int64_t version_b);

#endif
