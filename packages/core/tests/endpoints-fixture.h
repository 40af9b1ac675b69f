#ifndef ENDPOINTS_FIXTURE_H
#define ENDPOINTS_FIXTURE_H

#include "lc-router.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define FIXTURE_MAX_ENDPOINTS 32

/* Engines e0, e1, ... of pool "reader", each sized for 8 concurrent requests. */
typedef struct
{
  LcEndpointMember members[FIXTURE_MAX_ENDPOINTS];
  LcResourceSet set;
  LcEndpoints *endpoints;
} Fixture;

static inline void
fixture_apply_endpoint_set (Fixture *f, LbTime now)
{
  lc_endpoints_configure (f->endpoints, &f->set, now);
}

/* Records the first load report of each engine, without an incarnation. */
static inline void
fixture_record_first_load_reports (Fixture *f)
{
  LcLoadReport report = { .version = 1 };

  for (size_t i = 0; i < f->set.n_endpoints; i++)
    lc_endpoints_record_load_report (f->endpoints, f->members[i].name, &report, 0);
}

static inline void
fixture_init (Fixture *f, size_t n)
{
  memset (f, 0, sizeof *f);
  for (size_t i = 0; i < n; i++)
    {
      LcEndpointMember *member = &f->members[i];

      snprintf (member->name, sizeof member->name, "e%zu", i);
      strcpy (member->pool, "reader");
      strcpy (member->data_centre, "hall-a");
      member->concurrency = 8;
    }
  f->set.endpoints = f->members;
  f->set.n_endpoints = n;
  f->endpoints = lc_endpoints_new ();
  fixture_apply_endpoint_set (f, 0);
  fixture_record_first_load_reports (f);
}

static inline void
fixture_clear (Fixture *f)
{
  lc_endpoints_free (f->endpoints);
}

static inline LcEndpoint *
fixture_find_endpoint (Fixture *f, const char *name)
{
  LcEndpoint *endpoint = lc_endpoints_find (f->endpoints, name);

  cr_assert_not_null (endpoint, "endpoint %s not found", name);
  return endpoint;
}

static inline bool
fixture_can_endpoint_accept_live_call (Fixture *f, const char *name, LbTime now)
{
  return lc_endpoint_can_accept (fixture_find_endpoint (f, name), LC_KIND_LIVE, 0, now);
}

/* Records and returns a load report that is measured and received at the time `at`. */
static inline LcLoadReport
fixture_record_load_report (
    Fixture *f, const char *name, const char *incarnation, LcVersion version, LbTime at)
{
  LcLoadReport report = { .version = version, .measured_at = at };

  strcpy (report.incarnation, incarnation);
  lc_endpoints_record_load_report (f->endpoints, name, &report, at);
  return report;
}

static inline LcRouteQuery
fixture_make_route_query (void)
{
  return (LcRouteQuery){ .kind = LC_KIND_LIVE,
                         .pool = "reader",
                         .data_centre = "hall-a",
                         .prompt_tokens = 800,
                         .expected_tokens = 100 };
}

#endif
