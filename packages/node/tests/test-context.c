#include "ln-context.h"

#include <criterion/criterion.h>
#include <string.h>

/* Guards against bursts at one service: instances that split a route's calls by weight would choose
 * the same service at the same time if their random numbers were equal. */
Test (context, random_numbers_differ_between_instances)
{
  LnSettings settings = { .seed = 1 };
  LnContext a = { .settings = &settings, .instance = "a" };
  LnContext b = { .settings = &settings, .instance = "b" };
  int n_equal = 0;

  for (int i = 0; i < 1000; i++)
    {
      double first = ln_context_random_uniform (&a);
      double second = ln_context_random_uniform (&b);
      cr_assert (first >= 0 && first < 1);
      n_equal += first == second;
    }
  cr_assert_lt (n_equal, 10);
  ln_context_clear (&a);
  ln_context_clear (&b);
}
