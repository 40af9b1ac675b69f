#ifndef SK_CRASHER_H
#define SK_CRASHER_H

#include "sk-world.h"

/* Simulates a caller of fatal requests: a service that starts one of them crashes. The requests
 * have the same content and go to random instances, which must quarantine the content. */
typedef struct SkCrasher SkCrasher;

#define SK_FATAL_BODY "a body that ends services"

SkCrasher *sk_crasher_new (SkWorld *world);
void sk_crasher_free (SkCrasher *crasher);
/* Sends the next fatal request if it is due. */
void sk_crasher_send_fatal_request_if_due (SkCrasher *crasher, LbTime now);
/* Stops sending fatal requests. */
void sk_crasher_stop_new_requests (SkCrasher *crasher);
/* Records that a service has started the fatal request `id` and is about to crash. */
void sk_crasher_record_crash (SkCrasher *crasher, const char *id, const char *service);

#endif
