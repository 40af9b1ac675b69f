#ifndef LC_ENTRY_H
#define LC_ENTRY_H

#include "lc-membership.h"

/* Maximum number of instance addresses returned to a caller. */
#define LC_MAX_ENTRY_ADDRESSES 3

/* The instances that a caller should connect to, in order of preference. */
typedef struct
{
  /* indexes of the chosen instances in the array of views given to lc_entry_choose_instances */
  size_t chosen[LC_MAX_ENTRY_ADDRESSES];
  size_t n_chosen;
} LcEntryChoice;

void lc_entry_choose_instances (LcEntryChoice *choice,
                                const LcMemberView *views,
                                size_t n_views,
                                const char *caller,
                                const char *data_centre);

#endif
