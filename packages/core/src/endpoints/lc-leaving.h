#ifndef LC_LEAVING_H
#define LC_LEAVING_H

#include "lc-endpoints.h"

#define LC_MAX_LEAVING_INCARNATIONS 8

/* The incarnations of an endpoint that are marked as leaving, as hashes of their names; 0: an
 * incarnation whose name is not known yet. */
typedef struct
{
  uint64_t current;                             /* incarnation that the endpoint reported last */
  uint64_t marked[LC_MAX_LEAVING_INCARNATIONS]; /* ring buffer of incarnations marked as leaving */
  size_t n_marked;            /* number of incarnations marked, including overwritten ones */
  bool is_marked_by_platform; /* the platform's list marks the endpoint as leaving */
  uint64_t platform_marked_incarnation; /* incarnation at the time of the platform's mark */
  /* The platform's mark may be meant for an earlier incarnation. The current incarnation counts as
   * leaving while the platform marks it, but is not added to `marked`, which would be final. */
  bool is_platform_mark_ambiguous;
} LcLeaving;

/* Functions that change an LcLeaving. */
void lc_leaving_set_current_incarnation (LcLeaving *leaving, const char *incarnation);
void lc_leaving_mark_incarnation (LcLeaving *leaving, const char *incarnation);
void lc_leaving_set_marked_by_platform (LcLeaving *leaving, bool is_marked_by_platform);

/* Functions that only read an LcLeaving. */
bool lc_leaving_is_current_incarnation_leaving (const LcLeaving *leaving);

#endif
