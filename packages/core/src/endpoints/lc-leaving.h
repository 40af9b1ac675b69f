#ifndef LC_LEAVING_H
#define LC_LEAVING_H

#include "lc-endpoints.h"

#define LC_MAX_LEAVING_INCARNATIONS 8

/* Which incarnations of an endpoint are leaving. Incarnations are kept as hashes; 0 is one whose
 * name is not known yet. */
typedef struct
{
  uint64_t present;
  uint64_t
      left[LC_MAX_LEAVING_INCARNATIONS]; /* ring of incarnations that somebody called leaving */
  size_t n_left;                         /* ever added */
  bool listed;         /* the platform's list says leaving, without naming an incarnation */
  uint64_t listed_for; /* the present one when the list began to say so */
  bool doubted; /* the list says leaving, but perhaps of an incarnation before the present one */
} LcLeaving;

/* commands */
void lc_leaving_set_incarnation (LcLeaving *leaving, const char *incarnation);
void lc_leaving_mark (LcLeaving *leaving, const char *incarnation);
void lc_leaving_set_platform_listed (LcLeaving *leaving, bool says_leaving);

/* queries */
bool lc_leaving_is_current_leaving (const LcLeaving *leaving);

#endif
