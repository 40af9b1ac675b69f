#ifndef LC_RESOURCES_PRIVATE_H
#define LC_RESOURCES_PRIVATE_H

#include "lc-resources.h"

/* A set in the making: resources are put and removed one by one, then the whole is checked. */

/* A copy with room for so many more resources of each kind. */
LcResourceSet *lc_resource_set_copy_with_room (const LcResourceSet *set, size_t room);
/* Adds the resource, or replaces the one of its kind and name. */
bool lc_resource_set_put (
    LcResourceSet *set, struct json_object *object, size_t index, const char *file, LbError *error);
/* False when there is none. */
bool lc_resource_set_remove (LcResourceSet *set, LcResourceKind kind, const char *name);
/* References, and what may be only once; in lc-resources-check.c. */
bool lc_resource_set_check (const LcResourceSet *set, const char *file, LbError *error);

/* "FILE: KIND/NAME" or, while these are not known, "FILE: resources[INDEX]". */
void lc_resource_format_where (
    char *where, size_t size, const char *file, size_t index, const char *kind, const char *name);

#endif
