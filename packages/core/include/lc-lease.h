#ifndef LC_LEASE_H
#define LC_LEASE_H

#include "lc-types.h"

struct json_object;

/* Exclusive lease over one row of a table with conditional writes, for work that only one
 * instance may do at a time, for example giving the engines of a pool their orders, which are
 * commands such as loading a weight version. No I/O: commands append actions that the caller
 * carries out; every READ and WRITE is answered exactly once by lc_lease_read_completed or
 * lc_lease_write_completed. */

/* Value of the lease's row. */
typedef struct
{
  LbName holder;
  char incarnation[40];
  int64_t fence;   /* fencing number; incremented by each claim */
  int64_t renewal; /* number of the holder's write; identifies it after a lost reply */
  bool released;
} LcLeaseRow;

struct json_object *lc_lease_row_to_json (const LcLeaseRow *row);
bool lc_lease_row_from_text (const char *text, LcLeaseRow *row);

typedef enum
{
  LC_LEASE_READ,
  LC_LEASE_WRITE, /* of row, on condition that the stored row still has the expected version */
  LC_LEASE_GAINED,
  LC_LEASE_LOST
} LcLeaseActionType;

typedef struct
{
  LbLink link;
  LcLeaseActionType type;
  LcLeaseRow row;
  int64_t expected_version; /* WRITE: version that the stored row must have; 0: absent */
} LcLeaseAction;

typedef struct
{
  LbName instance;
  char incarnation[40];
  LbTime duration;             /* how long the lease is valid after its last renewal */
  LbTime poll_period;          /* between reads of holder and candidates; a holder renews at each */
  LbTime observer_poll_period; /* between reads of an instance that is not a candidate */
  LbTime order_lifetime;       /* longest time that an order may be in transit */
  /* A holder that regains the lease from another instance may give orders only this long after it
   * lost it; 0: at once. */
  LbTime reacquire_delay;
  double max_clock_drift; /* largest difference in rate between two clocks, as a fraction */
} LcLeaseSettings;

void lc_lease_settings_init (LcLeaseSettings *settings);

typedef struct LcLease LcLease;

LcLease *lc_lease_new (const LcLeaseSettings *settings, LbTime now, LbTime wall);
void lc_lease_free (LcLease *lease);

/* commands */
/* Position among the candidates, from 0; negative: this instance does not claim the lease. */
void lc_lease_set_rank (LcLease *lease, int rank);
/* wall: wall clock in microseconds; only its jumps relative to now are used. */
void lc_lease_tick (LcLease *lease, LbTime now, LbTime wall, LbList *actions);
/* error: LB_OK with row and version, LB_ERROR_NOT_FOUND, or a failure of the store. */
void lc_lease_read_completed (LcLease *lease,
                              LbErrorCode error,
                              const LcLeaseRow *row,
                              int64_t version,
                              LbTime now,
                              LbList *actions);
void lc_lease_write_completed (LcLease *lease, LbErrorCode error, LbTime now, LbList *actions);
/* Stops giving orders and releases the lease, so that another instance can claim it at once. */
void lc_lease_release (LcLease *lease, LbTime now, LbList *actions);
/* The process that wrote this version of the row is known to have ended, since another one runs
 * under its name: candidates need not wait for the lease to expire. Its orders still in transit are
 * refused because of the higher fencing number, or waited out, see lc_lease_allows_order. */
void lc_lease_mark_holder_ended (LcLease *lease, int64_t version, LbTime now);
/* Liveness of the lease's holder, from its instance row. */
typedef struct
{
  const char *incarnation;
  int64_t row_version;        /* store version of its instance row */
  bool alive;                 /* it still renews its row */
  bool endpoints_check_fence; /* every endpoint refuses orders with an old fencing number */
} LcLeaseHolderView;

/* Reads the row at the next tick, since another instance reported that it released the lease. */
void lc_lease_request_read (LcLease *lease, LbTime now);

/* queries */
/* Whether an order may be given now; to be checked before each order. unfenced: the endpoint
 * accepts orders with any fencing number. */
bool lc_lease_allows_order (const LcLease *lease, bool unfenced, LbTime now);
int64_t lc_lease_fencing_number (const LcLease *lease);
bool lc_lease_is_held (const LcLease *lease);
/* As set by lc_lease_set_rank. */
int lc_lease_rank (const LcLease *lease);
/* True when this instance holds nothing that it still has to release. */
bool lc_lease_is_released (const LcLease *lease, LbTime now);
/* Version of the row as last read; 0: there is none. */
int64_t lc_lease_row_version (const LcLease *lease);
/* The row as last read; holder is empty when there is none. */
const LcLeaseRow *lc_lease_row (const LcLease *lease);
/* Whether the lease may be claimed before it expires, judging by its holder's instance row. */
bool lc_lease_holder_has_ended (const LcLease *lease, const LcLeaseHolderView *view);

#endif
