#ifndef LN_LEASE_H
#define LN_LEASE_H

#include "lc-lease.h"
#include "lp-platform.h"

/* Reads and writes the store row of a lease; LcLease decides when, and this does the I/O. */

/* Passes the result of reading the row to the lease, which appends its next actions to actions. */
void ln_lease_handle_read_result (LcLease *lease,
                                  LbErrorCode error,
                                  const LpRow *rows,
                                  size_t n_rows,
                                  LbTime now,
                                  LbList *actions);
/* Executes an action of type LC_LEASE_WRITE: writes the row that it contains. */
void ln_lease_write_row (LpPlatform *platform,
                         const char *key,
                         const char *token,
                         const LcLeaseAction *action,
                         LpTransactDone done,
                         void *user);

#endif
