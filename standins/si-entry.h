#ifndef SI_ENTRY_H
#define SI_ENTRY_H

#include "lh-fetch.h"

#define SI_ENTRY_MAX_ADDRESSES 16

struct event;

/* The entry addresses of a caller, refreshed periodically from any of them. */
typedef struct
{
  LhPool *pool;
  struct event *refresh_timer;
  char path[128];
  LbName addresses[SI_ENTRY_MAX_ADDRESSES];
  size_t n_addresses;
  size_t refresh_from; /* index of the address to refresh from */
  LhFetch *refresh;    /* in flight; NULL: none */
  LbTime refresh_period;
} SiEntry;

void si_entry_init (SiEntry *entry,
                    struct event_base *base,
                    LhPool *pool,
                    const char *const *addresses,
                    size_t n_addresses);
void si_entry_clear (SiEntry *entry);
void si_entry_start_refresh (SiEntry *entry, const char *caller, LbTime refresh_period);
/* Wraps around after the last address. */
const char *si_entry_address (const SiEntry *entry, size_t n);

#endif
