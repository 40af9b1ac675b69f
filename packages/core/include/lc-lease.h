#ifndef LC_LEASE_H
#define LC_LEASE_H

#include "lc-types.h"

struct json_object;

/* This header declares an exclusive lease over one row of a table with conditional writes, for work
 * that only one instance may do at a time, for example sending orders to the engines of a pool,
 * such as the order to load a weight version. No I/O: functions that change the lease append
 * actions that the caller carries out; every READ and WRITE is answered exactly once by
 * lc_lease_read_completed or lc_lease_write_completed. */

/* Value of the table row that stores the lease. */
typedef struct
{
  LbName holder;
  char incarnation[40];
  int64_t fence;   /* fencing token; incremented by each claim */
  int64_t renewal; /* counter of the holder's writes; identifies a write whose reply was lost */
  bool released;
  LbName next_holder; /* released: instance that should claim the lease; "": any candidate */
  /* released: for how long no order was in transit, so that the next holder need not wait for
   * orders of this one; 0: unknown */
  int64_t quiet_ms;
  LbName previous_holder; /* holder before this one, if it was another instance; "": unknown */
} LcLeaseRow;

struct json_object *lc_lease_row_to_json (const LcLeaseRow *row);
bool lc_lease_row_from_text (const char *text, LcLeaseRow *row);

typedef enum
{
  LC_LEASE_READ,
  LC_LEASE_WRITE, /* write row if the stored row still has expected_version */
  LC_LEASE_GAINED,
  LC_LEASE_LOST
} LcLeaseActionType;

typedef struct
{
  LbLink link;
  LcLeaseActionType type;
  LcLeaseRow row;
  int64_t expected_version; /* WRITE: version that the stored row must have; 0: the row must be
                               absent */
} LcLeaseAction;

typedef struct
{
  LbName instance;
  char incarnation[40];
  LbTime duration;              /* how long the lease is valid after its last renewal */
  LbTime poll_period;           /* time between reads by the holder, which renews after each read */
  LbTime candidate_poll_period; /* time between reads by a candidate; 0: poll_period */
  LbTime observer_poll_period;  /* time between reads by an instance that is not a candidate */
  LbTime order_lifetime;        /* longest time that an order may be in transit */
  /* A holder that loses the lease to another instance and regains it gives no orders for this long
   * after the loss; 0: no delay. */
  LbTime reacquire_delay;
  /* Each order is recorded with lc_lease_begin_order, so that a released row can tell for how long
   * no order has been sent. */
  bool records_orders;
  double max_clock_drift; /* largest difference in rate between two clocks, as a fraction */
} LcLeaseSettings;

void lc_lease_settings_init (LcLeaseSettings *settings);

typedef struct LcLease LcLease;

LcLease *lc_lease_new (const LcLeaseSettings *settings, LbTime now, LbTime wall);
void lc_lease_free (LcLease *lease);

/* Functions that change an LcLease. */

/* Sets this instance's position in the order in which instances claim the lease. 0: this instance
 * claims first; negative: this instance does not claim the lease. */
void lc_lease_set_claim_rank (LcLease *lease, int rank);
/* Does the periodic work: detects pauses, expires the lease and starts reads. wall: wall clock in
 * microseconds; only its jumps relative to now are used. */
void lc_lease_tick (LcLease *lease, LbTime now, LbTime wall, LbList *actions);
/* Reports the result of a READ. error: LB_OK with row and version, LB_ERROR_NOT_FOUND if there is
 * no row, or a failure of the store. */
void lc_lease_read_completed (LcLease *lease,
                              LbErrorCode error,
                              const LcLeaseRow *row,
                              int64_t version,
                              LbTime now,
                              LbList *actions);
void lc_lease_write_completed (LcLease *lease, LbErrorCode error, LbTime now, LbList *actions);
/* Records that this instance sends an order, and returns the fencing token of the order. Required
 * for each order if settings.records_orders is set. */
int64_t lc_lease_begin_order (LcLease *lease, LbTime now);
/* Names the candidate that should claim the lease when this instance releases it. */
void lc_lease_set_next_holder (LcLease *lease, const char *name);
/* Stops giving orders and releases the lease, so that another instance can claim it at once. */
void lc_lease_release (LcLease *lease, LbTime now, LbList *actions);
/* Notes that the process that wrote this version of the row has ended (see
 * lc_lease_holder_has_ended): candidates need not wait for the lease to expire. Orders of that
 * process still in transit are refused because of the next holder's higher fencing token, or
 * expire before its first order (see lc_lease_allows_order). */
void lc_lease_mark_holder_ended (LcLease *lease, int64_t version, LbTime now);
/* Liveness of the lease's holder, from its instance row. */
typedef struct
{
  const char *incarnation;
  int64_t row_version;        /* store version of the holder's instance row */
  bool alive;                 /* the holder still renews its instance row */
  bool endpoints_check_fence; /* every endpoint refuses orders with an old fencing token */
} LcLeaseHolderView;

/* Makes the next tick read the lease's row, because another instance reported that it released the
 * lease. */
void lc_lease_request_read (LcLease *lease, LbTime now);

/* Functions that only read an LcLease. */

/* Whether this instance may give an order now; check before each order. can_order_unfenced: the
 * endpoint accepts orders with any fencing token. */
bool lc_lease_allows_order (const LcLease *lease, bool can_order_unfenced, LbTime now);
int64_t lc_lease_fencing_token (const LcLease *lease);
bool lc_lease_is_held (const LcLease *lease);
/* Returns this instance's position in the order of claims, set by lc_lease_set_claim_rank;
 * negative: this instance does not claim the lease. */
int lc_lease_claim_rank (const LcLease *lease);
/* Whether nothing is left to release: this instance does not hold the lease, and the lease's row is
 * released, has expired or names another holder. */
bool lc_lease_is_released (const LcLease *lease, LbTime now);
/* Store version of the lease's row as last read; 0: there is no row. */
int64_t lc_lease_row_version (const LcLease *lease);
/* The lease's row as last read; its holder is empty when there is no row. */
const LcLeaseRow *lc_lease_row (const LcLease *lease);
/* Whether the lease may be claimed before it expires, judging by the instance row of the lease's
 * holder. */
bool lc_lease_holder_has_ended (const LcLease *lease, const LcLeaseHolderView *view);

#endif
