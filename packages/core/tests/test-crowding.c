#include "lc-utilisation.h"

#include <criterion/criterion.h>

/* Guards against a subset of endpoints that grows after a short burst of requests, or does not grow
 * under sustained load. */
Test (utilisation, service_with_sustained_high_utilisation_is_found)
{
  LcUtilisation *utilisation = lc_utilisation_new ();

  lc_utilisation_add_report (utilisation, "a", 12, 6);
  lc_utilisation_add_report (utilisation, "b", 1, 6);
  cr_assert_str_eq (lc_utilisation_find_overloaded_service (utilisation), "");
  for (int i = 0; i < 100; i++)
    {
      lc_utilisation_add_report (utilisation, "a", 5, 6);
      lc_utilisation_add_report (utilisation, "b", 1, 6);
    }
  cr_assert_str_eq (lc_utilisation_find_overloaded_service (utilisation), "a");
  for (int i = 0; i < 100; i++)
    lc_utilisation_add_report (utilisation, "a", 2, 6);
  cr_assert_str_eq (lc_utilisation_find_overloaded_service (utilisation), "");
  lc_utilisation_free (utilisation);
}
