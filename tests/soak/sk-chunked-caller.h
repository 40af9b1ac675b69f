#ifndef SK_CHUNKED_CALLER_H
#define SK_CHUNKED_CALLER_H

#include "sk-world.h"

/* A caller of lookups whose bodies have chunk extensions and trailer fields and arrive in two
 * segments. It sends two requests on each connection, one behind the other. */
typedef struct SkChunkedCaller SkChunkedCaller;

SkChunkedCaller *sk_chunked_caller_new (SkWorld *world);
void sk_chunked_caller_free (SkChunkedCaller *caller);
/* Sends the next requests if they are due, and checks the replies that have arrived. */
void sk_chunked_caller_tick (SkChunkedCaller *caller, LbTime now);

#endif
