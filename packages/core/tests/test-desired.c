#include "lc-desired.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <string.h>

static void
add_route_to_desired (LcDesired *desired, const char *name, const char *host, const char *prefix)
{
  LcRoute route = { .kind = LC_ROUTE_IDEMPOTENT };

  LB_COPY (route.name, name);
  LB_COPY (route.host, host);
  LB_COPY (route.prefix, prefix);
  lc_desired_add_route (desired, &route);
}

static const char *
match_route_name (const LcDesired *desired, const char *host, const char *path)
{
  const LcRoute *route = lc_desired_match_route (desired, host, path);

  return route ? route->name : "";
}

/* Calls that match a longer prefix must not reach the service of a shorter one, whatever the order
 * in which the operator listed the routes. */
Test (desired, route_with_the_longest_matching_prefix_is_chosen)
{
  LcDesired *desired = lc_desired_new (3);

  add_route_to_desired (desired, "short", "shop.example", "/a/");
  add_route_to_desired (desired, "long", "shop.example", "/a/b/");
  add_route_to_desired (desired, "other", "mail.example", "/a/b/c/");
  lc_desired_sort_routes (desired);
  cr_assert_str_eq (match_route_name (desired, "shop.example", "/a/x"), "short");
  cr_assert_str_eq (match_route_name (desired, "shop.example", "/a/b/c/d"), "long");
  cr_assert_str_eq (match_route_name (desired, "SHOP.example:8080", "/a/b/"), "long");
  cr_assert_str_eq (match_route_name (desired, "shop.example.org", "/a/b/"), "");
  cr_assert_str_eq (match_route_name (desired, "shop.example", "/b/"), "");
  lc_desired_unref (desired);
}

Test (desired, desired_state_stays_valid_until_the_last_unref)
{
  LcDesired *desired = lc_desired_new (1);
  LcDesired *second = lc_desired_ref (desired);

  add_route_to_desired (desired, "r", "h", "/");
  lc_desired_unref (desired);
  cr_assert_str_eq (match_route_name (second, "h", "/x"), "r");
  lc_desired_unref (second);
}

Test (desired, services_are_chosen_by_weight)
{
  LcRoute route = { .n_targets = 2, .targets = { { "a", 90 }, { "b", 10 } } };

  cr_assert_str_eq (lc_route_choose_service (&route, 0), "a");
  cr_assert_str_eq (lc_route_choose_service (&route, 0.89), "a");
  cr_assert_str_eq (lc_route_choose_service (&route, 0.91), "b");
  cr_assert_str_eq (lc_route_choose_service (&route, 1), "b");
}
