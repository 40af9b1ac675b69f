#include "lc-batch-head.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

Test (batch_head, says_the_same_after_a_round_trip)
{
  LcBatchHead head = { .epoch = 2, .n_items = 64, .expected_tokens = 900, .ended = true };
  LcBatchHead read;

  LB_COPY (head.batch, "b1");
  LB_COPY (head.owner, "a");
  LB_COPY (head.path, "/r/b1");
  struct json_object *object = lc_batch_head_to_json (&head);
  cr_assert (lc_batch_head_from_json (object, &read));
  struct json_object *again = lc_batch_head_to_json (&read);
  cr_assert_str_eq (json_object_to_json_string (again), json_object_to_json_string (object));
  json_object_put (again);
  json_object_put (object);
}

/* A row that somebody else wrote, or half of one, must not become a batch without items. */
Test (batch_head, nonsense_is_no_row)
{
  static const char *const texts[]
      = { "{}", "{\"batch\": \"b\", \"epoch\": 1, \"total\": 0}", "{\"batch\": 4, \"epoch\": 1}" };
  LcBatchHead head;

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      struct json_object *object = json_tokener_parse (texts[i]);
      cr_assert_not (lc_batch_head_from_json (object, &head), "%s", texts[i]);
      json_object_put (object);
    }
}

/* A batch that was offered a moment ago goes to the one it was offered to; one that changed its
 * owner is where that one is. */
Test (batch_head, the_runner_is_who_was_offered_it_until_another_takes_it)
{
  LcBatchHead head = { .epoch = 1, .owner = "a", .preferred_instance = "b" };

  cr_assert_str_eq (lc_batch_head_assigned_instance (&head), "b");
  head.epoch = 2;
  cr_assert_str_eq (lc_batch_head_assigned_instance (&head), "a");
}

/* Two steps of a model run on two instances, since an owner died. The first one ends, which writes
 * its row anew; the third step must join the second. It went to the first one's instance, the
 * fourth to the second one's, and both kept connections to all engines for good. */
Test (batch_head, the_next_batch_joins_what_runs_rather_than_what_ended_last)
{
  const LcBatchHead ended = { .ended = true };
  const LcBatchHead runs = { .ended = false };

  cr_assert (lc_batch_head_is_preferred_over (&runs, 5, &ended, 9));
  cr_assert_not (lc_batch_head_is_preferred_over (&ended, 9, &runs, 5));
  cr_assert (lc_batch_head_is_preferred_over (&runs, 9, &runs, 5));
  cr_assert (lc_batch_head_is_preferred_over (&ended, 9, &ended, 5));
}
