#include "lc-batch-head.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <string.h>

struct json_object *
lc_batch_head_to_json (const LcBatchHead *head)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "batch", json_object_new_string (head->batch));
  json_object_object_add (object, "owner", json_object_new_string (head->owner));
  json_object_object_add (object, "incarnation", json_object_new_string (head->incarnation));
  if (head->released_by[0])
    {
      json_object_object_add (object, "released_by", json_object_new_string (head->released_by));
      json_object_object_add (object, "released_ms", json_object_new_int64 (head->released_ms));
    }
  json_object_object_add (object, "epoch", json_object_new_int64 (head->epoch));
  json_object_object_add (object, "ended", json_object_new_boolean (head->ended));
  if (head->accepted_ms > 0)
    json_object_object_add (object, "accepted_ms", json_object_new_int64 (head->accepted_ms));
  if (head->ended_ms > 0)
    json_object_object_add (object, "ended_ms", json_object_new_int64 (head->ended_ms));
  json_object_object_add (object, "total", json_object_new_int64 (head->n_items));
  json_object_object_add (object, "model", json_object_new_string (head->model));
  if (head->has_step)
    json_object_object_add (object, "step", json_object_new_int64 (head->step));
  json_object_object_add (object, "tokens", json_object_new_int64 (head->expected_tokens));
  if (head->due_ms > 0)
    json_object_object_add (object, "due_ms", json_object_new_int64 (head->due_ms));
  json_object_object_add (object, "preferred", json_object_new_string (head->preferred_instance));
  if (head->organisation[0])
    {
      json_object_object_add (object, "organisation", json_object_new_string (head->organisation));
      json_object_object_add (object, "organisation_priority",
                              json_object_new_int64 (head->organisation_priority));
    }
  if (head->paces.n > 0)
    json_object_object_add (object, "paces", lc_engine_paces_to_json (&head->paces));
  json_object_object_add (object, "host", json_object_new_string (head->host));
  json_object_object_add (object, "path", json_object_new_string (head->path));
  return object;
}

bool
lc_batch_head_from_json (struct json_object *object, LcBatchHead *head)
{
  memset (head, 0, sizeof *head);
  LB_COPY (head->batch, lb_json_text (object, "batch", ""));
  LB_COPY (head->owner, lb_json_text (object, "owner", ""));
  LB_COPY (head->incarnation, lb_json_text (object, "incarnation", ""));
  LB_COPY (head->released_by, lb_json_text (object, "released_by", ""));
  head->released_ms = lb_json_int (object, "released_ms", 0);
  head->epoch = lb_json_int (object, "epoch", 0);
  head->ended = lb_json_bool (object, "ended", false);
  head->accepted_ms = lb_json_int (object, "accepted_ms", 0);
  head->ended_ms = lb_json_int (object, "ended_ms", 0);
  head->n_items = lb_json_int (object, "total", 0);
  LB_COPY (head->model, lb_json_text (object, "model", ""));
  int64_t step = lb_json_int (object, "step", -1);
  head->has_step = step >= 0;
  head->step = head->has_step ? step : 0;
  head->expected_tokens = lb_json_int (object, "tokens", 0);
  head->due_ms = lb_json_int (object, "due_ms", 0);
  LB_COPY (head->preferred_instance, lb_json_text (object, "preferred", ""));
  LB_COPY (head->organisation, lb_json_text (object, "organisation", ""));
  head->organisation_priority = lb_json_int (object, "organisation_priority", 0);
  LB_COPY (head->host, lb_json_text (object, "host", ""));
  LB_COPY (head->path, lb_json_text (object, "path", ""));
  lc_engine_paces_from_json (lb_json_member (object, "paces"), &head->paces);
  return head->batch[0] && head->epoch > 0 && head->n_items > 0;
}

const char *
lc_batch_head_assigned_instance (const LcBatchHead *head)
{
  bool has_first_owner_or_none = head->epoch == 1 || !head->owner[0];

  return has_first_owner_or_none && head->preferred_instance[0] ? head->preferred_instance
                                                                : head->owner;
}

/* A running batch takes precedence over an ended one even with an older row version, since the end
 * of a batch updates its row. By row version alone, the next batch went to the instance whose batch
 * had just ended. Two instances then ran the batches of one model in turn, and each held a
 * connection for every slot of every engine. */
bool
lc_batch_head_has_next_batch_priority_over (const LcBatchHead *a,
                                            int64_t row_version_a,
                                            const LcBatchHead *b,
                                            int64_t row_version_b)
{
  return a->ended != b->ended ? b->ended : row_version_a > row_version_b;
}

/* Instances of earlier versions of the program write rows without a due time. These rows come
 * first, since they are older than the others. */
int
lc_batch_head_compare_by_due_time (const LcBatchHead *a, const LcBatchHead *b)
{
  if (a->due_ms != b->due_ms)
    return a->due_ms < b->due_ms ? -1 : 1;
  return strcmp (a->batch, b->batch);
}
