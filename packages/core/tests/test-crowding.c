#include "lc-utilisation.h"

#include <criterion/criterion.h>

/* Guards against a subset that grows for a burst at one endpoint, or not at all under load. */
Test (crowding, names_the_service_whose_endpoints_are_full)
{
  LcUtilisation *crowding = lc_utilisation_new ();

  lc_utilisation_add_report (crowding, "a", 12, 6);
  lc_utilisation_add_report (crowding, "b", 1, 6);
  cr_assert_str_eq (lc_utilisation_find_overloaded_service (crowding), "");
  for (int i = 0; i < 100; i++)
    {
      lc_utilisation_add_report (crowding, "a", 5, 6);
      lc_utilisation_add_report (crowding, "b", 1, 6);
    }
  cr_assert_str_eq (lc_utilisation_find_overloaded_service (crowding), "a");
  for (int i = 0; i < 100; i++)
    lc_utilisation_add_report (crowding, "a", 2, 6);
  cr_assert_str_eq (lc_utilisation_find_overloaded_service (crowding), "");
  lc_utilisation_free (crowding);
}
