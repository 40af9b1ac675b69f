#ifndef LN_LEASE_H
#define LN_LEASE_H

#include "lc-lease.h"
#include "lp-platform.h"

/* This header does the I/O for LcLease, which decides when to read or write the lease's row in the
 * store. */

/* Passes the result of an LC_LEASE_READ to the lease, which appends its next actions to actions. */
void ln_lease_handle_read_result (LcLease *lease,
                                  LbErrorCode error,
                                  const LpRow *rows,
                                  size_t n_rows,
                                  LbTime now,
                                  LbList *actions);
/* Executes an LC_LEASE_WRITE: writes the action's row to the store if the stored row still has the
 * expected version. token: makes retries idempotent; "": none. */
void ln_lease_write_row (LpPlatform *platform,
                         const char *key,
                         const char *token,
                         const LcLeaseAction *action,
                         LpTransactDone done,
                         void *user);

#endif
