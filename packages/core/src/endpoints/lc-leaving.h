#ifndef LC_LEAVING_H
#define LC_LEAVING_H

#include "lc-endpoints.h"

#define LC_MAX_LEAVING_INCARNATIONS 8

/* The incarnations of an endpoint that are marked as leaving, as hashes of their names; 0: an
 * incarnation whose name is not known yet. */
typedef struct
{
  uint64_t current;                             /* the one that the endpoint stated last */
  uint64_t marked[LC_MAX_LEAVING_INCARNATIONS]; /* ring buffer of incarnations marked as leaving */
  size_t n_marked;                              /* marked so far, including those overwritten */
  bool platform_listed;         /* the platform's list marks the endpoint as leaving */
  uint64_t platform_listed_for; /* current incarnation when the list first marked the endpoint */
  /* The list's mark may be meant for an earlier incarnation: the current one counts as leaving
   * while it is listed, but gets no mark of its own, which would be final. */
  bool is_ambiguous;
} LcLeaving;

/* commands */
void lc_leaving_set_current_incarnation (LcLeaving *leaving, const char *incarnation);
void lc_leaving_mark_incarnation (LcLeaving *leaving, const char *incarnation);
void lc_leaving_set_marked_by_platform (LcLeaving *leaving, bool is_listed);

/* queries */
bool lc_leaving_is_current_incarnation_leaving (const LcLeaving *leaving);

#endif
