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

#define EXPIRED_ROW_SWEEP_PERIOD_SECONDS 1
#define MAX_EXPIRED_ROWS_PER_SWEEP 64

typedef struct
{
  LbLink link;
  LnClaims *claims;
  char key[64];
  char ticket[LC_TICKET_SIZE];
  LbTime expires_at;
  LnClaimHandler on_done;
  void *user;
} Claim;

/* An idempotency key's row that this instance wrote to the store, and deletes after the row has
 * expired. */
typedef struct
{
  LbLink link;
  char key[64];
  LbTime expires_at;
} WrittenRow;

struct LnClaims
{
  LpPlatform *platform;
  struct event *sweep_timer;
  LbList written_rows; /* WrittenRow items, deleted from the store after they expire */
  LbName incarnation;
  uint64_t n_transactions; /* number of transactions sent; makes their tokens unique */
  LbList pending;          /* Claim items that wait for an answer of the store */
};

static LbMetric keys_claimed
    = LB_COUNTER_INIT ("lentilspindle_keys_claimed_total",
                       NULL,
                       "Idempotency keys that this instance was the first to claim");

static LbMetric row_sweeps
    = LB_COUNTER_INIT ("lentilspindle_key_sweeps_total",
                       NULL,
                       "Transactions that deleted rows of expired idempotency keys");

static void
on_expired_rows_deleted (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  (void)user;
  if (error == LB_OK)
    lb_metric_add (&row_sweeps, 1);
  else
    lb_metric_count_error (error);
}

/* Deletes expired rows, which would otherwise fill the store's table. Only the instance that wrote
 * a row deletes it, so the transaction has no condition. If the transaction fails, its rows stay in
 * the store. */
static void
on_expired_rows_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnClaims *claims = user;
  LpPut puts[MAX_EXPIRED_ROWS_PER_SWEEP] = { 0 };
  char keys[MAX_EXPIRED_ROWS_PER_SWEEP][sizeof ((WrittenRow *)0)->key];
  char token[LB_NAME_MAX + 40];
  size_t n_puts = 0;
  LbTime now = lb_clock_monotonic ();

  LB_LIST_FOREACH (&claims->written_rows, WrittenRow, link, row)
  {
    if (row->expires_at > now || n_puts == MAX_EXPIRED_ROWS_PER_SWEEP)
      continue;
    LB_COPY (keys[n_puts], row->key);
    puts[n_puts].key = keys[n_puts];
    n_puts++;
    lb_list_remove (&claims->written_rows, &row->link);
    free (row);
  }
  if (n_puts == 0)
    return;
  snprintf (token, sizeof token, "unclaim-%s-%" PRIu64, claims->incarnation,
            ++claims->n_transactions);
  const LpTransaction transaction = { .token = token, .puts = puts, .n_puts = n_puts };
  claims->platform->klass->transact (claims->platform, &transaction, LP_PRIORITY_STATUS,
                                     on_expired_rows_deleted, claims);
}

LnClaims *
ln_claims_new (struct event_base *base, struct LpPlatform *platform, const char *incarnation)
{
  const struct timeval period = { .tv_sec = EXPIRED_ROW_SWEEP_PERIOD_SECONDS };
  LnClaims *claims = LB_NEW (LnClaims);

  claims->sweep_timer = event_new (base, -1, EV_PERSIST, on_expired_rows_timer, claims);
  event_add (claims->sweep_timer, &period);
  lb_list_init (&claims->written_rows);

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

/* Must not be called while the platform may still answer a pending call, since the callbacks of
 * these calls use the LnClaims. */
void
ln_claims_free (LnClaims *claims)
{
  if (!claims)
    return;
  LB_LIST_FOREACH (&claims->pending, Claim, link, claim)
  {
    claim_free (claim);
  }
  LB_LIST_FOREACH (&claims->written_rows, WrittenRow, link, row)
  {
    free (row);
  }
  event_free (claims->sweep_timer);
  free (claims);
}

bool
ln_claims_is_idle (const LnClaims *claims)
{
  return lb_list_is_empty (&claims->pending);
}

static void
remember_written_row (const Claim *claim)
{
  WrittenRow *row = LB_NEW (WrittenRow);

  LB_COPY (row->key, claim->key);
  row->expires_at = claim->expires_at;
  lb_list_append (&claim->claims->written_rows, &row->link);
}

static void
finish_key_claim (Claim *claim, const char *ticket)
{
  if (strcmp (ticket, claim->ticket) == 0)
    remember_written_row (claim);
  claim->on_done (ticket, NULL, claim->user);
  claim_free (claim);
}

/* Fails the claim with a "not run" error, which is true even if the row was written: no call is
 * dispatched for the claim, and the row then names an unused ticket. */
static void
fail_key_claim (Claim *claim, LbErrorCode cause)
{
  LbError error = { 0 };

  lb_error_set (&error, cause == LB_ERROR_STORE_BUSY ? LB_ERROR_OVERLOADED : LB_ERROR_NOT_READY,
                "idempotency-key", "the key could not be claimed in the store: %s",
                lb_error_name (cause));
  claim->on_done (NULL, &error, claim->user);
  claim_free (claim);
}

static void
on_claim_row_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Claim *claim = user;

  if (error == LB_OK && n_rows == 1)
    finish_key_claim (claim, rows[0].value);
  else
    fail_key_claim (claim, error == LB_OK ? LB_ERROR_NOT_FOUND : error);
}

/* If the store's reply is lost, the row may or may not have been written. The row is then read
 * back, and names the ticket that holds the key. */
static void
on_claim_row_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  Claim *claim = user;
  LpPlatform *platform = claim->claims->platform;

  switch (error)
    {
    case LB_OK:
      lb_metric_add (&keys_claimed, 1);
      finish_key_claim (claim, claim->ticket);
      break;
    case LB_ERROR_CONDITION_FAILED:
    case LB_ERROR_STORE_UNKNOWN:
      platform->klass->get (platform, claim->key, on_claim_row_read, claim);
      break;
    default:
      fail_key_claim (claim, error);
      break;
    }
}

static void
set_claim_row_key (Claim *claim, const char *caller, const char *key)
{
  char *scoped_key = lb_asprintf ("%s\n%s", caller, key);
  XXH128_hash_t hash = XXH3_128bits (scoped_key, strlen (scoped_key));

  snprintf (claim->key, sizeof claim->key, "claim/%016" PRIx64 "%016" PRIx64, hash.high64,
            hash.low64);
  free (scoped_key);
}

void
ln_claims_claim_idempotency_key (LnClaims *claims,
                                 const char *caller,
                                 const char *key,
                                 const char *ticket,
                                 LbTime expires_at,
                                 LnClaimHandler on_done,
                                 void *user)
{
  Claim *claim = LB_NEW (Claim);
  char token[LB_NAME_MAX + 40];

  claim->claims = claims;
  claim->on_done = on_done;
  claim->expires_at = expires_at;
  claim->user = user;
  LB_COPY (claim->ticket, ticket);
  set_claim_row_key (claim, caller, key);
  lb_list_append (&claims->pending, &claim->link);
  snprintf (token, sizeof token, "claim-%s-%" PRIu64, claims->incarnation,
            ++claims->n_transactions);
  const LpCondition absent = { .key = claim->key, .version = 0 };
  const LpPut put = { .key = claim->key, .value = claim->ticket };
  const LpTransaction transaction
      = { .token = token, .conditions = &absent, .n_conditions = 1, .puts = &put, .n_puts = 1 };
  claims->platform->klass->transact (claims->platform, &transaction, LP_PRIORITY_LEDGER,
                                     on_claim_row_written, claim);
}
