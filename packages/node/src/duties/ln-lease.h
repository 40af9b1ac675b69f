#ifndef LN_LEASE_H
#define LN_LEASE_H

#include "lc-lease.h"
#include "lp-platform.h"

/* Reads and writes the row of an LcLease in the store. */

/* Passes the result of reading the lease's row to the lease. */
void ln_lease_read_completed (LcLease *lease,
                              LbErrorCode error,
                              const LpRow *rows,
                              size_t n_rows,
                              LbTime now,
                              LbList *actions);
/* Executes an LC_LEASE_WRITE. */
void ln_lease_write (LpPlatform *platform,
                     const char *key,
                     const char *token,
                     const LcLeaseAction *action,
                     LpTransactDone done,
                     void *user);

#endif
