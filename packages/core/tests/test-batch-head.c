#include "lc-batch-head.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

Test (batch_head, json_round_trip_keeps_all_fields)
{
  LcBatchHead head = { .epoch = 2,
                       .n_items = 64,
                       .expected_tokens = 900,
                       .ended = true,
                       .has_step = true,
                       .step = 7,
                       .accepted_ms = 1700000000123,
                       .ended_ms = 1700000004567 };
  LcBatchHead read;

  LB_COPY (head.batch, "b1");
  LB_COPY (head.owner, "a");
  LB_COPY (head.path, "/r/b1");
  LB_COPY (head.released_by, "b");
  head.released_ms = 5;
  head.due_ms = 9000;
  lc_engine_paces_add (&head.paces, "i-1", 0.02);
  struct json_object *object = lc_batch_head_to_json (&head);
  cr_assert (lc_batch_head_from_json (object, &read));
  cr_assert_eq (read.accepted_ms, head.accepted_ms);
  cr_assert_eq (read.ended_ms, head.ended_ms);
  cr_assert (read.has_step);
  cr_assert_eq (read.step, 7);
  struct json_object *again = lc_batch_head_to_json (&read);
  cr_assert_str_eq (json_object_to_json_string (again), json_object_to_json_string (object));
  json_object_put (again);
  json_object_put (object);
}

/* A truncated row or a row of another kind must not be read as a batch without items. */
Test (batch_head, row_without_required_fields_is_rejected)
{
  static const char *const texts[]
      = { "{}", "{\"batch\": \"b\", \"epoch\": 1, \"total\": 0}", "{\"batch\": 4, \"epoch\": 1}" };
  LcBatchHead head;

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      struct json_object *object = json_tokener_parse (texts[i]);
      cr_assert_not (lc_batch_head_from_json (object, &head), "row must be rejected: %s", texts[i]);
      json_object_put (object);
    }
}

/* A batch must run on its preferred instance until the batch changes its owner, and on the new
 * owner afterwards. */
Test (batch_head, batch_is_assigned_to_its_preferred_instance_until_the_owner_changes)
{
  LcBatchHead head = { .epoch = 1, .owner = "a", .preferred_instance = "b" };

  cr_assert_str_eq (lc_batch_head_assigned_instance (&head), "b");
  head.epoch = 2;
  cr_assert_str_eq (lc_batch_head_assigned_instance (&head), "a");
}

/* Several batches that one instance releases must be spread over several next owners, so a released
 * batch must count as assigned to the next owner that its row names. */
Test (batch_head, released_batch_is_assigned_to_the_named_next_owner)
{
  LcBatchHead head = { .epoch = 4, .preferred_instance = "b", .released_by = "a" };

  cr_assert_str_eq (lc_batch_head_assigned_instance (&head), "b");
  head.preferred_instance[0] = '\0';
  cr_assert_str_eq (lc_batch_head_assigned_instance (&head), "");
}

/* After an owner died, two steps of a model run on two instances. The end of the first step updates
 * its row. If the row with the highest version decided, the third step would join the first step's
 * instance and the fourth the second's, and both instances would keep connections to all engines.
 * So the third step must join the running second step. */
Test (batch_head, next_batch_joins_a_running_batch_rather_than_an_ended_one)
{
  const LcBatchHead ended = { .ended = true };
  const LcBatchHead running = { .ended = false };

  cr_assert (lc_batch_head_has_next_batch_priority_over (&running, 5, &ended, 9));
  cr_assert_not (lc_batch_head_has_next_batch_priority_over (&ended, 9, &running, 5));
  cr_assert (lc_batch_head_has_next_batch_priority_over (&running, 9, &running, 5));
  cr_assert (lc_batch_head_has_next_batch_priority_over (&ended, 9, &ended, 5));
}

/* After a loss of power of all instances, an instance claims several batches at once. A batch that
 * is due later must not be loaded before one that its trainer already waits for. */
Test (batch_head, batches_are_ordered_by_due_time)
{
  const LcBatchHead unknown = { .batch = "z" };
  const LcBatchHead early = { .batch = "y", .due_ms = 5 };
  const LcBatchHead late = { .batch = "a", .due_ms = 6 };
  const LcBatchHead late_too = { .batch = "b", .due_ms = 6 };

  cr_assert_lt (lc_batch_head_compare_by_due_time (&unknown, &early), 0);
  cr_assert_lt (lc_batch_head_compare_by_due_time (&early, &late), 0);
  cr_assert_gt (lc_batch_head_compare_by_due_time (&late, &early), 0);
  cr_assert_lt (lc_batch_head_compare_by_due_time (&late, &late_too), 0);
}

/* Step 0 must not be stored as a step without a number, nor a negative number as a step. */
Test (batch_head, step_zero_differs_from_no_step)
{
  LcBatchHead head = { .batch = "b", .epoch = 1, .n_items = 1, .has_step = true };
  LcBatchHead read;

  for (int i = 0; i < 3; i++)
    {
      struct json_object *object = lc_batch_head_to_json (&head);
      if (i == 2)
        json_object_object_add (object, "step", json_object_new_int64 (-3));
      cr_assert (lc_batch_head_from_json (object, &read));
      cr_assert_eq (read.has_step, i == 0);
      json_object_put (object);
      head.has_step = false;
    }
}

/* During an upgrade, instances of the previous build read and write the same rows. A row without
 * the newer fields must be read as one that tells neither who released the batch nor when it is
 * due. */
Test (batch_head, row_of_the_previous_build_is_read)
{
  struct json_object *object = json_tokener_parse (
      "{\"batch\": \"b1\", \"owner\": \"\", \"incarnation\": \"\", \"epoch\": 2, \"ended\": false,"
      " \"total\": 8, \"model\": \"m\", \"tokens\": 9, \"preferred\": \"a\", \"host\": \"h\", "
      "\"path\": \"/\"}");
  LcBatchHead head;

  cr_assert (lc_batch_head_from_json (object, &head));
  cr_assert_str_eq (head.released_by, "");
  cr_assert_eq (head.released_ms, 0);
  cr_assert_eq (head.due_ms, 0);
  cr_assert_not (head.has_step, "a missing step must not be read as step 0");
  json_object_put (object);
}
