#ifndef LC_BATCH_HEAD_H
#define LC_BATCH_HEAD_H

#include "lc-types.h"

struct json_object;

/* Stored record of a batch; it exists if and only if the batch was accepted. Every result is
 * written on the condition that this row has not changed, so that an owner that was replaced, or
 * that missed the end of the batch, cannot list anything more. */
typedef struct
{
  LbName batch;
  LbName owner; /* instance that runs the batch; empty: released, any instance may take it over */
  LbName incarnation;
  int64_t epoch; /* fencing number: incremented with each change of owner */
  bool ended;
  int64_t n_items;
  LbName model;
  int64_t expected_tokens; /* expected length of all its texts together */
  /* Instance that should take the batch over from the one that accepted it. One instance runs all
   * batches of a model, so that it keeps its connections to the engines. */
  LbName preferred_instance;
  LbName organisation;           /* the batch belongs to it; empty: none */
  int64_t organisation_priority; /* its priority when the batch was accepted; larger first */
  LbName host;                   /* host of the batch's route */
  char path[128];
} LcBatchHead;

struct json_object *lc_batch_head_to_json (const LcBatchHead *head);
bool lc_batch_head_from_json (struct json_object *object, LcBatchHead *head);

/* The preferred instance while the batch has its first owner, and the owner after that. */
const char *lc_batch_head_assigned_instance (const LcBatchHead *head);
/* Whether the next batch of a model goes to the instance of batch a rather than to that of b. */
bool lc_batch_head_is_preferred_over (const LcBatchHead *a,
                                      int64_t version_a,
                                      const LcBatchHead *b,
                                      int64_t version_b);

#endif
