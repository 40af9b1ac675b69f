#include "lc-scaling.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS 6
#define MAX_ENDPOINTS 128

/* Engines of one service in three data centres, of which b is the dearest and a the cheapest; four
 * of the full price in each. */
typedef struct
{
  LcScaling *scaling;
  LcDesired *desired;
  LcResourceSet set;
  LcEndpointMember endpoints[MAX_ENDPOINTS];
  LbTime now;
} Scene;

static void
add_engine (Scene *s, const char *data_centre, bool is_spot)
{
  LcEndpointMember *member = &s->endpoints[s->set.n_endpoints++];

  *member = (LcEndpointMember){ .concurrency = SLOTS, .is_spot = is_spot };
  LB_COPY (member->service, "engines");
  LB_COPY (member->pool, "m");
  LB_COPY (member->data_centre, data_centre);
}

static void
scene_init (Scene *s)
{
  static const char *const data_centres[] = { "a", "b", "c" };
  LcService service = { .scaling = { .min = 1,
                                     .max = 10,
                                     .spot_price = 0.25,
                                     .prices = { { "b", 1.2 }, { "a", 0.8 }, { "c", 1.0 } },
                                     .n_prices = 3 } };

  memset (s, 0, sizeof *s);
  s->now = 100 * LB_SEC;
  s->scaling = lc_scaling_new ();
  s->desired = lc_desired_new (1);
  LB_COPY (service.name, "engines");
  lc_desired_add_service (s->desired, &service);
  s->set.endpoints = s->endpoints;
  for (int i = 0; i < 12; i++)
    add_engine (s, data_centres[i % 3], false);
}

static void
scene_clear (Scene *s)
{
  lc_scaling_free (s->scaling);
  lc_desired_unref (s->desired);
}

/* Endpoints that the next order is for in the data centre; -1: there is no order for it. All
 * orders have the same outcome. */
static int64_t
ordered_at (Scene *s, const char *data_centre, LcScalingOutcome outcome)
{
  LcScalingOrder order;
  int64_t found = -1;

  while (lc_scaling_next_order (s->scaling, s->desired, &s->set, s->now, &order))
    {
      if (strcmp (order.data_centre, data_centre) == 0)
        found = order.endpoints;
      lc_scaling_finish_order (s->scaling, &order, outcome, s->now);
    }
  return found;
}

static void
assert_nothing_ordered (Scene *s)
{
  LcScalingOrder order;

  cr_assert_not (lc_scaling_next_order (s->scaling, s->desired, &s->set, s->now, &order));
}

/* A step of 100 texts comes and 72 find a place; the others would wait for a second or two, and the
 * longest of them end too late. Five more engines are ordered where they cost least. */
Test (scaling, a_step_finds_a_place_for_each_text)
{
  Scene s;

  scene_init (&s);
  assert_nothing_ordered (&s);
  lc_scaling_add_demand (s.scaling, "m", 100, s.now);
  cr_assert_eq (ordered_at (&s, "a", LC_SCALING_ACCEPTED), 5);
  s.now += 4 * LB_SEC;
  for (int i = 0; i < 5; i++)
    add_engine (&s, "a", true);
  lc_scaling_add_demand (s.scaling, "m", 100, s.now);
  s.now += LB_SEC;
  assert_nothing_ordered (&s);
  scene_clear (&s);
}

Test (scaling, no_data_centre_gets_more_than_it_may)
{
  Scene s;

  scene_init (&s);
  lc_scaling_add_demand (s.scaling, "m", 1000, s.now);
  cr_assert_eq (ordered_at (&s, "a", LC_SCALING_ACCEPTED), 6);
  lc_scaling_forget_orders (s.scaling);
  cr_assert_eq (ordered_at (&s, "b", LC_SCALING_ACCEPTED), 6);
  scene_clear (&s);
}

/* All cheap engines of a data centre are taken away, and for some seconds none is to be had there.
 * They are ordered elsewhere, and there again later. */
Test (scaling, what_is_refused_in_one_place_is_had_in_another)
{
  Scene s;

  scene_init (&s);
  LcScalingOrder order;

  lc_scaling_add_demand (s.scaling, "m", 100, s.now);
  cr_assert (lc_scaling_next_order (s.scaling, s.desired, &s.set, s.now, &order));
  cr_assert_str_eq (order.data_centre, "a");
  lc_scaling_finish_order (s.scaling, &order, LC_SCALING_REFUSED, s.now);
  s.now += LB_SEC;
  cr_assert_eq (ordered_at (&s, "c", LC_SCALING_ACCEPTED), 5);
  s.now += 5 * LB_SEC;
  cr_assert_eq (ordered_at (&s, "a", LC_SCALING_ACCEPTED), 5, "where they cost least");
  scene_clear (&s);
}

/* An order without an answer may be carried out after a newer one: it is given again. */
Test (scaling, an_order_without_an_answer_is_given_again)
{
  Scene s;

  scene_init (&s);
  lc_scaling_add_demand (s.scaling, "m", 100, s.now);
  cr_assert_eq (ordered_at (&s, "a", LC_SCALING_UNKNOWN), 5);
  s.now += LB_SEC;
  assert_nothing_ordered (&s);
  s.now += 4 * LB_SEC;
  cr_assert_eq (ordered_at (&s, "a", LC_SCALING_ACCEPTED), 5);
  scene_clear (&s);
}

/* Engines of the full price are replaced one after the other, the new one first: for a moment there
 * are some more. Were as many cheap ones let go each time, their texts would break off. */
Test (scaling, fewer_are_ordered_only_after_a_while)
{
  Scene s;

  scene_init (&s);
  lc_scaling_add_demand (s.scaling, "m", 100, s.now);
  cr_assert_eq (ordered_at (&s, "a", LC_SCALING_ACCEPTED), 5);
  for (int i = 0; i < 5; i++)
    add_engine (&s, "a", true);
  add_engine (&s, "c", false);
  s.now += 6 * LB_SEC;
  assert_nothing_ordered (&s);
  s.now += 5 * LB_SEC;
  assert_nothing_ordered (&s);
  s.now += 5 * LB_SEC;
  lc_scaling_add_demand (s.scaling, "m", 100, s.now);
  cr_assert_eq (ordered_at (&s, "a", LC_SCALING_ACCEPTED), 4);
  scene_clear (&s);
}

/* The trainers have stopped. */
Test (scaling, without_demand_all_are_let_go)
{
  Scene s;

  scene_init (&s);
  lc_scaling_add_demand (s.scaling, "m", 100, s.now);
  cr_assert_eq (ordered_at (&s, "a", LC_SCALING_ACCEPTED), 5);
  for (int i = 0; i < 5; i++)
    add_engine (&s, "a", true);
  s.now += 25 * LB_SEC;
  assert_nothing_ordered (&s);
  s.now += 11 * LB_SEC;
  cr_assert_eq (ordered_at (&s, "a", LC_SCALING_ACCEPTED), 0);
  scene_clear (&s);
}
