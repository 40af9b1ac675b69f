#ifndef LC_CROWDING_H
#define LC_CROWDING_H

#include "lb-types.h"

#include <stdint.h>

/* How busy the known endpoints of each service are, by what their replies state. Answers a load
 * that outgrows the subset of endpoints that is known. No I/O. */

typedef struct LcCrowding LcCrowding;

LcCrowding *lc_crowding_new (void);
void lc_crowding_free (LcCrowding *crowding);

/* commands */
/* A reply stated requests that run or wait, and places. */
void lc_crowding_note (LcCrowding *crowding, const char *service, int64_t requests, int64_t slots);

/* queries */
/* The service whose endpoints are the busiest, above the limit; "": none. */
const char *lc_crowding_service (const LcCrowding *crowding);

#endif
