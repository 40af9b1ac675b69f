#ifndef SK_ODD_ENDPOINT_H
#define SK_ODD_ENDPOINT_H

#include "sk-world.h"

/* An endpoint in trouble, for a while one more engine or lookup service: its answers are no HTTP,
 * end inside an event, refuse the request, or do not end. */
typedef struct SkOddEndpoint SkOddEndpoint;

SkOddEndpoint *sk_odd_endpoint_new (SkWorld *world);
void sk_odd_endpoint_free (SkOddEndpoint *odd_endpoint);
/* Starts the endpoint with a random kind of answer, unless it runs already. */
void sk_odd_endpoint_start (SkOddEndpoint *odd_endpoint);
/* Removes the endpoint when its time is over, or at once if is_ending is set. */
void sk_odd_endpoint_tick (SkOddEndpoint *odd_endpoint, bool is_ending, LbTime now);

#endif
