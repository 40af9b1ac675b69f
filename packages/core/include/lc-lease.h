#ifndef LC_LEASE_H
#define LC_LEASE_H

#include "lc-types.h"

struct json_object;

/* The right to do what only one instance may do at a time, for example to order the weights of a
 * pool, over a row of the conditional table.
 * No I/O: commands append actions that the caller carries out; every READ and WRITE is answered
 * once by lc_lease_read_completed or lc_lease_write_completed. */

/* The row's value. */
typedef struct
{
  LbName holder;
  char incarnation[40];
  int64_t fence;   /* grows by one each time that the lease is claimed */
  int64_t renewal; /* number of the holder's write; names it after a lost reply */
  bool released;
} LcLeaseRow;

struct json_object *lc_lease_row_to_json (const LcLeaseRow *row);
bool lc_lease_row_from_text (const char *text, LcLeaseRow *row);

typedef enum
{
  LC_LEASE_READ,
  LC_LEASE_WRITE, /* row, under the condition that the table's row still has this version */
  LC_LEASE_GAINED,
  LC_LEASE_LOST
} LcLeaseActionType;

typedef struct
{
  LbLink link;
  LcLeaseActionType type;
  LcLeaseRow row;
  int64_t expected_version; /* WRITE: 0: the row must be absent */
} LcLeaseAction;

typedef struct
{
  LbName instance;
  char incarnation[40];
  LbTime duration;             /* of the lease, from its last renewal */
  LbTime poll_period;          /* between renewals, and between looks at another's lease */
  LbTime observer_poll_period; /* between looks of an instance that is no candidate */
  LbTime order_lifetime;       /* longest time that an order may be on its way */
  /* A holder that got the lease back from another one gives no order for so long after it lost it.
   * 0: at once. */
  LbTime reacquire_delay;
  double max_clock_drift; /* most by which two clocks differ in rate, as a share */
} LcLeaseSettings;

void lc_lease_settings_init (LcLeaseSettings *settings);

typedef struct LcLease LcLease;

LcLease *lc_lease_new (const LcLeaseSettings *settings, LbTime now, LbTime wall);
void lc_lease_free (LcLease *lease);

/* commands */
/* 0 for the first candidate, and so on; -1: does not claim. */
void lc_lease_set_rank (LcLease *lease, int rank);
/* wall is the wall clock in microseconds; only its steps against now are looked at. */
void lc_lease_tick (LcLease *lease, LbTime now, LbTime wall, LbList *actions);
/* error: LB_OK with row and version, LB_ERROR_NOT_FOUND, or a failure of the store. */
void lc_lease_read_completed (LcLease *lease,
                              LbErrorCode error,
                              const LcLeaseRow *row,
                              int64_t version,
                              LbTime now,
                              LbList *actions);
void lc_lease_write_completed (LcLease *lease, LbErrorCode error, LbTime now, LbList *actions);
/* No more orders from now on; the lease is given up so that another can claim it at once. */
void lc_lease_release (LcLease *lease, LbTime now, LbList *actions);
/* The process that holds the lease by the row of this version is known to have ended, for another
 * one runs under its name: nobody waits for the end of its term. Orders of it that are still on
 * their way are refused by the younger fencing number, or outlived, see lc_lease_can_order. */
void lc_lease_mark_holder_ended (LcLease *lease, int64_t version, LbTime now);
/* What another instance's row shows of the one that holds the lease. */
typedef struct
{
  const char *incarnation;
  int64_t row_version;        /* of its row */
  bool alive;                 /* its row is renewed */
  bool endpoints_check_fence; /* every endpoint refuses an order with an old fencing number */
} LcLeaseHolderView;

/* Another instance says that it gave the lease up: look now. */
void lc_lease_read_soon (LcLease *lease, LbTime now);

/* queries */
/* Whether an order may be given now; checked before each one. unfenced: for an endpoint that takes
 * orders with any fencing number. */
bool lc_lease_can_order (const LcLease *lease, bool unfenced, LbTime now);
int64_t lc_lease_fence (const LcLease *lease);
bool lc_lease_is_held (const LcLease *lease);
/* As it was set; negative: this instance is no candidate. */
int lc_lease_rank (const LcLease *lease);
/* True when nothing of the lease is left to give up. */
bool lc_lease_is_released (const LcLease *lease, LbTime now);
/* Version of the last row that was seen; 0: there is none. */
int64_t lc_lease_row_version (const LcLease *lease);
/* The last row that was seen; holder is empty when there is none. */
const LcLeaseRow *lc_lease_row (const LcLease *lease);
/* Whether the lease may be claimed before the end of its term, by what is seen of its holder. */
bool lc_lease_holder_has_ended (const LcLease *lease, const LcLeaseHolderView *view);

#endif
