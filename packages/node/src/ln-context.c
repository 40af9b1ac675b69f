#include "ln-context.h"

/* The next id of a request of this process; never given twice. */
LcRequestId
ln_context_next_request (LnContext *context)
{
  return ++context->next_request;
}
