#include "ln-fleet-lists.h"
#include "ln-fleet-renewal.h"

#include "lb-alloc.h"
#include "lp-platform.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MAX_RECORDED_WRITES 64

typedef struct
{
  char key[LN_FLEET_KEY_SIZE];
  bool is_removal;
  LpTransactDone done;
  void *user;
} Write;

/* Fake store that records writes and answers them when the test calls answer_all_store_writes. */
typedef struct
{
  LpPlatform platform; /* first member, because callbacks cast LpPlatform * to Store * */
  Write writes[MAX_RECORDED_WRITES];
  size_t n_writes;
  size_t n_answered;
} Store;

static void
record_store_write (LpPlatform *platform,
                    const LpTransaction *transaction,
                    LpPriority priority,
                    LpTransactDone done,
                    void *user)
{
  (void)priority;
  Store *store = (Store *)platform;

  cr_assert_lt (store->n_writes, MAX_RECORDED_WRITES);
  Write *write = &store->writes[store->n_writes++];
  *write = (Write){ .is_removal = !transaction->puts[0].value, .done = done, .user = user };
  snprintf (write->key, sizeof write->key, "%s", transaction->puts[0].key);
}

static const LpPlatformClass store_class = { .name = "test", .transact = record_store_write };

static void
answer_all_store_writes (Store *store, LbErrorCode error)
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
  /* whether the latest list of the store contained the duty row, which is renewed only while the
   * instance runs batches */
  bool is_duty_row_listed;
  bool is_omitted;
} Setup;

static void
setup_init_with_renewal (Setup *s)
{
  memset (s, 0, sizeof *s);
  s->store.platform.klass = &store_class;
  LB_COPY (s->row.name, "a");
  LB_COPY (s->row.incarnation, "1");
  s->renewal = ln_fleet_renewal_new (&s->store.platform, &s->row);
  s->now = 100 * LB_SEC;
}

static void
renew_rows_with_elapsed_period (Setup *s)
{
  const LnFleetListSummary summary
      = { .n_instances = 295, .is_omitted = s->is_omitted, .has_duty_row = s->is_duty_row_listed };

  ln_fleet_renewal_tick (s->renewal, &summary, s->now);
}

/* Advances the test's clock by the duration in steps of 100 ms. Each step writes the rows whose
 * renewal period has elapsed and confirms all writes. */
static void
renew_rows_periodically_for (Setup *s, LbTime duration)
{
  for (LbTime end = s->now + duration; s->now < end; s->now += 100 * LB_MSEC)
    {
      renew_rows_with_elapsed_period (s);
      answer_all_store_writes (&s->store, LB_OK);
    }
}

static size_t
count_row_writes (Setup *s, bool is_duty_row, bool is_removal)
{
  char key[LN_FLEET_KEY_SIZE];
  size_t n = 0;

  ln_fleet_row_format_key (&s->row, is_duty_row, key);
  for (size_t i = 0; i < s->store.n_writes; i++)
    n += strcmp (s->store.writes[i].key, key) == 0 && s->store.writes[i].is_removal == is_removal;
  return n;
}

/* An instance that runs batches is on duty: it renews a second row, the duty row, more often than
 * its normal row. */
Test (fleet_renewal, an_instance_on_duty_renews_a_second_row)
{
  Setup s;

  setup_init_with_renewal (&s);
  renew_rows_periodically_for (&s, 3 * LB_SEC);
  cr_assert_eq (count_row_writes (&s, false, false), 2);
  cr_assert_eq (count_row_writes (&s, true, false), 0);
  ln_fleet_renewal_set_duty (s.renewal, true, s.now);
  renew_rows_periodically_for (&s, 3 * LB_SEC);
  cr_assert_geq (count_row_writes (&s, true, false), 10);
  cr_assert_leq (count_row_writes (&s, false, false), 3);
  ln_fleet_renewal_free (s.renewal);
}

/* Guards against a duty row (renewed only while the instance runs batches) that stays in the store
 * after the last batch: the row is not renewed any more, so the other instances would consider the
 * instance dead. The store answers the first removal with an unknown outcome. */
Test (fleet_renewal, the_duty_row_is_removed_after_the_duty)
{
  Setup s;

  setup_init_with_renewal (&s);
  ln_fleet_renewal_set_duty (s.renewal, true, s.now);
  renew_rows_periodically_for (&s, LB_SEC);
  ln_fleet_renewal_set_duty (s.renewal, false, s.now);
  renew_rows_periodically_for (&s, 10 * LB_SEC);
  cr_assert_eq (count_row_writes (&s, true, true), 0,
                "expected no removal yet, as the duty row is kept for the next step");
  s.is_duty_row_listed = true;
  s.now += LB_SEC;
  renew_rows_with_elapsed_period (&s);
  answer_all_store_writes (&s.store, LB_OK);
  s.now += 100 * LB_MSEC;
  renew_rows_with_elapsed_period (&s);
  s.is_duty_row_listed = false;
  cr_assert_eq (count_row_writes (&s, true, true), 1);
  answer_all_store_writes (&s.store, LB_ERROR_STORE_UNKNOWN);
  renew_rows_periodically_for (&s, LB_SEC);
  cr_assert_eq (count_row_writes (&s, true, true), 2);
  renew_rows_periodically_for (&s, 5 * LB_SEC);
  cr_assert_eq (count_row_writes (&s, true, true), 2,
                "expected no further removal, as the second one succeeded");
  ln_fleet_renewal_free (s.renewal);
}

/* Guards against a stale duty row (renewed only while the instance runs batches) that stays in
 * the store: a renewal whose answer was lost is applied after the row was removed. */
Test (fleet_renewal, a_duty_row_that_reappears_is_removed_again)
{
  Setup s;

  setup_init_with_renewal (&s);
  ln_fleet_renewal_set_duty (s.renewal, true, s.now);
  renew_rows_periodically_for (&s, LB_SEC);
  ln_fleet_renewal_set_duty (s.renewal, false, s.now);
  renew_rows_periodically_for (&s, 12 * LB_SEC);
  cr_assert_eq (count_row_writes (&s, true, true), 1);
  s.is_duty_row_listed = true;
  renew_rows_periodically_for (&s, LB_SEC);
  s.is_duty_row_listed = false;
  cr_assert_geq (count_row_writes (&s, true, true), 2);
  ln_fleet_renewal_free (s.renewal);
}

/* Guards against a total rate of renewals that grows with the fleet: an instance that is not in the
 * directory (the rows that instances list) renews its row rarely, since no other instance reads
 * that row. */
Test (fleet_renewal, an_instance_renews_its_row_seldom_until_it_is_in_the_directory)
{
  Setup s;

  setup_init_with_renewal (&s);
  s.is_omitted = true;
  renew_rows_periodically_for (&s, 30 * LB_SEC);
  cr_assert_leq (count_row_writes (&s, false, false), 4);
  size_t before = count_row_writes (&s, false, false);
  s.is_omitted = false;
  renew_rows_periodically_for (&s, 2500 * LB_MSEC);
  cr_assert_geq (count_row_writes (&s, false, false), before + 1);
  ln_fleet_renewal_free (s.renewal);
}
