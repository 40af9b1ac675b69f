#include "lc-batch-head.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

static const LbName instances[] = { "a", "b", "c", "d" };

Test (batch_head, says_the_same_after_a_round_trip)
{
  LcBatchHead head = { .epoch = 2, .total = 64, .tokens = 900, .ended = true };
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

/* All instances miss the owner at the same moment; each waits for its turn, and exactly one of them
 * is the first. */
Test (batch_head, candidates_have_an_order_of_their_own_for_each_batch)
{
  bool seen[4] = { false };

  for (size_t i = 0; i < 4; i++)
    seen[lc_batch_head_rank ("b1", instances[i], instances, 4)] = true;
  for (size_t i = 0; i < 4; i++)
    cr_assert (seen[i]);
}

Test (batch_head, the_batches_of_a_model_go_to_one_instance)
{
  const LbName others[] = { "d", "b", "a", "c" };
  const char *chosen = lc_batch_head_choose ("reader", "", instances, 4);

  cr_assert_str_eq (lc_batch_head_choose ("reader", "", others, 4), chosen);
  cr_assert_str_eq (lc_batch_head_choose ("reader", "", instances, 0), "");
}

/* The instance that ran a model's batches is away for a moment, another one takes them. When it is
 * back they went back to it, and it opened a connection for each place of each engine anew. They
 * stay where they are as long as that instance is a candidate. */
Test (batch_head, the_next_batch_stays_where_the_last_one_went)
{
  for (size_t i = 0; i < 4; i++)
    cr_assert_str_eq (lc_batch_head_choose ("reader", instances[i], instances, 4), instances[i]);
  cr_assert_str_eq (lc_batch_head_choose ("reader", "gone", instances, 4),
                    lc_batch_head_choose ("reader", "", instances, 4));
}

/* A batch that was offered a moment ago goes to the one it was offered to; one that changed its
 * owner is where that one is. */
Test (batch_head, the_runner_is_who_was_offered_it_until_another_takes_it)
{
  LcBatchHead head = { .epoch = 1, .owner = "a", .preferred = "b" };

  cr_assert_str_eq (lc_batch_head_runner (&head), "b");
  head.epoch = 2;
  cr_assert_str_eq (lc_batch_head_runner (&head), "a");
}

/* Two steps of a model run on two instances, since an owner died. The first one ends, which writes
 * its row anew; the third step must join the second. It went to the first one's instance, the
 * fourth to the second one's, and both kept connections to all engines for good. */
Test (batch_head, the_next_batch_joins_what_runs_rather_than_what_ended_last)
{
  const LcBatchHead ended = { .ended = true };
  const LcBatchHead runs = { .ended = false };

  cr_assert (lc_batch_head_is_later (&runs, 5, &ended, 9));
  cr_assert_not (lc_batch_head_is_later (&ended, 9, &runs, 5));
  cr_assert (lc_batch_head_is_later (&runs, 9, &runs, 5));
  cr_assert (lc_batch_head_is_later (&ended, 9, &ended, 5));
}
