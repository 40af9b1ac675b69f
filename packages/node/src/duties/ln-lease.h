#ifndef LN_LEASE_H
#define LN_LEASE_H

#include "lc-lease.h"
#include "lp-platform.h"

/* Between an LcLease and its row in the store. */

/* Hands what was read of the row to the lease. */
void ln_lease_read_completed (LcLease *lease,
                              LbErrorCode error,
                              const LpRow *rows,
                              size_t n_rows,
                              LbTime now,
                              LbList *actions);
/* Carries out a LC_LEASE_WRITE. */
void ln_lease_write (LpPlatform *platform,
                     const char *key,
                     const char *token,
                     const LcLeaseAction *action,
                     LpTransactDone done,
                     void *user);

#endif
