#include "ln-context.h"

#include <string.h>
#include <xxhash.h>

/* The next id of a request of this process; never given twice. */
LcRequestId
ln_context_next_request (LnContext *context)
{
  return ++context->next_request;
}

/* Instances that choose alike among equals would all send to the same endpoint. */
uint64_t
ln_context_seed (const LnContext *context)
{
  return XXH64 (context->instance, strlen (context->instance), context->settings->seed);
}
