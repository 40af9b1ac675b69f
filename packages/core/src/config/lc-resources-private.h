#ifndef LC_RESOURCES_PRIVATE_H
#define LC_RESOURCES_PRIVATE_H

#include "lc-resources.h"

/* Functions that change a copy of a set. Put and remove resources one by one, then call
 * lc_resource_set_check_references. */

/* room: number of resources of each kind that can be added to the copy. */
LcResourceSet *lc_resource_set_copy_with_room (const LcResourceSet *set, size_t room);
/* Adds the resource in object to the set, or replaces the set's resource of the same kind and name.
 * index: position in the list of resources, for error messages. */
bool lc_resource_set_put_resource (
    LcResourceSet *set, struct json_object *object, size_t index, const char *file, LbError *error);
/* Removes a resource; returns false if the set has none of this kind and name. */
bool lc_resource_set_remove_resource (LcResourceSet *set, LcResourceKind kind, const char *name);
/* Checks that all referenced resources exist and that no two endpoints have the same address.
 * Defined in lc-resources-check.c. */
bool lc_resource_set_check_references (const LcResourceSet *set, const char *file, LbError *error);

/* Writes the location of a resource for errors: "FILE: KIND/NAME", or "FILE: resources[INDEX]" if
 * kind or name is NULL. */
void lc_resource_format_location (
    char *where, size_t size, const char *file, size_t index, const char *kind, const char *name);

#endif
