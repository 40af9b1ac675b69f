#include "lc-change.h"

#include "lb-alloc.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  struct json_object *apply;
  struct json_object *delete;
} Change;

static bool
read_list (struct json_object *value, const char *key, const char *file, LbError *error)
{
  if (!json_object_is_type (value, json_type_array))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, file, "%s: expected a list", key);
  if (json_object_array_length (value) > LC_CHANGE_MAX_ITEMS)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, file, "%s: expected at most %d items", key,
                         LC_CHANGE_MAX_ITEMS);
  return true;
}

static bool
read_change (struct json_object *object, Change *change, const char *file, LbError *error)
{
  if (!json_object_is_type (object, json_type_object))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, file, "expected an object");
  json_object_object_foreach (object, key, value)
  {
    if (strcmp (key, "apply") == 0)
      change->apply = value;
    else if (strcmp (key, "delete") == 0)
      change->delete = value;
    else
      return lb_error_set (error, LB_ERROR_UNKNOWN_KEY, file, "%s: no key of this name is known",
                           key);
    if (!read_list (value, key, file, error))
      return false;
  }
  return true;
}

/* "KIND/NAME", by which a resource is found in the index; false when it has none. */
static bool
format_id (struct json_object *resource, char *id, size_t size)
{
  struct json_object *kind = NULL, *name = NULL;

  if (!json_object_is_type (resource, json_type_object)
      || !json_object_object_get_ex (resource, "kind", &kind)
      || !json_object_object_get_ex (resource, "name", &name)
      || !json_object_is_type (kind, json_type_string)
      || !json_object_is_type (name, json_type_string))
    return false;
  snprintf (id, size, "%s/%s", json_object_get_string (kind), json_object_get_string (name));
  return true;
}

static struct json_object *
index_of (const LcResourceSet *set)
{
  struct json_object *index = json_object_new_object ();
  struct json_object *object = lc_resource_set_to_json (set);
  struct json_object *list = json_object_object_get (object, "resources");
  char id[2 * LB_NAME_MAX];

  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *resource = json_object_array_get_idx (list, i);
      if (format_id (resource, id, sizeof id))
        json_object_object_add (index, id, json_object_get (resource));
    }
  json_object_put (object);
  return index;
}

static bool
note_item (struct json_object *seen,
           struct json_object *resource,
           const char *key,
           size_t i,
           const char *file,
           char *id,
           size_t size,
           LbError *error)
{
  if (!format_id (resource, id, size))
    return lb_error_set (error, LB_ERROR_MISSING_KEY, file,
                         "%s[%zu]: expected an object with kind and name", key, i);
  if (json_object_object_get_ex (seen, id, NULL))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, file, "%s[%zu]: %s is given twice", key, i, id);
  json_object_object_add (seen, id, json_object_new_boolean (true));
  return true;
}

static bool
change_index (struct json_object *index, const Change *change, const char *file, LbError *error)
{
  bool ok = true;
  char id[512];
  struct json_object *seen = json_object_new_object ();
  size_t n_delete = change->delete ? json_object_array_length (change->delete) : 0;
  size_t n_apply = change->apply ? json_object_array_length (change->apply) : 0;

  for (size_t i = 0; ok && i < n_delete; i++)
    {
      struct json_object *item = json_object_array_get_idx (change->delete, i);
      ok = note_item (seen, item, "delete", i, file, id, sizeof id, error);
      if (ok && !json_object_object_get_ex (index, id, NULL))
        ok = lb_error_set (error, LB_ERROR_UNKNOWN_RESOURCE, file, "delete[%zu]: no %s", i, id);
      if (ok)
        json_object_object_del (index, id);
    }
  for (size_t i = 0; ok && i < n_apply; i++)
    {
      struct json_object *item = json_object_array_get_idx (change->apply, i);
      ok = note_item (seen, item, "apply", i, file, id, sizeof id, error);
      if (ok)
        json_object_object_add (index, id, json_object_get (item));
    }
  json_object_put (seen);
  return ok;
}

static LcResourceSet *
set_of_index (struct json_object *index, int64_t revision, const char *file, LbError *error)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  json_object_object_foreach (index, key, resource)
  {
    (void)key;
    json_object_array_add (list, json_object_get (resource));
  }
  json_object_object_add (object, "revision", json_object_new_int64 (revision));
  json_object_object_add (object, "resources", list);
  LcResourceSet *set = lc_resource_set_from_json (object, file, error);
  json_object_put (object);
  return set;
}

LcResourceSet *
lc_change_apply (const LcResourceSet *set,
                 struct json_object *change,
                 const char *file,
                 LbError *error)
{
  LcResourceSet *next = NULL;
  Change parts = { NULL, NULL };
  struct json_object *index = index_of (set);

  if (read_change (change, &parts, file, error) && change_index (index, &parts, file, error))
    next = set_of_index (index, set->revision + 1, file, error);
  json_object_put (index);
  return next;
}
