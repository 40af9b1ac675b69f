#ifndef LC_RESOURCES_PRIVATE_H
#define LC_RESOURCES_PRIVATE_H

#include "lc-resources.h"

/* Changes to a copy of a set: resources are put and removed one by one, then the whole set is
 * validated. */

/* room: further resources of each kind that can be put in the copy. */
LcResourceSet *lc_resource_set_copy_with_room (const LcResourceSet *set, size_t room);
/* Adds a resource or replaces the one of its kind and name. */
bool lc_resource_set_put (
    LcResourceSet *set, struct json_object *object, size_t index, const char *file, LbError *error);
/* Returns false if there is no such resource. */
bool lc_resource_set_remove (LcResourceSet *set, LcResourceKind kind, const char *name);
/* Validates references and unique addresses; in lc-resources-check.c. */
bool lc_resource_set_check (const LcResourceSet *set, const char *file, LbError *error);

/* Formats the location for errors: "FILE: KIND/NAME", or "FILE: resources[INDEX]" if kind or name
 * is NULL. */
void lc_resource_format_where (
    char *where, size_t size, const char *file, size_t index, const char *kind, const char *name);

#endif
