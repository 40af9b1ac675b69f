#ifndef LC_CHANGE_H
#define LC_CHANGE_H

#include "lc-resources.h"

/* A change request of an operator: {"apply": [RESOURCE...], "delete": [{"kind", "name"}]}. */

#define LC_CHANGE_MAX_ITEMS 2000

/* Returns the validated set after the change, with the next revision; NULL and an error for the
 * first fault. A resource in "apply" replaces the whole resource of its kind and name.
 * Deterministic: the same set and change give the same result on every instance. */
LcResourceSet *lc_change_apply (const LcResourceSet *set,
                                struct json_object *change,
                                const char *file,
                                LbError *error);

#endif
