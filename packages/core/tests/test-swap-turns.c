#include "lc-swap-turns.h"

#include <criterion/criterion.h>

static LcSwapCandidate
candidate (size_t engines, size_t usable, size_t done, size_t swapping)
{
  return (LcSwapCandidate){
    .status
    = { .target = 5, .engines = engines, .usable = usable, .on_target = done, .swapping = swapping }
  };
}

/* After a fault one trainer catches up, with a version every two seconds, and the few loads that go
 * at full speed together are shared evenly: its engines fall two versions behind and its steps find
 * nobody, while the other trainer's engines are all up to date. */
Test (swap_turns, the_model_with_the_fewest_usable_engines_is_next)
{
  const LcSwapCandidate candidates[] = { candidate (5, 5, 3, 0), candidate (5, 1, 0, 0) };

  cr_assert_eq (lc_swap_turns_choose_model (candidates, 2), 1);
}

Test (swap_turns, among_equals_the_one_with_the_fewest_new_weights_is_next)
{
  const LcSwapCandidate candidates[] = { candidate (5, 5, 3, 0), candidate (5, 5, 1, 0) };

  cr_assert_eq (lc_swap_turns_choose_model (candidates, 2), 1);
}

/* Two trainers name weights a second apart, each with engines that its next step can still use. All
 * loads went to the first one's engines; the other's next step came before any of its engines was
 * ready, and its texts waited for a whole load. */
Test (swap_turns, equal_models_take_turns)
{
  const LcSwapCandidate candidates[] = { candidate (8, 6, 0, 2), candidate (8, 8, 0, 0) };

  cr_assert_eq (lc_swap_turns_choose_model (candidates, 2), 1);
}

Test (swap_turns, nobody_is_next_when_all_have_or_load_the_newest)
{
  LcSwapCandidate candidates[] = { candidate (5, 5, 4, 1), candidate (5, 2, 1, 0) };

  candidates[1].blocked = true;
  cr_assert_eq (lc_swap_turns_choose_model (candidates, 2), 2);
}

/* One of nine engines is taken away. Were the share rounded down, one engine would load at a time
 * in place of two: nine loads took 9 s for versions that come every 4 s, and the texts of a step
 * waited 6 s for the first engine with weights that were new enough. */
Test (swap_turns, a_fifth_of_the_engines_loads_at_once_rounded_up)
{
  cr_assert_eq (lc_swap_turns_max_loads (9), 2);
  cr_assert_eq (lc_swap_turns_max_loads (8), 2);
  cr_assert_eq (lc_swap_turns_max_loads (38), 8);
  cr_assert_eq (lc_swap_turns_max_loads (44), 9);
  cr_assert_eq (lc_swap_turns_max_loads (5), 1);
  cr_assert_eq (lc_swap_turns_max_loads (1), 1);
  cr_assert_eq (lc_swap_turns_max_loads (0), 0);
}
