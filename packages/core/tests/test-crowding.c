#include "lc-crowding.h"

#include <criterion/criterion.h>

/* Guards against a subset that grows for a burst at one endpoint, or not at all under load. */
Test (crowding, names_the_service_whose_endpoints_are_full)
{
  LcCrowding *crowding = lc_crowding_new ();

  lc_crowding_note (crowding, "a", 12, 6);
  lc_crowding_note (crowding, "b", 1, 6);
  cr_assert_str_eq (lc_crowding_service (crowding), "");
  for (int i = 0; i < 100; i++)
    {
      lc_crowding_note (crowding, "a", 5, 6);
      lc_crowding_note (crowding, "b", 1, 6);
    }
  cr_assert_str_eq (lc_crowding_service (crowding), "a");
  for (int i = 0; i < 100; i++)
    lc_crowding_note (crowding, "a", 2, 6);
  cr_assert_str_eq (lc_crowding_service (crowding), "");
  lc_crowding_free (crowding);
}
