#ifndef LN_DUTY_LEASE_H
#define LN_DUTY_LEASE_H

#include "ln-context.h"
#include "ln-messages.h"

/* Which instance has a duty that only one may have at a time: to order the engines to load weights,
 * to make the platform's calls for all. Each duty has a lease of its own, a row of the store. A few
 * instances are candidates, by what their machines can bear. */
typedef struct LnDutyLease LnDutyLease;

/* duty: its name, which stays the caller's; receivers_check_fence: the receivers of the holder's
 * calls refuse an old fencing number; on_change: gained or lost; what was believed before holds no
 * more. */
LnDutyLease *ln_duty_lease_new (LnContext *context,
                                const char *duty,
                                bool receivers_check_fence,
                                void (*on_change) (LbTime now, void *user),
                                void *user);
void ln_duty_lease_free (LnDutyLease *lease);

/* commands */
void ln_duty_lease_set_members (LnDutyLease *lease, const LnMembersMessage *members);
/* all_check_fences: every receiver there is now refuses an old fencing number. */
void ln_duty_lease_tick (LnDutyLease *lease, bool all_check_fences, LbTime now);
/* A receiver refused a call for its fencing number. */
void ln_duty_lease_read_soon (LnDutyLease *lease, LbTime now);
void ln_duty_lease_release (LnDutyLease *lease, LbTime now);

/* queries */
bool ln_duty_lease_is_held (const LnDutyLease *lease);
bool ln_duty_lease_is_candidate (const LnDutyLease *lease);
bool ln_duty_lease_is_released (const LnDutyLease *lease, LbTime now);
/* unfenced: to a receiver that takes calls of any holder. */
bool ln_duty_lease_can_order (const LnDutyLease *lease, bool unfenced, LbTime now);
int64_t ln_duty_lease_fence (const LnDutyLease *lease);

#endif
