#include "endpoints-fixture.h"

static LcRouteDecision
choose_endpoint_with_router (LcRouter *router, Fixture *f, const LcRouteQuery *query, LbTime now)
{
  return lc_router_choose_endpoint (router, f->endpoints, query, now);
}

/* Calls the function `check` once for each routing policy, each time with a new router. */
static void
run_check_for_each_policy (void (*check) (LcRouter *router, const char *policy))
{
  for (const char *const *name = lc_router_policy_names (); *name; name++)
    {
      LcRouter *router = lc_router_new (*name, 7);

      cr_assert_not_null (router, "the policy %s does not exist", *name);
      cr_assert_str_eq (router->klass->name, *name);
      check (router, *name);
      lc_router_free (router);
    }
}

static void
check_unusable_endpoints_are_filtered (LcRouter *router, const char *policy)
{
  LcRouteQuery query = fixture_make_route_query ();
  Fixture f;

  fixture_init (&f, 5);
  for (int i = 0; i < 5; i++)
    fixture_record_load_report (&f, f.members[i].name, "a", i == 3 ? 1 : 2, 1);
  lc_endpoints_mark_leaving (f.endpoints, "e1", "a", LC_LEAVING_PEER, 2);
  strcpy (query.avoid[0], "e2");
  query.n_avoid = 1;
  query.min_version = 2;
  for (int i = 0; i < 7; i++)
    lc_endpoint_request_sent (fixture_find_endpoint (&f, "e4"), LC_KIND_SAMPLE, 0, 2);
  query.live_reserve = 0.5;
  query.kind = LC_KIND_SAMPLE;
  for (int i = 0; i < 20; i++)
    {
      LcRouteDecision decision = choose_endpoint_with_router (router, &f, &query, 3);

      cr_assert_eq (decision.n_candidates, 1, "policy %s: expected one candidate", policy);
      cr_assert_str_eq (decision.endpoint->member.name, "e0", "policy %s: expected endpoint e0",
                        policy);
    }
  fixture_clear (&f);
}

/* No policy may choose an endpoint that is leaving, avoided or full, or that has outdated weights.
 * Policies can be compared only if all of them use the same filters. */
Test (router, all_policies_filter_the_same_endpoints)
{
  run_check_for_each_policy (check_unusable_endpoints_are_filtered);
}

static void
expect_no_endpoint_with_reason (LcRouter *router,
                                Fixture *f,
                                const LcRouteQuery *query,
                                const char *reason)
{
  LcRouteDecision decision = choose_endpoint_with_router (router, f, query, 10);

  cr_assert_null (decision.endpoint);
  cr_assert_str_eq (decision.reason, reason);
}

static void
check_reasons_of_empty_decisions (LcRouter *router, const char *policy)
{
  LcRouteQuery query = fixture_make_route_query ();
  Fixture f;

  (void)policy;
  fixture_init (&f, 2);
  query.pool = "other";
  expect_no_endpoint_with_reason (router, &f, &query, "no-endpoint");
  query.pool = "reader";
  query.min_version = 5;
  expect_no_endpoint_with_reason (router, &f, &query, "too-old");
  query.min_version = 0;
  query.n_avoid = 2;
  strcpy (query.avoid[0], "e0");
  strcpy (query.avoid[1], "e1");
  expect_no_endpoint_with_reason (router, &f, &query, "all-avoided");
  query.n_avoid = 0;
  for (int i = 0; i < 8; i++)
    {
      lc_endpoint_request_sent (fixture_find_endpoint (&f, "e0"), LC_KIND_LIVE, 0, 1);
      lc_endpoint_request_sent (fixture_find_endpoint (&f, "e1"), LC_KIND_LIVE, 0, 1);
    }
  expect_no_endpoint_with_reason (router, &f, &query, "no-capacity");
  lc_endpoints_mark_leaving (f.endpoints, "e0", "", LC_LEAVING_ENDPOINT, 2);
  lc_endpoints_mark_leaving (f.endpoints, "e1", "", LC_LEAVING_ENDPOINT, 2);
  expect_no_endpoint_with_reason (router, &f, &query, "all-leaving");
  fixture_clear (&f);
}

Test (router, empty_decision_states_the_reason)
{
  run_check_for_each_policy (check_reasons_of_empty_decisions);
}

Test (router, unknown_policy_is_refused_and_empty_name_selects_default)
{
  LcRouter *router = lc_router_new ("", 1);

  cr_assert_null (lc_router_new ("best", 1));
  cr_assert_str_eq (router->klass->name, "lentilspindle");
  lc_router_free (router);
}

/* All instances see the same report: e0 is nearly idle, the nine other engines are half full. If
 * every instance chose e0, e0 would be the fullest by the next report, and all instances would then
 * choose another engine (herding). */
Test (finish_time, instances_with_the_same_report_spread_their_requests)
{
  int n_at_e0 = 0;

  for (uint64_t instance = 0; instance < 100; instance++)
    {
      LcRouter *router = lc_router_new ("lentilspindle", instance + 1);
      LcRouteQuery query = fixture_make_route_query ();
      Fixture f;

      fixture_init (&f, 10);
      for (int i = 0; i < 10; i++)
        {
          LcLoadReport report = {
            .incarnation = "a", .version = 1, .running = i == 0 ? 1 : 4, .measured_at = LB_SEC
          };

          lc_endpoints_record_load_report (f.endpoints, f.members[i].name, &report, 2 * LB_SEC);
        }
      n_at_e0
          += strcmp (
                 choose_endpoint_with_router (router, &f, &query, 2 * LB_SEC).endpoint->member.name,
                 "e0")
             == 0;
      lc_router_free (router);
      fixture_clear (&f);
    }
  cr_assert_gt (n_at_e0, 100 / 10,
                "the emptiest engine got at most 10 of 100 requests, expected 11 to 49");
  cr_assert_lt (n_at_e0, 50,
                "the emptiest engine got 50 or more of 100 requests, expected 11 to 49");
}

static const char *
choose_engine_for_prefix (Fixture *f, uint64_t prefix, LbTime now)
{
  LcRouter *router = lc_router_new ("lentilspindle", 3);
  LcRouteQuery query = fixture_make_route_query ();

  query.prefix_hashes = &prefix;
  query.n_prefix_hashes = 1;

  const char *name = choose_endpoint_with_router (router, f, &query, now).endpoint->member.name;

  lc_router_free (router);
  return name;
}

Test (finish_time, engine_with_cached_prompt_is_preferred_unless_much_fuller)
{
  Fixture f;

  fixture_init (&f, 4);
  for (int i = 0; i < 4; i++)
    fixture_record_load_report (&f, f.members[i].name, "a", 1, 1);
  lc_endpoints_apply_cache_event (f.endpoints, "e2", 1, true, 77, 2);
  cr_assert_str_eq (choose_engine_for_prefix (&f, 77, 3), "e2");
  for (int i = 0; i < 7; i++)
    lc_endpoint_request_sent (fixture_find_endpoint (&f, "e2"), LC_KIND_LIVE, 0, 3);
  cr_assert_str_neq (choose_engine_for_prefix (&f, 77, 4), "e2");
  fixture_clear (&f);
}

/* Engine e0 is about to swap its weights within 30 s. A request sent to e0 would wait for the new
 * weights or lose its cache, so the busier e1 is expected to finish the request sooner. */
Test (finish_time, engine_about_to_swap_weights_is_chosen_last)
{
  Fixture f;

  fixture_init (&f, 2);
  fixture_record_load_report (&f, "e0", "a", 1, 1);
  fixture_record_load_report (&f, "e1", "a", 1, 1);
  for (int i = 0; i < 5; i++)
    lc_endpoint_request_sent (fixture_find_endpoint (&f, "e1"), LC_KIND_LIVE, 0, 2);
  cr_assert_str_eq (choose_engine_for_prefix (&f, 0, 3), "e0");
  lc_endpoints_set_weight_swap_state (f.endpoints, "e0", true, 30 * LB_SEC, 3);
  cr_assert_str_eq (choose_engine_for_prefix (&f, 0, 4), "e1");
  fixture_clear (&f);
}

/* Engine e0 hangs with its connections open. Its last reported requests are assumed to finish, so
 * e0 would look emptiest and attract requests of all instances. Any reply of e0 ends the
 * penalty. */
Test (finish_time, silent_engine_does_not_attract_requests)
{
  Fixture f;

  fixture_init (&f, 4);
  fixture_record_load_report (&f, "e0", "a", 1, LB_SEC);
  for (LbTime now = LB_SEC; now <= 8 * LB_SEC; now += LB_SEC)
    for (int i = 1; i < 4; i++)
      {
        LcLoadReport report
            = { .incarnation = "a", .version = 1, .running = 5, .measured_at = now };

        lc_endpoints_record_load_report (f.endpoints, f.members[i].name, &report, now);
      }
  for (uint64_t prompt = 1; prompt < 50; prompt++)
    cr_assert_str_neq (choose_engine_for_prefix (&f, prompt, 8 * LB_SEC), "e0");
  lc_endpoint_first_byte_received (fixture_find_endpoint (&f, "e0"), LB_MSEC, 8 * LB_SEC);
  cr_assert_str_eq (choose_engine_for_prefix (&f, 1, 8 * LB_SEC + 1), "e0");
  fixture_clear (&f);
}

/* The store lists the endpoints. When each listing counted as a reply of every endpoint, all
 * endpoints seemed to have an open connection, and calls rotated over them. */
Test (router, a_list_of_the_store_opens_no_connection)
{
  LcRouteQuery query = fixture_make_route_query ();
  LcRouter *router = lc_router_new ("lentilspindle", 7);
  LbTime now = 100 * LB_SEC;
  Fixture f;

  fixture_init (&f, 4);
  for (int i = 0; i < 4; i++)
    f.members[i].kind = LC_ENDPOINT_SERVICE;
  fixture_apply_endpoint_set (&f, 1);
  query.kind = LC_KIND_SERVICE;
  lc_endpoint_request_sent (fixture_find_endpoint (&f, "e2"), LC_KIND_SERVICE, 0, now);
  lc_endpoint_first_byte_received (fixture_find_endpoint (&f, "e2"), 20 * LB_MSEC, now);
  lc_endpoint_request_ended (fixture_find_endpoint (&f, "e2"), LC_KIND_SERVICE, true, 0,
                             20 * LB_MSEC, now);
  for (int i = 0; i < 4; i++)
    {
      LcLoadReport listed
          = { .incarnation = "a", .is_from_registry = true, .measured_at = now + LB_SEC };
      lc_endpoints_record_load_report (f.endpoints, f.members[i].name, &listed, now + LB_SEC);
    }
  for (int i = 0; i < 40; i++)
    cr_assert_str_eq (
        choose_endpoint_with_router (router, &f, &query, now + LB_SEC).endpoint->member.name, "e2");
  fixture_clear (&f);
  lc_router_free (router);
}

/* Eighty instances call a service rarely. When they rotated over its endpoints, two of three calls
 * had to open a connection, since the last one had been closed, and the endpoints ran out of
 * connections. An instance prefers the endpoint that it used last unless this endpoint is
 * busier. */
Test (router, service_calls_prefer_endpoints_with_open_connections)
{
  LcRouteQuery query = fixture_make_route_query ();
  LcRouter *router = lc_router_new ("lentilspindle", 7);
  Fixture f;

  fixture_init (&f, 4);
  for (int i = 0; i < 4; i++)
    f.members[i].kind = LC_ENDPOINT_SERVICE;
  fixture_apply_endpoint_set (&f, 1);
  query.kind = LC_KIND_SERVICE;
  LbTime now = 100 * LB_SEC;
  lc_endpoint_request_sent (fixture_find_endpoint (&f, "e2"), LC_KIND_SERVICE, 0, now);
  lc_endpoint_first_byte_received (fixture_find_endpoint (&f, "e2"), 20 * LB_MSEC, now);
  lc_endpoint_request_ended (fixture_find_endpoint (&f, "e2"), LC_KIND_SERVICE, true, 0,
                             20 * LB_MSEC, now);
  for (int i = 0; i < 40; i++)
    cr_assert_str_eq (
        choose_endpoint_with_router (router, &f, &query, now + LB_SEC).endpoint->member.name, "e2");
  for (int i = 0; i < 4; i++)
    lc_endpoint_request_sent (fixture_find_endpoint (&f, "e2"), LC_KIND_SERVICE, 0, now + LB_SEC);
  cr_assert_str_neq (
      choose_endpoint_with_router (router, &f, &query, now + LB_SEC).endpoint->member.name, "e2");
  fixture_clear (&f);
  lc_router_free (router);
}
