#ifndef LN_MEMBERS_H
#define LN_MEMBERS_H

#include "lc-membership.h"
#include "ln-messages.h"

/* Posts the present view as LN_MEMBERS to all tasks, logs it and sets the gauges. */
void ln_members_publish (const LcMembership *membership, LnHub *hub);
/* Copies the totals of the membership to the counters. */
void ln_members_count (const LcMembership *membership);

#endif
