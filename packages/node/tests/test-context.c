#include "ln-context.h"

#include <criterion/criterion.h>
#include <string.h>

/* Two instances that split the calls of one route by weight send them in step, so that one service
 * gets bursts, when both draw the same numbers. */
Test (context, instances_draw_differently)
{
  LnSettings settings = { .seed = 1 };
  LnContext a = { .settings = &settings, .instance = "a" };
  LnContext b = { .settings = &settings, .instance = "b" };
  int same = 0;

  for (int i = 0; i < 1000; i++)
    {
      double first = ln_context_random_uniform (&a);
      double second = ln_context_random_uniform (&b);
      cr_assert (first >= 0 && first < 1);
      same += first == second;
    }
  cr_assert_lt (same, 10);
  ln_context_clear (&a);
  ln_context_clear (&b);
}
