#ifndef SK_RENEWALS_H
#define SK_RENEWALS_H

#include "sk-world.h"

/* Checks that instances renew their rows soon after the store works again. */
typedef struct SkRenewals SkRenewals;

SkRenewals *sk_renewals_new (SkWorld *world);
void sk_renewals_free (SkRenewals *renewals);
void sk_renewals_check (SkRenewals *renewals, LbTime now);

#endif
