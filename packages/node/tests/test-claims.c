#include "ln-claims.h"

#include "lb-clock.h"
#include "lp-platform.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <string.h>
#include <unistd.h>

typedef struct
{
  bool is_done;
  bool is_ours;
} ClaimResult;

typedef struct
{
  LbErrorCode error;
  bool is_done;
} ScanResult;

static void
on_key_claimed (const char *ticket, const LbError *error, void *user)
{
  (void)error;
  ClaimResult *result = user;

  result->is_done = true;
  result->is_ours = ticket && strcmp (ticket, "i1.a.1") == 0;
}

static void
on_claim_rows_scanned (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  (void)rows;
  ScanResult *scan = user;

  scan->is_done = true;
  scan->error = error == LB_OK && n_rows == 0 ? LB_ERROR_NOT_FOUND : error;
}

static void
run_event_loop_until (struct event_base *base, const bool *condition)
{
  LbTime deadline = lb_clock_monotonic () + 20 * LB_SEC;

  while (!*condition && lb_clock_monotonic () < deadline)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (500);
    }
  cr_assert (*condition);
}

static bool
store_has_claim_rows (struct event_base *base, LpPlatform *platform)
{
  ScanResult scan = { 0 };

  platform->klass->scan (platform, "claim/", on_claim_rows_scanned, &scan);
  run_event_loop_until (base, &scan.is_done);
  return scan.error == LB_OK;
}

/* The store has a row for each idempotency key that a call has claimed. Rows that are never
 * deleted would fill the table: a row must be deleted after its ticket has expired, and not
 * before. */
Test (claims, rows_of_expired_keys_are_deleted)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  LnClaims *claims = ln_claims_new (base, platform, "a");
  ClaimResult first = { 0 };
  LbTime deadline = lb_clock_monotonic () + 20 * LB_SEC;

  ln_claims_claim_idempotency_key (claims, "shop", "k1", "i1.a.1", 0, on_key_claimed, &first);
  run_event_loop_until (base, &first.is_done);
  cr_assert (first.is_ours);
  while (store_has_claim_rows (base, platform) && lb_clock_monotonic () < deadline)
    usleep (1000);
  cr_assert_not (store_has_claim_rows (base, platform));

  ClaimResult second = { 0 };
  ln_claims_claim_idempotency_key (claims, "shop", "k1", "i1.a.1", LB_TIME_NEVER, on_key_claimed,
                                   &second);
  run_event_loop_until (base, &second.is_done);
  deadline = lb_clock_monotonic () + 3 * LB_SEC;
  while (lb_clock_monotonic () < deadline)
    cr_assert (store_has_claim_rows (base, platform));
  ln_claims_free (claims);
  platform->klass->free (platform);
  event_base_free (base);
}
