#ifndef LC_UTILISATION_H
#define LC_UTILISATION_H

#include "lb-types.h"

#include <stdint.h>

/* Mean utilisation of the known endpoints of each service, calculated from the load that the
 * endpoints state in their replies. Shows when the subset of endpoints that this instance knows is
 * too small for the load. No I/O. */

typedef struct LcUtilisation LcUtilisation;

LcUtilisation *lc_utilisation_new (void);
void lc_utilisation_free (LcUtilisation *utilisation);

/* Functions that change an LcUtilisation. */

/* Adds the load stated by one reply. requests: number running or waiting at the endpoint; slots:
 * number of requests that the endpoint can process concurrently. */
void lc_utilisation_add_report (LcUtilisation *utilisation,
                                const char *service,
                                int64_t requests,
                                int64_t slots);

/* Functions that only read an LcUtilisation. */

/* Name of the service with the highest mean utilisation if it is overloaded; "": no service is
 * overloaded. */
const char *lc_utilisation_find_overloaded_service (const LcUtilisation *utilisation);

#endif
