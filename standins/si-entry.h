#ifndef SI_ENTRY_H
#define SI_ENTRY_H

#include "lh-fetch.h"

#define SI_MAX_ENTRY_ADDRESSES 16

struct event;

/* The instance addresses that a caller may use, refreshed periodically with GET /v1/entry from one
 * of them. */
typedef struct
{
  LhPool *pool;
  struct event *refresh_timer;
  char path[128];
  LbName addresses[SI_MAX_ENTRY_ADDRESSES];
  size_t n_addresses;
  size_t refresh_from; /* index of the address that the next refresh calls */
  LhFetch *refresh;    /* refresh in flight; NULL: none */
  LbTime refresh_period;
} SiEntryAddresses;

void si_entry_addresses_init (SiEntryAddresses *list,
                              struct event_base *base,
                              LhPool *pool,
                              const char *const *addresses,
                              size_t n_addresses);
void si_entry_addresses_clear (SiEntryAddresses *list);
void si_entry_addresses_start_refresh (SiEntryAddresses *list,
                                       const char *caller,
                                       LbTime refresh_period);
/* Returns the address at index modulo the number of addresses. */
const char *si_entry_addresses_get (const SiEntryAddresses *list, size_t index);

#endif
