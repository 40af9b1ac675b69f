#ifndef LC_ENTRY_H
#define LC_ENTRY_H

#include "lc-membership.h"

/* Addresses that a caller is given. */
#define LC_MAX_ENTRY_ADDRESSES 3

/* Chooses the instances that a caller shall connect to, in order; indexes into views. */
typedef struct
{
  size_t chosen[LC_MAX_ENTRY_ADDRESSES];
  size_t n_chosen;
} LcEntryChoice;

void lc_entry_choose (LcEntryChoice *entry,
                      const LcMemberView *views,
                      size_t n_views,
                      const char *caller,
                      const char *data_centre);

#endif
