#ifndef SK_CRASHER_H
#define SK_CRASHER_H

#include "sk-world.h"

/* A caller whose request ends every service that begins it, and who sends it again and again, at
 * any instance. */
typedef struct SkCrasher SkCrasher;

#define SK_CRASHER_BODY "a body that ends services"

SkCrasher *sk_crasher_new (SkWorld *world);
void sk_crasher_free (SkCrasher *crasher);
void sk_crasher_tick (SkCrasher *crasher, LbTime now);
/* No more requests from now on. */
void sk_crasher_stop (SkCrasher *crasher);
/* One of them begins at a service, which ends. */
void sk_crasher_note_run (SkCrasher *crasher, const char *id, const char *service);

#endif
