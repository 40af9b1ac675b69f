#ifndef SK_CRASHER_H
#define SK_CRASHER_H

#include "sk-world.h"

/* A caller of fatal requests: each crashes every service that starts it. The caller sends them
 * again and again, to random instances, which must quarantine them. */
typedef struct SkCrasher SkCrasher;

#define SK_FATAL_BODY "a body that ends services"

SkCrasher *sk_crasher_new (SkWorld *world);
void sk_crasher_free (SkCrasher *crasher);
/* Sends the next request if it is due. */
void sk_crasher_tick (SkCrasher *crasher, LbTime now);
/* Sends no more requests from now on. */
void sk_crasher_stop (SkCrasher *crasher);
/* Called when a service has started the fatal request `id` and is about to crash. */
void sk_crasher_record_run (SkCrasher *crasher, const char *id, const char *service);

#endif
