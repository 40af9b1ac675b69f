#include "lc-swap-turns.h"

#include <criterion/criterion.h>

static LcSwapCandidate
make_swap_candidate (size_t engines, size_t usable, size_t on_target, size_t swapping)
{
  return (LcSwapCandidate){ .status = { .target = 5,
                                        .engines = engines,
                                        .usable = usable,
                                        .on_target = on_target,
                                        .swapping = swapping } };
}

/* A trainer that catches up after a fault publishes a weight version every two seconds. If weight
 * loads were divided evenly between the models, the engines of this trainer's model would fall two
 * versions behind and its steps would find no usable engine, while the engines of the other
 * trainer's model are all up to date. */
Test (swap_turns, model_with_fewest_usable_engines_is_chosen)
{
  const LcSwapCandidate candidates[]
      = { make_swap_candidate (5, 5, 3, 0), make_swap_candidate (5, 1, 0, 0) };

  cr_assert_eq (lc_swap_turns_choose_model (candidates, 2), 1);
}

Test (swap_turns, tie_is_broken_by_fewest_engines_on_target)
{
  const LcSwapCandidate candidates[]
      = { make_swap_candidate (5, 5, 3, 0), make_swap_candidate (5, 5, 1, 0) };

  cr_assert_eq (lc_swap_turns_choose_model (candidates, 2), 1);
}

/* Two trainers publish weights one second apart. If weight loads in progress were not counted, all
 * loads would go to engines of the first trainer's model, and the next step of the second trainer
 * would wait for the duration of a whole load. */
Test (swap_turns, loads_in_progress_count_as_usable_engines)
{
  const LcSwapCandidate candidates[]
      = { make_swap_candidate (8, 6, 0, 2), make_swap_candidate (8, 8, 0, 0) };

  cr_assert_eq (lc_swap_turns_choose_model (candidates, 2), 1);
}

Test (swap_turns, no_model_is_chosen_if_none_needs_a_load)
{
  LcSwapCandidate candidates[]
      = { make_swap_candidate (5, 5, 4, 1), make_swap_candidate (5, 2, 1, 0) };

  candidates[1].blocked = true;
  cr_assert_eq (lc_swap_turns_choose_model (candidates, 2), 2);
}

/* One fifth of the engines may load weights at the same time. If this limit were rounded down, only
 * one of nine engines would load at a time. Nine loads took 9 s with a new version every 4 s, and a
 * step waited 6 s for the first engine with usable weights. */
Test (swap_turns, one_fifth_of_the_engines_may_load_rounded_up)
{
  cr_assert_eq (lc_swap_turns_max_concurrent_loads (9), 2);
  cr_assert_eq (lc_swap_turns_max_concurrent_loads (8), 2);
  cr_assert_eq (lc_swap_turns_max_concurrent_loads (38), 8);
  cr_assert_eq (lc_swap_turns_max_concurrent_loads (44), 9);
  cr_assert_eq (lc_swap_turns_max_concurrent_loads (5), 1);
  cr_assert_eq (lc_swap_turns_max_concurrent_loads (1), 1);
  cr_assert_eq (lc_swap_turns_max_concurrent_loads (0), 0);
}
