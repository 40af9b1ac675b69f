#include "lb-switch.h"

#include <criterion/criterion.h>
#include <string.h>

Test (switches, optimisations_are_on_until_disabled_by_name)
{
  for (int i = 0; i < LB_N_SWITCHES; i++)
    cr_assert (lb_switch_is_on ((LbSwitch)i));
  lb_switch_disable_optimisation ("moves");
  cr_assert_not (lb_switch_is_on (LB_SWITCH_MOVES));
  cr_assert (lb_switch_is_on (LB_SWITCH_HEDGING));
  lb_switch_enable_all_optimisations ();
  cr_assert (lb_switch_is_on (LB_SWITCH_MOVES));
}

Test (switches, each_optimisation_has_a_unique_name)
{
  for (int i = 0; i < LB_N_SWITCHES; i++)
    for (int j = 0; j < i; j++)
      cr_assert_str_neq (lb_switch_name ((LbSwitch)i), lb_switch_name ((LbSwitch)j));
  cr_assert_not (lb_switch_is_known ("no-such-mechanism"));
}
