#include "lc-endpoints.h"
#include "lc-router.h"

#include <criterion/criterion.h>
#include <string.h>

static LcEndpoints *
table_of_two (void)
{
  LcEndpointMember members[2] = {
    { .name = "e1", .kind = LC_ENDPOINT_ENGINE, .pool = "reader", .concurrency = 4 },
    { .name = "e2", .kind = LC_ENDPOINT_ENGINE, .pool = "reader", .concurrency = 4 },
  };
  LcResourceSet set = { .endpoints = members, .n_endpoints = 2 };
  LcEndpoints *endpoints = lc_endpoints_new ();

  lc_endpoints_configure (endpoints, &set, 0);
  return endpoints;
}

static LcLoadReport
report_of (const char *incarnation, LcVersion version, LbTime at)
{
  LcLoadReport report = { .version = version, .at = at };

  strcpy (report.incarnation, incarnation);
  return report;
}

/* An operator sees new work go to an endpoint that said it was leaving: its own reply said so, then
 * a load report that it measured earlier arrives late and says that it serves. The cause is a view
 * that is older than the word "leaving" being believed. */
Test (endpoints, a_late_report_does_not_bring_a_leaving_endpoint_back)
{
  LcEndpoints *endpoints = table_of_two ();
  LcLoadReport report = report_of ("a", 1, 10);

  lc_endpoints_report (endpoints, "e1", &report, 11);
  cr_assert (lc_endpoints_leaving (endpoints, "e1", "", LC_LEAVING_ENDPOINT, 12));
  lc_endpoints_report (endpoints, "e1", &report, 13);
  cr_assert_not (lc_endpoint_may_take (lc_endpoints_find (endpoints, "e1"), LC_KIND_LIVE, 0, 14));

  report = report_of ("b", 1, 20);
  lc_endpoints_report (endpoints, "e1", &report, 21);
  cr_assert (lc_endpoint_may_take (lc_endpoints_find (endpoints, "e1"), LC_KIND_LIVE, 0, 22));
  lc_endpoints_free (endpoints);
}

Test (router, every_policy_places_a_request)
{
  LcRouteQuery query = { .kind = LC_KIND_LIVE, .pool = "reader", .data_centre = "" };

  for (const char *const *name = lc_router_policies (); *name; name++)
    {
      LcEndpoints *endpoints = table_of_two ();
      LcRouter *router = lc_router_new (*name, 1);
      LcRouteDecision decision = lc_router_choose (router, endpoints, &query, 1);

      cr_assert_not_null (decision.endpoint, "%s", *name);
      cr_assert_eq (decision.n_candidates, 2);
      lc_router_free (router);
      lc_endpoints_free (endpoints);
    }
}
