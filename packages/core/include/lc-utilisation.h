#ifndef LC_UTILISATION_H
#define LC_UTILISATION_H

#include "lb-types.h"

#include <stdint.h>

/* Mean utilisation of the known endpoints of each service, from the load that their replies state.
 * Tells when the subset of known endpoints is too small for the load. No I/O. */

typedef struct LcUtilisation LcUtilisation;

LcUtilisation *lc_utilisation_new (void);
void lc_utilisation_free (LcUtilisation *utilisation);

/* commands */
/* Load stated by one reply: requests running or waiting at the endpoint, and its slots. */
void lc_utilisation_add_report (LcUtilisation *utilisation,
                                const char *service,
                                int64_t requests,
                                int64_t slots);

/* queries */
/* The most utilised service, if it is overloaded; "": none. */
const char *lc_utilisation_find_overloaded_service (const LcUtilisation *utilisation);

#endif
