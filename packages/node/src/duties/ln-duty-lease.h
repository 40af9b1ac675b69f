#ifndef LN_DUTY_LEASE_H
#define LN_DUTY_LEASE_H

#include "ln-context.h"
#include "ln-messages.h"

/* Lease for a duty that only one instance may have at a time, such as ordering engines to load
 * weights or calling the platform for all instances. Each duty has its own lease, a row of the
 * store. A few instances are candidates, chosen by the capacity of their machines. */
typedef struct LnDutyLease LnDutyLease;

/* duty: its name, not copied. receivers_check_fence: the receivers of the holder's calls refuse an
 * old fencing number. on_change: the lease was gained or lost; state from before is outdated. */
LnDutyLease *ln_duty_lease_new (LnContext *context,
                                const char *duty,
                                bool receivers_check_fence,
                                void (*on_change) (LbTime now, void *user),
                                void *user);
void ln_duty_lease_free (LnDutyLease *lease);

/* commands */
void ln_duty_lease_set_members (LnDutyLease *lease, const LnMembersMessage *members);
/* all_check_fences: every current receiver refuses an old fencing number. */
void ln_duty_lease_tick (LnDutyLease *lease, bool all_check_fences, LbTime now);
/* Reads the lease's row at the next tick. To be called when a receiver refused a call because of
 * its fencing number. */
void ln_duty_lease_request_read (LnDutyLease *lease, LbTime now);
void ln_duty_lease_release (LnDutyLease *lease, LbTime now);

/* queries */
bool ln_duty_lease_is_held (const LnDutyLease *lease);
bool ln_duty_lease_is_candidate (const LnDutyLease *lease);
bool ln_duty_lease_is_released (const LnDutyLease *lease, LbTime now);
/* Whether the holder may make a call of its duty now; to be checked before each.
 * fence_is_unchecked: the receiver accepts calls with any fencing number. */
bool ln_duty_lease_allows_call (const LnDutyLease *lease, bool fence_is_unchecked, LbTime now);
int64_t ln_duty_lease_fencing_number (const LnDutyLease *lease);

#endif
