#include "ln-claims.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-list.h"
#include "lb-log.h"
#include "lc-ticket.h"
#include "lp-platform.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define SWEEP_SECONDS 1
#define SWEEP_ROWS 64

typedef struct
{
  LbLink link;
  LnClaims *claims;
  char key[64];
  char ticket[LC_TICKET_SIZE];
  LbTime until;
  LnClaimDone done;
  void *user;
} Claim;

/* A row that this instance has written and must delete. */
typedef struct
{
  LbLink link;
  char key[64];
  LbTime until;
} OwnRow;

struct LnClaims
{
  LpPlatform *platform;
  struct event *sweep;
  LbList rows;
  LbName incarnation;
  uint64_t writes;
  LbList pending;
};

static LbMetric claimed
    = LB_COUNTER_INIT ("lentilspindle_keys_claimed_total",
                       NULL,
                       "Idempotency keys that this instance was first to claim");

static LbMetric deleted = LB_COUNTER_INIT ("lentilspindle_key_sweeps_total",
                                           NULL,
                                           "Writes that deleted rows of old idempotency keys");

static void
on_deleted (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  (void)user;
  if (error == LB_OK)
    lb_metric_add (&deleted, 1);
  else
    lb_metric_count_error (error);
}

/* Rows of keys would fill the table for ever. Only the instance that wrote a row deletes it, many
 * in one write, so no condition is needed; what a failed write leaves behind stays. */
static void
on_sweep (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnClaims *claims = user;
  LpPut puts[SWEEP_ROWS] = { 0 };
  char keys[SWEEP_ROWS][sizeof ((OwnRow *)0)->key];
  char token[LB_NAME_MAX + 40];
  size_t n = 0;
  LbTime now = lb_clock_monotonic ();

  LB_LIST_FOREACH (&claims->rows, OwnRow, link, row)
  {
    if (row->until > now || n == SWEEP_ROWS)
      continue;
    LB_COPY (keys[n], row->key);
    puts[n].key = keys[n];
    n++;
    lb_list_remove (&claims->rows, &row->link);
    free (row);
  }
  if (n == 0)
    return;
  snprintf (token, sizeof token, "unclaim-%s-%" PRIu64, claims->incarnation, ++claims->writes);
  const LpTransaction transaction = { .token = token, .puts = puts, .n_puts = n };
  claims->platform->klass->transact (claims->platform, &transaction, LP_PRIORITY_STATUS, on_deleted,
                                     claims);
}

LnClaims *
ln_claims_new (struct event_base *base, struct LpPlatform *platform, const char *incarnation)
{
  const struct timeval period = { .tv_sec = SWEEP_SECONDS };
  LnClaims *claims = LB_NEW (LnClaims);

  claims->sweep = event_new (base, -1, EV_PERSIST, on_sweep, claims);
  event_add (claims->sweep, &period);
  lb_list_init (&claims->rows);

  claims->platform = platform;
  LB_COPY (claims->incarnation, incarnation);
  lb_list_init (&claims->pending);
  return claims;
}

static void
claim_free (Claim *claim)
{
  lb_list_remove (&claim->claims->pending, &claim->link);
  free (claim);
}

/* To be called when no answer of the platform can come any more. */
void
ln_claims_free (LnClaims *claims)
{
  if (!claims)
    return;
  LB_LIST_FOREACH (&claims->pending, Claim, link, claim)
  {
    claim_free (claim);
  }
  LB_LIST_FOREACH (&claims->rows, OwnRow, link, row)
  {
    free (row);
  }
  event_free (claims->sweep);
  free (claims);
}

bool
ln_claims_is_idle (const LnClaims *claims)
{
  return lb_list_is_empty (&claims->pending);
}

static void
own_row (const Claim *claim)
{
  OwnRow *row = LB_NEW (OwnRow);

  LB_COPY (row->key, claim->key);
  row->until = claim->until;
  lb_list_append (&claim->claims->rows, &row->link);
}

static void
finish (Claim *claim, const char *ticket)
{
  if (strcmp (ticket, claim->ticket) == 0)
    own_row (claim);
  claim->done (ticket, NULL, claim->user);
  claim_free (claim);
}

/* Nothing was dispatched and nothing will be under this claim, so "not run" is true, also when the
 * row was written after all: then it names a ticket that is still unused. */
static void
refuse (Claim *claim, LbErrorCode cause)
{
  LbError error = { 0 };

  lb_error_set (&error, cause == LB_ERROR_STORE_BUSY ? LB_ERROR_OVERLOADED : LB_ERROR_NOT_READY,
                "idempotency-key", "the key can't be claimed: %s", lb_error_name (cause));
  claim->done (NULL, &error, claim->user);
  claim_free (claim);
}

static void
on_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Claim *claim = user;

  if (error == LB_OK && n_rows == 1)
    finish (claim, rows[0].value);
  else
    refuse (claim, error == LB_OK ? LB_ERROR_NOT_FOUND : error);
}

/* A reply of the store that is lost leaves open whether the row was written: it is read back, and
 * what it says holds, not what was hoped for. */
static void
on_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  Claim *claim = user;
  LpPlatform *platform = claim->claims->platform;

  switch (error)
    {
    case LB_OK:
      lb_metric_add (&claimed, 1);
      finish (claim, claim->ticket);
      break;
    case LB_ERROR_CONDITION_FAILED:
    case LB_ERROR_STORE_UNKNOWN:
      platform->klass->get (platform, claim->key, on_read, claim);
      break;
    default:
      refuse (claim, error);
      break;
    }
}

static void
make_key (Claim *claim, const char *caller, const char *key)
{
  char *both = lb_asprintf ("%s\n%s", caller, key);
  XXH128_hash_t hash = XXH3_128bits (both, strlen (both));

  snprintf (claim->key, sizeof claim->key, "claim/%016" PRIx64 "%016" PRIx64, hash.high64,
            hash.low64);
  free (both);
}

void
ln_claims_take (LnClaims *claims,
                const char *caller,
                const char *key,
                const char *ticket,
                LbTime until,
                LnClaimDone done,
                void *user)
{
  Claim *claim = LB_NEW (Claim);
  char token[LB_NAME_MAX + 40];

  claim->claims = claims;
  claim->done = done;
  claim->until = until;
  claim->user = user;
  LB_COPY (claim->ticket, ticket);
  make_key (claim, caller, key);
  lb_list_append (&claims->pending, &claim->link);
  snprintf (token, sizeof token, "claim-%s-%" PRIu64, claims->incarnation, ++claims->writes);
  const LpCondition absent = { .key = claim->key, .version = 0 };
  const LpPut put = { .key = claim->key, .value = claim->ticket };
  const LpTransaction transaction
      = { .token = token, .conditions = &absent, .n_conditions = 1, .puts = &put, .n_puts = 1 };
  claims->platform->klass->transact (claims->platform, &transaction, LP_PRIORITY_LEDGER, on_written,
                                     claim);
}
