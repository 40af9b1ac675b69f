#ifndef LC_CHANGE_H
#define LC_CHANGE_H

#include "lc-resources.h"

/* A change of an operator: {"apply": [RESOURCE...], "delete": [{"kind", "name"}]}. */

#define LC_CHANGE_MAX_ITEMS 2000

/* The set that follows from the change, with the next revision, checked as a whole; NULL and a
 * typed error on the first fault. A resource of apply replaces the one of its kind and name as a
 * whole. Pure: the same set and change give the same next set on every instance. */
LcResourceSet *lc_change_apply (const LcResourceSet *set,
                                struct json_object *change,
                                const char *file,
                                LbError *error);

#endif
