#ifndef LN_DUTY_LEASE_H
#define LN_DUTY_LEASE_H

#include "ln-context.h"
#include "ln-messages.h"

/* Lease for a duty: work that only one instance may do at a time, such as ordering engines to load
 * weights or calling the platform for all instances. Each duty has its own lease, which is a row of
 * the store. A few instances, chosen by the capacity of their machines, are candidates for the
 * lease. */
typedef struct LnDutyLease LnDutyLease;

/* duty: name of the duty, not copied. receivers_check_fence: receivers of the holder's calls refuse
 * an old fencing token. on_change: called when this instance gained or lost the lease, after which
 * state from before the change is outdated. */
LnDutyLease *ln_duty_lease_new (LnContext *context,
                                const char *duty,
                                bool receivers_check_fence,
                                void (*on_change) (LbTime now, void *user),
                                void *user);
void ln_duty_lease_free (LnDutyLease *lease);

/* --- functions that change the lease's state --- */
/* Sets the instances from which the candidates are chosen. */
void ln_duty_lease_set_members (LnDutyLease *lease, const LnMembersMessage *members);
/* Renews or claims the lease if due. all_check_fences: every current receiver of the holder's calls
 * refuses an old fencing token. */
void ln_duty_lease_tick (LnDutyLease *lease, bool all_check_fences, LbTime now);
/* Reads the lease's row at the next tick. Call it when a receiver refused a call because of the
 * call's fencing token. */
void ln_duty_lease_request_read (LnDutyLease *lease, LbTime now);
/* Records that a call for the duty is sent now, and returns the call's fencing token. */
int64_t ln_duty_lease_begin_call (LnDutyLease *lease, LbTime now);
/* Releases the lease, with the best other candidate as the next holder. */
void ln_duty_lease_release (LnDutyLease *lease, LbTime now);

/* --- functions that only read the lease's state --- */
bool ln_duty_lease_is_held (const LnDutyLease *lease);
bool ln_duty_lease_is_candidate (const LnDutyLease *lease);
bool ln_duty_lease_is_released (const LnDutyLease *lease, LbTime now);
/* Whether this instance holds the lease and may make a call for the duty now; to be checked before
 * each call. fence_is_unchecked: the receiver accepts calls with any fencing token. */
bool ln_duty_lease_allows_call (const LnDutyLease *lease, bool fence_is_unchecked, LbTime now);

#endif
