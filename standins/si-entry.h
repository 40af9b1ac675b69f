#ifndef SI_ENTRY_H
#define SI_ENTRY_H

#include "lh-fetch.h"

#define SI_ENTRY_MAX_ADDRESSES 16

struct event;

/* The addresses that a caller uses: asked of any of them, kept for their time to live. */
typedef struct
{
  LhPool *pool;
  struct event *timer;
  char path[128];
  LbName addresses[SI_ENTRY_MAX_ADDRESSES];
  size_t n_addresses;
  size_t asked; /* the one asked last */
  LhFetch *fetch;
  LbTime period; /* 0: the addresses are never asked for */
} SiEntry;

void si_entry_init (SiEntry *entry,
                    struct event_base *base,
                    LhPool *pool,
                    const char *const *addresses,
                    size_t n_addresses);
void si_entry_clear (SiEntry *entry);
void si_entry_start_refresh (SiEntry *entry, const char *caller, LbTime period);
/* The n-th choice; there is always one. */
const char *si_entry_address (const SiEntry *entry, size_t n);

#endif
