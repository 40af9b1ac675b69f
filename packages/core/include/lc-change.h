#ifndef LC_CHANGE_H
#define LC_CHANGE_H

#include "lc-resources.h"

/* This header declares the change request of an operator to the configuration: {"apply":
 * [RESOURCE...], "delete": [{"kind", "name"}]}. */

#define LC_CHANGE_MAX_ITEMS 2000 /* maximum length of the list "apply" and of the list "delete" */

/* Returns a validated copy of set with the change applied and the next revision number; NULL, with
 * an error, if the change is invalid. A resource in "apply" replaces the existing one of its kind
 * and name as a whole. Deterministic: the same set and change give the same result on every
 * instance. */
LcResourceSet *lc_change_apply_to_resource_set (const LcResourceSet *set,
                                                struct json_object *change,
                                                const char *file,
                                                LbError *error);

#endif
