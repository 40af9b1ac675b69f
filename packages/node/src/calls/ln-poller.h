#ifndef LN_POLLER_H
#define LN_POLLER_H

#include "lc-endpoints.h"
#include "lh-fetch.h"

struct event_base;

/* Polls every endpoint periodically for its load report, and every engine also for its prefix-cache
 * events. */
typedef struct LnPoller LnPoller;

typedef struct
{
  void (*on_report) (const char *endpoint, const LcLoadReport *report, void *user);
  void (*on_cache_event) (
      const char *endpoint, uint64_t sequence, bool stored, uint64_t prefix, void *user);
} LnPollerHandlers;

LnPoller *ln_poller_new (struct event_base *base,
                         LhPool *pool,
                         LbTime period,
                         const LnPollerHandlers *handlers,
                         void *user);
void ln_poller_free (LnPoller *poller);
void ln_poller_configure (LnPoller *poller, const LcResourceSet *set);

#endif
