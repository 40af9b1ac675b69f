#include "lc-scaling.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS_PER_ENDPOINT 6
#define MAX_ENDPOINTS 128

/* Four on-demand engines of one service in each of three data centres. Data centre a is the
 * cheapest, b the most expensive. */
typedef struct
{
  LcScaling *scaling;
  LcDesired *desired;
  LcResourceSet set;
  LcEndpointMember endpoints[MAX_ENDPOINTS];
  LbTime now;
} Fixture;

static void
add_engine_member (Fixture *fixture, const char *data_centre, bool is_spot)
{
  LcEndpointMember *member = &fixture->endpoints[fixture->set.n_endpoints++];

  *member = (LcEndpointMember){ .concurrency = SLOTS_PER_ENDPOINT, .is_spot = is_spot };
  LB_COPY (member->service, "engines");
  LB_COPY (member->pool, "m");
  LB_COPY (member->data_centre, data_centre);
}

static void
fixture_init (Fixture *fixture)
{
  static const char *const data_centres[] = { "a", "b", "c" };
  LcService service = { .scaling = { .min = 1,
                                     .max = 10,
                                     .spot_price = 0.25,
                                     .prices = { { "b", 1.2 }, { "a", 0.8 }, { "c", 1.0 } },
                                     .n_prices = 3 } };

  memset (fixture, 0, sizeof *fixture);
  fixture->now = 100 * LB_SEC;
  fixture->scaling = lc_scaling_new ();
  fixture->desired = lc_desired_new (1);
  LB_COPY (service.name, "engines");
  lc_desired_add_service (fixture->desired, &service);
  fixture->set.endpoints = fixture->endpoints;
  for (int i = 0; i < 12; i++)
    add_engine_member (fixture, data_centres[i % 3], false);
}

static void
fixture_clear (Fixture *fixture)
{
  lc_scaling_free (fixture->scaling);
  lc_desired_unref (fixture->desired);
}

/* Records this outcome for all scaling orders that are due in any data centre. Returns the number
 * of endpoints that the last order for `data_centre` requested; -1: no order for `data_centre` was
 * due. */
static int64_t
finish_due_scaling_orders (Fixture *fixture, const char *data_centre, LcScalingOutcome outcome)
{
  LcScalingOrder order;
  int64_t found = -1;

  while (lc_scaling_next_order (fixture->scaling, fixture->desired, &fixture->set, fixture->now,
                                &order))
    {
      if (strcmp (order.data_centre, data_centre) == 0)
        found = order.endpoints;
      lc_scaling_record_order_outcome (fixture->scaling, &order, outcome, fixture->now);
    }
  return found;
}

static void
assert_no_scaling_order_is_due (Fixture *fixture)
{
  LcScalingOrder order;

  cr_assert_not (lc_scaling_next_order (fixture->scaling, fixture->desired, &fixture->set,
                                        fixture->now, &order));
}

/* A training step needs 100 generations at once, but the running engines have 72 slots: the
 * remaining generations would wait for a second or two, and the longest of them would end too late.
 * Five more engines must be ordered in the cheapest data centre. */
Test (scaling, orders_a_slot_for_each_generation_of_a_step)
{
  Fixture fixture;

  fixture_init (&fixture);
  assert_no_scaling_order_is_due (&fixture);
  lc_scaling_add_demand (fixture.scaling, "engines", "m", 100, fixture.now);
  cr_assert_eq (finish_due_scaling_orders (&fixture, "a", LC_SCALING_ACCEPTED), 5);
  fixture.now += 4 * LB_SEC;
  for (int i = 0; i < 5; i++)
    add_engine_member (&fixture, "a", true);
  lc_scaling_add_demand (fixture.scaling, "engines", "m", 100, fixture.now);
  fixture.now += LB_SEC;
  assert_no_scaling_order_is_due (&fixture);
  fixture_clear (&fixture);
}

/* The engines of two services hold one model, and the batch route leads to the second. The demand
 * must order engines of that service, not of the first that the list names. */
Test (scaling, demand_counts_for_the_service_of_its_route)
{
  Fixture fixture;
  LcService other
      = { .scaling
          = { .min = 1, .max = 10, .spot_price = 0.25, .prices = { { "a", 1 } }, .n_prices = 1 } };
  LcScalingOrder order;

  fixture_init (&fixture);
  LB_COPY (other.name, "others");
  lc_desired_add_service (fixture.desired, &other);
  add_engine_member (&fixture, "a", false);
  LB_COPY (fixture.endpoints[fixture.set.n_endpoints - 1].service, "others");
  lc_scaling_add_demand (fixture.scaling, "others", "m", 100, fixture.now);
  cr_assert (
      lc_scaling_next_order (fixture.scaling, fixture.desired, &fixture.set, fixture.now, &order));
  cr_assert_str_eq (order.service, "others");
  fixture_clear (&fixture);
}

Test (scaling, orders_stay_within_the_limit_of_each_data_centre)
{
  Fixture fixture;

  fixture_init (&fixture);
  lc_scaling_add_demand (fixture.scaling, "engines", "m", 1000, fixture.now);
  cr_assert_eq (finish_due_scaling_orders (&fixture, "a", LC_SCALING_ACCEPTED), 6);
  lc_scaling_forget_orders (fixture.scaling);
  cr_assert_eq (finish_due_scaling_orders (&fixture, "b", LC_SCALING_ACCEPTED), 6);
  fixture_clear (&fixture);
}

/* All spot engines of a data centre are preempted, and the data centre has no capacity for some
 * seconds. The engines must be ordered in another data centre, and later in the first one again. */
Test (scaling, refused_endpoints_are_ordered_in_another_data_centre)
{
  Fixture fixture;

  fixture_init (&fixture);
  LcScalingOrder order;

  lc_scaling_add_demand (fixture.scaling, "engines", "m", 100, fixture.now);
  cr_assert (
      lc_scaling_next_order (fixture.scaling, fixture.desired, &fixture.set, fixture.now, &order));
  cr_assert_str_eq (order.data_centre, "a");
  lc_scaling_record_order_outcome (fixture.scaling, &order, LC_SCALING_REFUSED, fixture.now);
  fixture.now += LB_SEC;
  cr_assert_eq (finish_due_scaling_orders (&fixture, "c", LC_SCALING_ACCEPTED), 5);
  fixture.now += 5 * LB_SEC;
  cr_assert_eq (finish_due_scaling_orders (&fixture, "a", LC_SCALING_ACCEPTED), 5,
                "must order in the cheapest data centre again");
  fixture_clear (&fixture);
}

/* The answer to a scaling order is lost. The order may still be executed, even after a newer order,
 * so it is unknown how many endpoints the data centre will run: the order must be sent again. */
Test (scaling, order_without_an_answer_is_sent_again)
{
  Fixture fixture;

  fixture_init (&fixture);
  lc_scaling_add_demand (fixture.scaling, "engines", "m", 100, fixture.now);
  cr_assert_eq (finish_due_scaling_orders (&fixture, "a", LC_SCALING_UNKNOWN), 5);
  fixture.now += LB_SEC;
  assert_no_scaling_order_is_due (&fixture);
  fixture.now += 4 * LB_SEC;
  cr_assert_eq (finish_due_scaling_orders (&fixture, "a", LC_SCALING_ACCEPTED), 5);
  fixture_clear (&fixture);
}

/* On-demand engines are replaced one after the other, and each new one starts before the old one
 * stops. If spot engines were released for each short excess, their generations would be
 * interrupted. */
Test (scaling, excess_endpoints_are_released_only_after_a_delay)
{
  Fixture fixture;

  fixture_init (&fixture);
  lc_scaling_add_demand (fixture.scaling, "engines", "m", 100, fixture.now);
  cr_assert_eq (finish_due_scaling_orders (&fixture, "a", LC_SCALING_ACCEPTED), 5);
  for (int i = 0; i < 5; i++)
    add_engine_member (&fixture, "a", true);
  add_engine_member (&fixture, "c", false);
  fixture.now += 6 * LB_SEC;
  assert_no_scaling_order_is_due (&fixture);
  fixture.now += 5 * LB_SEC;
  assert_no_scaling_order_is_due (&fixture);
  fixture.now += 5 * LB_SEC;
  lc_scaling_add_demand (fixture.scaling, "engines", "m", 100, fixture.now);
  cr_assert_eq (finish_due_scaling_orders (&fixture, "a", LC_SCALING_ACCEPTED), 4);
  fixture_clear (&fixture);
}

Test (scaling, releases_all_spot_endpoints_without_demand)
{
  Fixture fixture;

  fixture_init (&fixture);
  lc_scaling_add_demand (fixture.scaling, "engines", "m", 100, fixture.now);
  cr_assert_eq (finish_due_scaling_orders (&fixture, "a", LC_SCALING_ACCEPTED), 5);
  for (int i = 0; i < 5; i++)
    add_engine_member (&fixture, "a", true);
  fixture.now += 25 * LB_SEC;
  assert_no_scaling_order_is_due (&fixture);
  fixture.now += 11 * LB_SEC;
  cr_assert_eq (finish_due_scaling_orders (&fixture, "a", LC_SCALING_ACCEPTED), 0);
  fixture_clear (&fixture);
}
