#ifndef LN_MEMBERS_H
#define LN_MEMBERS_H

#include "lc-membership.h"
#include "ln-messages.h"

/* Posts the current members as LN_MEMBERS to all tasks, logs them and sets the gauges. */
void ln_members_publish (const LcMembership *membership, LnHub *hub);
/* Adds to the metrics by how much the counts in LcMembershipTotals have grown since `counted`, and
 * sets `counted` to the current counts. */
void ln_members_update_counters (const LcMembership *membership, LcMembershipTotals *counted);

#endif
