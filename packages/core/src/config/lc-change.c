#include "lc-change.h"

#include "lb-json.h"
#include "lc-resources-private.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  struct json_object *apply;
  struct json_object *delete;
} ChangeLists;

static bool
check_list_is_array_within_limit (struct json_object *value,
                                  const char *key,
                                  const char *file,
                                  LbError *error)
{
  if (!json_object_is_type (value, json_type_array))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, file, "%s: expected an array", key);
  if (json_object_array_length (value) > LC_CHANGE_MAX_ITEMS)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, file, "%s: expected at most %d items", key,
                         LC_CHANGE_MAX_ITEMS);
  return true;
}

static bool
parse_change_lists (struct json_object *object,
                    ChangeLists *change,
                    const char *file,
                    LbError *error)
{
  if (!json_object_is_type (object, json_type_object))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, file,
                         "expected an object with the keys apply and delete");
  json_object_object_foreach (object, key, value)
  {
    if (strcmp (key, "apply") == 0)
      change->apply = value;
    else if (strcmp (key, "delete") == 0)
      change->delete = value;
    else
      return lb_error_set (error, LB_ERROR_UNKNOWN_KEY, file, "%s: unknown key", key);
    if (!check_list_is_array_within_limit (value, key, file, error))
      return false;
  }
  return true;
}

/* Rejects a second item for the same resource, since the result would depend on the order of the
 * items. seen_items: set of "KIND/NAME" of the previous items, to which this item is added. */
static bool
check_change_item_is_unique (struct json_object *seen_items,
                             struct json_object *item,
                             const char *key,
                             size_t i,
                             const char *file,
                             LbError *error)
{
  char id[512];
  const char *kind = lb_json_text (item, "kind", NULL);
  const char *name = lb_json_text (item, "name", NULL);

  if (!kind || !name)
    return lb_error_set (error, LB_ERROR_MISSING_KEY, file,
                         "%s[%zu]: expected an object with keys kind and name", key, i);
  snprintf (id, sizeof id, "%s/%s", kind, name);
  if (json_object_object_get_ex (seen_items, id, NULL))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, file, "%s[%zu]: duplicate resource %s", key, i,
                         id);
  json_object_object_add (seen_items, id, json_object_new_boolean (true));
  return true;
}

static size_t
get_array_length_or_zero (struct json_object *list)
{
  return list ? json_object_array_length (list) : 0;
}

static bool
delete_resources_of_change (LcResourceSet *set,
                            struct json_object *list,
                            struct json_object *seen_items,
                            const char *file,
                            LbError *error)
{
  LcResourceKind kind;

  for (size_t i = 0; i < get_array_length_or_zero (list); i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      if (!check_change_item_is_unique (seen_items, item, "delete", i, file, error))
        return false;
      if (!lc_resource_kind_from_name (lb_json_text (item, "kind", NULL), &kind)
          || !lc_resource_set_remove_resource (set, kind, lb_json_text (item, "name", NULL)))
        return lb_error_set (error, LB_ERROR_UNKNOWN_RESOURCE, file,
                             "delete[%zu]: %s/%s does not exist", i,
                             lb_json_text (item, "kind", NULL), lb_json_text (item, "name", NULL));
    }
  return true;
}

static bool
put_resources_of_change (LcResourceSet *set,
                         struct json_object *list,
                         struct json_object *seen_items,
                         const char *file,
                         LbError *error)
{
  for (size_t i = 0; i < get_array_length_or_zero (list); i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      if (!check_change_item_is_unique (seen_items, item, "apply", i, file, error)
          || !lc_resource_set_put_resource (set, item, i, file, error))
        return false;
    }
  return true;
}

LcResourceSet *
lc_change_apply_to_resource_set (const LcResourceSet *set,
                                 struct json_object *change,
                                 const char *file,
                                 LbError *error)
{
  ChangeLists lists = { NULL, NULL };

  if (!parse_change_lists (change, &lists, file, error))
    return NULL;
  struct json_object *seen_items = json_object_new_object ();
  LcResourceSet *next
      = lc_resource_set_copy_with_room (set, get_array_length_or_zero (lists.apply));
  next->revision++;
  bool ok = delete_resources_of_change (next, lists.delete, seen_items, file, error)
            && put_resources_of_change (next, lists.apply, seen_items, file, error)
            && lc_resource_set_check_references (next, file, error);
  json_object_put (seen_items);
  if (ok)
    return next;
  lc_resource_set_free (next);
  return NULL;
}
