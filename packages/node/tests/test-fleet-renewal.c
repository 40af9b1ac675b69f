#include "ln-fleet-lists.h"
#include "ln-fleet-renewal.h"

#include "lb-alloc.h"
#include "lp-platform.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MAX_WRITES 64

typedef struct
{
  char key[LN_FLEET_KEY_SIZE];
  bool removes;
  LpTransactDone done;
  void *user;
} Write;

/* A store that answers when the test says so. */
typedef struct
{
  LpPlatform platform; /* first */
  Write writes[MAX_WRITES];
  size_t n_writes;
  size_t n_answered;
} Store;

static void
store_transact (LpPlatform *platform,
                const LpTransaction *transaction,
                LpPriority priority,
                LpTransactDone done,
                void *user)
{
  (void)priority;
  Store *store = (Store *)platform;

  cr_assert_lt (store->n_writes, MAX_WRITES);
  Write *write = &store->writes[store->n_writes++];
  *write = (Write){ .removes = !transaction->puts[0].value, .done = done, .user = user };
  snprintf (write->key, sizeof write->key, "%s", transaction->puts[0].key);
}

static const LpPlatformClass store_class = { .name = "test", .transact = store_transact };

static void
answer_all (Store *store, LbErrorCode error)
{
  while (store->n_answered < store->n_writes)
    {
      Write *write = &store->writes[store->n_answered++];
      write->done (error, NULL, write->user);
    }
}

typedef struct
{
  Store store;
  LcFleetRow row;
  LnFleetRenewal *renewal;
  LbTime now;
  bool listed; /* the row on duty */
  bool is_left_out;
} Setup;

static void
setup_init (Setup *s)
{
  memset (s, 0, sizeof *s);
  s->store.platform.klass = &store_class;
  LB_COPY (s->row.name, "a");
  LB_COPY (s->row.incarnation, "1");
  s->renewal = ln_fleet_renewal_new (&s->store.platform, &s->row);
  s->now = 100 * LB_SEC;
}

static void
tick (Setup *s)
{
  const LnFleetListSummary listing
      = { .n_instances = 295, .is_left_out = s->is_left_out, .has_duty_row = s->listed };

  ln_fleet_renewal_tick (s->renewal, &listing, s->now);
}

/* Ticks each 100 ms, with answers. */
static void
run (Setup *s, LbTime time)
{
  for (LbTime end = s->now + time; s->now < end; s->now += 100 * LB_MSEC)
    {
      tick (s);
      answer_all (&s->store, LB_OK);
    }
}

static size_t
count (Setup *s, bool on_duty, bool removes)
{
  char key[LN_FLEET_KEY_SIZE];
  size_t n = 0;

  ln_fleet_row_key (&s->row, on_duty, key);
  for (size_t i = 0; i < s->store.n_writes; i++)
    n += strcmp (s->store.writes[i].key, key) == 0 && s->store.writes[i].removes == removes;
  return n;
}

Test (fleet_renewal, an_instance_on_duty_renews_a_second_row)
{
  Setup s;

  setup_init (&s);
  run (&s, 3 * LB_SEC);
  cr_assert_eq (count (&s, false, false), 2);
  cr_assert_eq (count (&s, true, false), 0);
  ln_fleet_renewal_set_duty (s.renewal, true, s.now);
  run (&s, 3 * LB_SEC);
  cr_assert_geq (count (&s, true, false), 10);
  cr_assert_leq (count (&s, false, false), 3);
  ln_fleet_renewal_free (s.renewal);
}

/* An instance ran batches and runs none any more. Its second row stands still from then on; were it
 * left there, the others would take the instance for dead. The first removal has no answer. */
Test (fleet_renewal, the_second_row_goes_with_the_duty)
{
  Setup s;

  setup_init (&s);
  ln_fleet_renewal_set_duty (s.renewal, true, s.now);
  run (&s, LB_SEC);
  ln_fleet_renewal_set_duty (s.renewal, false, s.now);
  run (&s, 10 * LB_SEC);
  cr_assert_eq (count (&s, true, true), 0, "the next step comes soon");
  s.listed = true;
  s.now += LB_SEC;
  tick (&s);
  answer_all (&s.store, LB_OK);
  s.now += 100 * LB_MSEC;
  tick (&s);
  s.listed = false;
  cr_assert_eq (count (&s, true, true), 1);
  answer_all (&s.store, LB_ERROR_STORE_UNKNOWN);
  run (&s, LB_SEC);
  cr_assert_eq (count (&s, true, true), 2);
  run (&s, 5 * LB_SEC);
  cr_assert_eq (count (&s, true, true), 2, "it is known to be gone");
  ln_fleet_renewal_free (s.renewal);
}

/* The second row was removed. A renewal of before, whose answer was lost, is carried out after
 * that: the row is back, older with each second. */
Test (fleet_renewal, a_second_row_that_comes_back_is_removed_again)
{
  Setup s;

  setup_init (&s);
  ln_fleet_renewal_set_duty (s.renewal, true, s.now);
  run (&s, LB_SEC);
  ln_fleet_renewal_set_duty (s.renewal, false, s.now);
  run (&s, 12 * LB_SEC);
  cr_assert_eq (count (&s, true, true), 1);
  s.listed = true;
  run (&s, LB_SEC);
  s.listed = false;
  cr_assert_geq (count (&s, true, true), 2);
  ln_fleet_renewal_free (s.renewal);
}

/* Guards against renewals that grow with the fleet: nobody lists an instance without a place. */
Test (fleet_renewal, an_instance_left_out_renews_seldom_until_it_has_a_place)
{
  Setup s;

  setup_init (&s);
  s.is_left_out = true;
  run (&s, 30 * LB_SEC);
  cr_assert_leq (count (&s, false, false), 4);
  size_t before = count (&s, false, false);
  s.is_left_out = false;
  run (&s, 2500 * LB_MSEC);
  cr_assert_geq (count (&s, false, false), before + 1);
  ln_fleet_renewal_free (s.renewal);
}
