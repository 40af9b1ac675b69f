#ifndef LC_LEAVING_H
#define LC_LEAVING_H

#include "lc-endpoints.h"

#define LC_MAX_LEFT 8

/* Which incarnations of an endpoint are leaving. Incarnations are kept as hashes; 0 is one whose
 * name is not known yet. */
typedef struct
{
  uint64_t present;
  uint64_t left[LC_MAX_LEFT]; /* ring of incarnations that somebody called leaving */
  size_t n_left;              /* ever added */
  bool listed;                /* the platform's list says leaving, without naming an incarnation */
  uint64_t listed_for;        /* the present one when the list began to say so */
  bool doubted; /* the list says leaving, but perhaps of an incarnation before the present one */
} LcLeaving;

/* commands */
void lc_leaving_begin (LcLeaving *leaving, const char *incarnation);
void lc_leaving_say (LcLeaving *leaving, const char *incarnation);
void lc_leaving_list (LcLeaving *leaving, bool says_leaving);

/* queries */
bool lc_leaving_is_left (const LcLeaving *leaving);

#endif
