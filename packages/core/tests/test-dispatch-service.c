#include "dispatch-fixture.h"

static const LcDispatchSettings settings = { .max_report_age = LB_TIME_NEVER,
                                             .queue_limit = 100,
                                             .retry_budget = 1,
                                             .hedge_after = LB_SEC,
                                             .seed = 1 };

/* Creates a dispatch whose engines e1 and e2 belong to service "a" and e3 and e4 to service "b";
 * all hold the model of the pool "reader" and run two requests at once. */
static void
fixture_init_with_two_services (Fixture *f)
{
  fixture_init (f, &settings, 0, 2);
  for (int i = 1; i <= 4; i++)
    {
      char name[8];

      snprintf (name, sizeof name, "e%d", i);
      fixture_add_endpoint (f, name, LC_ENDPOINT_ENGINE, "reader", 2);
      LB_COPY (f->members[f->set.n_endpoints - 1].service, i <= 2 ? "a" : "b");
    }
  fixture_apply_endpoint_set (f);
  fixture_free_pending_actions (f);
}

static LcRequestSpec
make_sample_of_service (Fixture *f, const char *service)
{
  LcRequestSpec spec = fixture_make_request_spec (f, LC_KIND_SAMPLE);

  spec.delivery = LC_DELIVER_STREAM;
  LB_COPY (spec.service, service);
  return spec;
}

static bool
is_engine_of_service_b (const char *name)
{
  return strcmp (name, "e3") == 0 || strcmp (name, "e4") == 0;
}

/* Engines of another service hold the same model and are idle. First attempts, retries and hedges
 * must use only engines of the request's own service. */
Test (service, every_attempt_is_at_the_service_of_the_request)
{
  Fixture f;

  fixture_init_with_two_services (&f);
  for (int i = 0; i < 4; i++)
    {
      LcRequestSpec spec = make_sample_of_service (&f, "b");
      spec.hedge_after = LB_SEC;
      cr_assert (fixture_submit_request (&f, &spec));
    }
  fixture_end_attempt (&f, 1, 1, LC_END_BROKEN);
  fixture_end_attempt (&f, 2, 1, LC_END_REFUSED);
  for (int i = 0; i < 50; i++)
    fixture_tick_dispatch_at (&f, f.now + 100 * LB_MSEC);
  int n_sent = 0;
  LB_LIST_FOREACH (&f.actions, LcAction, link, action)
  {
    if (action->type != LC_ACTION_SEND)
      continue;
    n_sent++;
    cr_assert (is_engine_of_service_b (action->endpoint), "attempt %u of request %lu is at %s",
               action->attempt, (unsigned long)action->request, action->endpoint);
  }
  cr_assert_geq (n_sent, 6);
  fixture_clear (&f);
}

/* A move names a free engine of another service. The request must not be sent there. */
Test (service, a_preferred_engine_of_another_service_is_not_used)
{
  Fixture f;

  fixture_init_with_two_services (&f);

  LcRequestSpec spec = make_sample_of_service (&f, "b");

  LB_COPY (spec.preferred_endpoint, "e1");
  cr_assert (fixture_submit_request (&f, &spec));
  cr_assert (is_engine_of_service_b (
      fixture_expect_action_of_request (&f, LC_ACTION_SEND, spec.id).endpoint));
  fixture_clear (&f);
}

/* All engines of one service are busy, and fifty of its requests wait. A request of the other
 * service must be sent at once. */
Test (service, a_full_service_does_not_delay_another)
{
  Fixture f;

  fixture_init_with_two_services (&f);
  for (int i = 0; i < 54; i++)
    {
      LcRequestSpec spec = make_sample_of_service (&f, "a");
      cr_assert (fixture_submit_request (&f, &spec));
    }

  LcRequestSpec other = make_sample_of_service (&f, "b");

  cr_assert (fixture_submit_request (&f, &other));
  cr_assert (is_engine_of_service_b (
      fixture_expect_action_of_request (&f, LC_ACTION_SEND, other.id).endpoint));
  fixture_clear (&f);
}

/* No engine of the request's service is known. The request must fail as not run instead of running
 * at a service to which its route does not lead. */
Test (service, a_service_without_engines_is_unknown)
{
  Fixture f;

  fixture_init_with_two_services (&f);

  LcRequestSpec spec = make_sample_of_service (&f, "c");

  cr_assert_not (fixture_submit_request (&f, &spec));
  cr_assert_eq (f.error.code, LB_ERROR_UNKNOWN_POOL);
  fixture_clear (&f);
}
