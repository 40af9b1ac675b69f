#include "ln-context.h"

#include "ln-ticker.h"

#include <string.h>
#include <xxhash.h>

LcRequestId
ln_context_next_request_id (LnContext *context)
{
  return ++context->last_request_id;
}

/* The seed depends on the instance: with equal seeds, all instances would choose the same endpoint
 * among several equally good endpoints. */
uint64_t
ln_context_random_seed (const LnContext *context)
{
  return XXH64 (context->instance, strlen (context->instance), context->settings->seed);
}

double
ln_context_random_uniform (LnContext *context)
{
  if (!context->rng)
    {
      context->rng = gsl_rng_alloc (gsl_rng_taus2);
      gsl_rng_set (context->rng, (unsigned long)ln_context_random_seed (context));
    }
  return gsl_rng_uniform (context->rng);
}

LnTicker *
ln_context_get_ticker (LnContext *context)
{
  if (!context->ticker)
    context->ticker = ln_ticker_new (context->base);
  return context->ticker;
}

void
ln_context_clear (LnContext *context)
{
  ln_ticker_free (context->ticker);
  context->ticker = NULL;
  if (context->rng)
    gsl_rng_free (context->rng);
  context->rng = NULL;
}
