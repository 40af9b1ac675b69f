#include "ln-claims.h"

#include "lb-clock.h"
#include "lp-platform.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <string.h>
#include <unistd.h>

typedef struct
{
  bool done;
  bool ours;
} Outcome;

typedef struct
{
  LbErrorCode error;
  bool done;
} Lookup;

static void
on_claimed (const char *ticket, const LbError *error, void *user)
{
  (void)error;
  Outcome *outcome = user;

  outcome->done = true;
  outcome->ours = ticket && strcmp (ticket, "i1.a.1") == 0;
}

static void
on_scanned (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  (void)rows;
  Lookup *lookup = user;

  lookup->done = true;
  lookup->error = error == LB_OK && n_rows == 0 ? LB_ERROR_NOT_FOUND : error;
}

static void
run_until (struct event_base *base, const bool *condition)
{
  LbTime end = lb_clock_monotonic () + 20 * LB_SEC;

  while (!*condition && lb_clock_monotonic () < end)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      usleep (500);
    }
  cr_assert (*condition);
}

static bool
has_rows (struct event_base *base, LpPlatform *platform)
{
  Lookup lookup = { 0 };

  platform->klass->scan (platform, "claim/", on_scanned, &lookup);
  run_until (base, &lookup.done);
  return lookup.error == LB_OK;
}

/* Shops send orders with keys all day. If no row is ever deleted the operators' table fills up. A
 * row whose ticket can still be used stays; one that can't goes. */
Test (claims, rows_of_old_keys_are_deleted)
{
  struct event_base *base = event_base_new ();
  LpPlatform *platform = lp_memory_new (base);
  LnClaims *claims = ln_claims_new (base, platform, "a");
  Outcome first = { 0 };
  LbTime end = lb_clock_monotonic () + 20 * LB_SEC;

  ln_claims_claim_key (claims, "shop", "k1", "i1.a.1", 0, on_claimed, &first);
  run_until (base, &first.done);
  cr_assert (first.ours);
  while (has_rows (base, platform) && lb_clock_monotonic () < end)
    usleep (1000);
  cr_assert_not (has_rows (base, platform));

  Outcome second = { 0 };
  ln_claims_claim_key (claims, "shop", "k1", "i1.a.1", LB_TIME_NEVER, on_claimed, &second);
  run_until (base, &second.done);
  end = lb_clock_monotonic () + 3 * LB_SEC;
  while (lb_clock_monotonic () < end)
    cr_assert (has_rows (base, platform));
  ln_claims_free (claims);
  platform->klass->free (platform);
  event_base_free (base);
}
