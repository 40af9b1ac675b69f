#ifndef LC_UTILISATION_H
#define LC_UTILISATION_H

#include "lb-types.h"

#include <stdint.h>

/* How busy the known endpoints of each service are, by what their replies state. Answers a load
 * that outgrows the subset of endpoints that is known. No I/O. */

typedef struct LcUtilisation LcUtilisation;

LcUtilisation *lc_utilisation_new (void);
void lc_utilisation_free (LcUtilisation *crowding);

/* commands */
/* A reply stated requests that run or wait, and places. */
void lc_utilisation_add_report (LcUtilisation *crowding,
                                const char *service,
                                int64_t requests,
                                int64_t slots);

/* queries */
/* The service whose endpoints are the busiest, above the limit; "": none. */
const char *lc_utilisation_find_overloaded_service (const LcUtilisation *crowding);

#endif
