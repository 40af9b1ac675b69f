#include "lc-resources-private.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lb-settings.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_POOLS 64
#define MAX_SUBSCRIPTIONS 256
#define MAX_VERSION_BOUNDS 512
#define MAX_ENDPOINTS 4000

static const char *const preset_names[] = { "balanced", "idle_time", "staleness", NULL };
static const double preset_idle_weights[] = { 0.5, 0.9, 0.1 };
static const char *const endpoint_types[] = { "engine", "service", NULL };

#define TEXT_SETTING(type_name, json_key, member, is_required)                                     \
  {                                                                                                \
    .key = (json_key), .type = LB_SETTING_TEXT, .offset = offsetof (type_name, member),            \
    .size = sizeof (LbName), .required = (is_required)                                             \
  }
#define NUMBER_SETTING(type_name, json_key, member, kind, low, high)                               \
  {                                                                                                \
    .key = (json_key), .type = (kind), .offset = offsetof (type_name, member), .min = (low),       \
    .max = (high)                                                                                  \
  }
#define FLAG_SETTING(type_name, json_key, member)                                                  \
  {                                                                                                \
    .key = (json_key), .type = LB_SETTING_BOOL, .offset = offsetof (type_name, member)             \
  }

static const LbSettingSpec pool_specs[] = {
  TEXT_SETTING (LcPool, "name", name, true),
  TEXT_SETTING (LcPool, "model", model, false),
  NUMBER_SETTING (LcPool, "weight_version", weight_version, LB_SETTING_INT, 0, 1e15),
  NUMBER_SETTING (LcPool, "live_reserve", live_reserve, LB_SETTING_REAL, 0, 0.9),
  NUMBER_SETTING (LcPool, "roll_out_percent", roll_out_percent, LB_SETTING_INT, 1, 100),
  NUMBER_SETTING (LcPool, "queue_limit", queue_limit, LB_SETTING_INT, 1, 1e6),
  { .key = NULL },
};

static const LbSettingSpec subscription_specs[] = {
  TEXT_SETTING (LcSubscription, "name", name, true),
  TEXT_SETTING (LcSubscription, "pool", pool, true),
  NUMBER_SETTING (LcSubscription, "share", share, LB_SETTING_REAL, 0.001, 1000),
  { .key = "preset",
    .type = LB_SETTING_CHOICE,
    .offset = offsetof (LcSubscription, preset),
    .choices = preset_names },
  NUMBER_SETTING (LcSubscription, "hedge_budget", hedge_budget, LB_SETTING_REAL, 0, 0.5),
  FLAG_SETTING (LcSubscription, "strict", strict),
  TEXT_SETTING (LcSubscription, "scorer", scorer, false),
  { .key = NULL },
};

static const LbSettingSpec bound_specs[] = {
  TEXT_SETTING (LcVersionBound, "name", name, true),
  TEXT_SETTING (LcVersionBound, "subscription", subscription, true),
  { .key = "max_lag",
    .type = LB_SETTING_INT,
    .offset = offsetof (LcVersionBound, max_lag),
    .required = true,
    .max = 1e6 },
  { .key = NULL },
};

static const LbSettingSpec endpoint_specs[] = {
  TEXT_SETTING (LcEndpointMember, "name", name, true),
  { .key = "type",
    .type = LB_SETTING_CHOICE,
    .offset = offsetof (LcEndpointMember, kind),
    .choices = endpoint_types,
    .required = true },
  TEXT_SETTING (LcEndpointMember, "pool", pool, true),
  TEXT_SETTING (LcEndpointMember, "address", address, true),
  TEXT_SETTING (LcEndpointMember, "data_centre", data_centre, false),
  FLAG_SETTING (LcEndpointMember, "leaving", leaving),
  FLAG_SETTING (LcEndpointMember, "checks_fence", checks_fence),
  NUMBER_SETTING (LcEndpointMember, "concurrency", concurrency, LB_SETTING_INT, 1, 1e5),
  { .key = NULL },
};

/* Describes the resources of one kind in a set. The first member of each resource struct is its
 * name. */
typedef struct
{
  const char *name;
  const LbSettingSpec *specs;
  size_t size;
  size_t items_offset;
  size_t count_offset;
  size_t max_count;
} ResourceKindInfo;

static const ResourceKindInfo kind_infos[LC_N_RESOURCE_KINDS] = {
  [LC_RESOURCE_POOL] = { "pool", pool_specs, sizeof (LcPool), offsetof (LcResourceSet, pools),
                         offsetof (LcResourceSet, n_pools), MAX_POOLS },
  [LC_RESOURCE_SUBSCRIPTION] = { "subscription", subscription_specs, sizeof (LcSubscription),
                                 offsetof (LcResourceSet, subscriptions),
                                 offsetof (LcResourceSet, n_subscriptions), MAX_SUBSCRIPTIONS },
  [LC_RESOURCE_VERSION_BOUND]
  = { "version_bound", bound_specs, sizeof (LcVersionBound), offsetof (LcResourceSet, bounds),
      offsetof (LcResourceSet, n_bounds), MAX_VERSION_BOUNDS },
  [LC_RESOURCE_ENDPOINT]
  = { "endpoint", endpoint_specs, sizeof (LcEndpointMember), offsetof (LcResourceSet, endpoints),
      offsetof (LcResourceSet, n_endpoints), MAX_ENDPOINTS },
};

static char **
find_array_field_of_kind (const LcResourceSet *set, LcResourceKind kind)
{
  return (char **)((char *)set + kind_infos[kind].items_offset);
}

static size_t *
find_count_field_of_kind (const LcResourceSet *set, LcResourceKind kind)
{
  return (size_t *)((char *)set + kind_infos[kind].count_offset);
}

static int
compare_resource_names (const void *a, const void *b)
{
  return strcmp (a, b);
}

static const void *
find_resource (const LcResourceSet *set, LcResourceKind kind, const char *name)
{
  if (*find_count_field_of_kind (set, kind) == 0)
    return NULL;
  return bsearch (name, *find_array_field_of_kind (set, kind),
                  *find_count_field_of_kind (set, kind), kind_infos[kind].size,
                  compare_resource_names);
}

static void
set_resource_defaults (LcResourceKind kind, void *item)
{
  if (kind == LC_RESOURCE_POOL)
    *(LcPool *)item = (LcPool){ .live_reserve = 0.25, .roll_out_percent = 25, .queue_limit = 4096 };
  else if (kind == LC_RESOURCE_SUBSCRIPTION)
    *(LcSubscription *)item = (LcSubscription){ .share = 1.0, .hedge_budget = 0.1 };
  else if (kind == LC_RESOURCE_ENDPOINT)
    *(LcEndpointMember *)item = (LcEndpointMember){ .checks_fence = true, .concurrency = 32 };
}

/* Names appear in URLs, row keys and log lines, so only characters that are safe in all of these
 * are allowed. */
static bool
is_valid_resource_name (const char *name)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

  return name[0] != '\0' && name[0] != '.' && strspn (name, allowed) == strlen (name);
}

static bool
is_ipv4_address_and_port (const char *address)
{
  LbName host;
  struct in_addr ip;
  char *end = NULL;
  const char *colon = strrchr (address, ':');

  if (!colon)
    return false;
  LB_COPY (host, address);
  host[colon - address] = '\0';
  long port = strtol (colon + 1, &end, 10);
  return inet_pton (AF_INET, host, &ip) == 1 && end != colon + 1 && *end == '\0' && port >= 1
         && port <= 65535;
}

void
lc_resource_format_location (
    char *where, size_t size, const char *file, size_t index, const char *kind, const char *name)
{
  if (kind && name)
    snprintf (where, size, "%.80s: %.20s/%.63s", file, kind, name);
  else
    snprintf (where, size, "%.80s: resources[%zu]", file, index);
}

static struct json_object *
copy_resource_without_kind_key (struct json_object *object)
{
  struct json_object *copy = json_object_new_object ();

  json_object_object_foreach (object, key, value)
  {
    if (strcmp (key, "kind") != 0)
      json_object_object_add (copy, key, json_object_get (value));
  }
  return copy;
}

static bool
parse_resource (
    struct json_object *object, LcResourceKind kind, void *item, const char *where, LbError *error)
{
  struct json_object *body = copy_resource_without_kind_key (object);

  set_resource_defaults (kind, item);
  bool ok = lb_settings_fill_struct (body, kind_infos[kind].specs, item, where, error);
  json_object_put (body);
  if (!ok)
    return false;
  if (!is_valid_resource_name (item))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where,
                         "name: expected letters, digits, '-', '_' and '.', without a leading '.'");
  if (kind == LC_RESOURCE_SUBSCRIPTION)
    {
      LcSubscription *subscription = item;
      subscription->idle_weight = preset_idle_weights[subscription->preset];
    }
  if (kind == LC_RESOURCE_ENDPOINT
      && !is_ipv4_address_and_port (((LcEndpointMember *)item)->address))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where,
                         "address: expected an IPv4 address and a port, as in 127.0.0.1:9000");
  return true;
}

/* Reads the kind of a resource. Also writes the resource's location to where, for further
 * errors. */
static bool
parse_resource_kind (struct json_object *object,
                     size_t index,
                     const char *file,
                     char *where,
                     size_t size,
                     LcResourceKind *kind,
                     LbError *error)
{
  const char *name = lb_json_text (object, "kind", NULL);

  lc_resource_format_location (where, size, file, index, name, lb_json_text (object, "name", NULL));
  if (!json_object_is_type (object, json_type_object))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where, "expected an object");
  if (!name)
    return lb_error_set (error, LB_ERROR_MISSING_KEY, where, "kind: key is missing");
  if (!lc_resource_kind_from_name (name, kind))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where,
                         "kind: expected one of: pool subscription version_bound endpoint");
  return true;
}

static bool
check_resource_count_limit (const LcResourceSet *set,
                            LcResourceKind kind,
                            const char *where,
                            LbError *error)
{
  if (*find_count_field_of_kind (set, kind) < kind_infos[kind].max_count)
    return true;
  return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, where,
                       "expected at most %zu resources of this kind", kind_infos[kind].max_count);
}

static bool
append_resource (
    LcResourceSet *set, struct json_object *object, size_t index, const char *file, LbError *error)
{
  char where[192];
  LcResourceKind kind = LC_RESOURCE_POOL;

  if (!parse_resource_kind (object, index, file, where, sizeof where, &kind, error)
      || !check_resource_count_limit (set, kind, where, error))
    return false;
  size_t *count = find_count_field_of_kind (set, kind);
  if (!parse_resource (object, kind,
                       *find_array_field_of_kind (set, kind) + *count * kind_infos[kind].size,
                       where, error))
    return false;
  (*count)++;
  return true;
}

/* Returns the index of the resource with this name in the sorted array, or the index to insert it
 * at. */
static size_t
find_resource_position (const LcResourceSet *set, LcResourceKind kind, const char *name)
{
  size_t low = 0, high = *find_count_field_of_kind (set, kind);

  while (low < high)
    {
      size_t middle = (low + high) / 2;
      if (strcmp (*find_array_field_of_kind (set, kind) + middle * kind_infos[kind].size, name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
has_resource_at (const LcResourceSet *set, LcResourceKind kind, size_t position, const char *name)
{
  return position < *find_count_field_of_kind (set, kind)
         && strcmp (*find_array_field_of_kind (set, kind) + position * kind_infos[kind].size, name)
                == 0;
}

bool
lc_resource_set_put_resource (
    LcResourceSet *set, struct json_object *object, size_t index, const char *file, LbError *error)
{
  char where[192];
  LcResourceKind kind = LC_RESOURCE_POOL;
  bool ok = false;

  if (!parse_resource_kind (object, index, file, where, sizeof where, &kind, error))
    return false;
  size_t size = kind_infos[kind].size;
  size_t *count = find_count_field_of_kind (set, kind);
  char *item = lb_calloc (1, size);
  if (!parse_resource (object, kind, item, where, error))
    goto out;
  size_t position = find_resource_position (set, kind, item);
  char *slot = *find_array_field_of_kind (set, kind) + position * size;
  if (!has_resource_at (set, kind, position, item))
    {
      if (!check_resource_count_limit (set, kind, where, error))
        goto out;
      memmove (slot + size, slot, (*count - position) * size);
      (*count)++;
    }
  memcpy (slot, item, size);
  ok = true;
out:
  free (item);
  return ok;
}

bool
lc_resource_set_remove_resource (LcResourceSet *set, LcResourceKind kind, const char *name)
{
  size_t size = kind_infos[kind].size;
  size_t *count = find_count_field_of_kind (set, kind);
  size_t position = find_resource_position (set, kind, name);
  char *slot = *find_array_field_of_kind (set, kind) + position * size;

  if (!has_resource_at (set, kind, position, name))
    return false;
  (*count)--;
  memmove (slot, slot + size, (*count - position) * size);
  return true;
}

static bool
check_resource_names_are_unique (const LcResourceSet *set,
                                 LcResourceKind kind,
                                 const char *file,
                                 LbError *error)
{
  char where[192];
  const char *items = *find_array_field_of_kind (set, kind);

  for (size_t i = 1; i < *find_count_field_of_kind (set, kind); i++)
    {
      const char *item = items + i * kind_infos[kind].size;
      if (strcmp (item - kind_infos[kind].size, item) != 0)
        continue;
      lc_resource_format_location (where, sizeof where, file, 0, kind_infos[kind].name, item);
      return lb_error_set (error, LB_ERROR_BAD_VALUE, where,
                           "name: already used by another resource of this kind");
    }
  return true;
}

static bool
parse_resources (LcResourceSet *set, struct json_object *list, const char *file, LbError *error)
{
  size_t length = json_object_array_length (list);

  for (int kind = 0; kind < LC_N_RESOURCE_KINDS; kind++)
    *find_array_field_of_kind (set, kind)
        = lb_calloc (length < kind_infos[kind].max_count ? length : kind_infos[kind].max_count,
                     kind_infos[kind].size);
  for (size_t i = 0; i < length; i++)
    if (!append_resource (set, json_object_array_get_idx (list, i), i, file, error))
      return false;
  for (int kind = 0; kind < LC_N_RESOURCE_KINDS; kind++)
    {
      qsort (*find_array_field_of_kind (set, kind), *find_count_field_of_kind (set, kind),
             kind_infos[kind].size, compare_resource_names);
      if (!check_resource_names_are_unique (set, kind, file, error))
        return false;
    }
  return lc_resource_set_check_references (set, file, error);
}

/* Reads the keys "revision" and "resources" of the outermost object. */
static bool
parse_resource_document (struct json_object *object,
                         int64_t *revision,
                         struct json_object **list,
                         const char *file,
                         LbError *error)
{
  if (!json_object_is_type (object, json_type_object))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, file, "expected an object with key resources");
  json_object_object_foreach (object, key, value)
  {
    if (strcmp (key, "resources") == 0 && json_object_is_type (value, json_type_array))
      *list = value;
    else if (strcmp (key, "revision") == 0 && json_object_is_type (value, json_type_int))
      *revision = json_object_get_int64 (value);
    else if (strcmp (key, "resources") == 0 || strcmp (key, "revision") == 0)
      return lb_error_set (
          error, LB_ERROR_BAD_VALUE, file,
          "%s: wrong type; expected resources as an array and revision as an integer", key);
    else
      return lb_error_set (error, LB_ERROR_UNKNOWN_KEY, file, "%s: unknown key", key);
  }
  if (!*list)
    return lb_error_set (error, LB_ERROR_MISSING_KEY, file, "resources: key is missing");
  if (*revision < 0)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, file, "revision: expected 0 or more");
  return true;
}

LcResourceSet *
lc_resource_set_from_json (struct json_object *object, const char *file, LbError *error)
{
  struct json_object *list = NULL;
  LcResourceSet *set = LB_NEW (LcResourceSet);

  if (parse_resource_document (object, &set->revision, &list, file, error)
      && parse_resources (set, list, file, error))
    return set;
  lc_resource_set_free (set);
  return NULL;
}

static struct json_object *
setting_to_json (const LbSettingSpec *spec, const char *item)
{
  const char *field = item + spec->offset;

  switch (spec->type)
    {
    case LB_SETTING_TEXT:
      return json_object_new_string (field);
    case LB_SETTING_INT:
      return json_object_new_int64 (*(const int64_t *)field);
    case LB_SETTING_REAL:
      return json_object_new_double (*(const double *)field);
    case LB_SETTING_BOOL:
      return json_object_new_boolean (*(const bool *)field);
    case LB_SETTING_CHOICE:
      return json_object_new_string (spec->choices[*(const int *)field]);
    case LB_SETTING_OBJECT:
    case LB_SETTING_ARRAY:
      break;
    }
  return NULL;
}

static struct json_object *
resource_to_json (LcResourceKind kind, const char *item)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "kind", json_object_new_string (kind_infos[kind].name));
  for (const LbSettingSpec *spec = kind_infos[kind].specs; spec->key; spec++)
    json_object_object_add (object, spec->key, setting_to_json (spec, item));
  return object;
}

/* Returns the set as JSON, with every key of every resource, sorted by kind and name. */
struct json_object *
lc_resource_set_to_json (const LcResourceSet *set)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (int kind = 0; kind < LC_N_RESOURCE_KINDS; kind++)
    for (size_t i = 0; i < *find_count_field_of_kind (set, kind); i++)
      json_object_array_add (list, resource_to_json (kind, *find_array_field_of_kind (set, kind)
                                                               + i * kind_infos[kind].size));
  json_object_object_add (object, "revision", json_object_new_int64 (set->revision));
  json_object_object_add (object, "resources", list);
  return object;
}

LcResourceSet *
lc_resource_set_copy_with_room (const LcResourceSet *set, size_t room)
{
  LcResourceSet *copy = lb_memdup (set, sizeof *set);

  for (int kind = 0; kind < LC_N_RESOURCE_KINDS; kind++)
    {
      size_t used = *find_count_field_of_kind (set, kind) * kind_infos[kind].size;
      char *items = lb_malloc (used + room * kind_infos[kind].size);
      if (used > 0)
        memcpy (items, *find_array_field_of_kind (set, kind), used);
      *find_array_field_of_kind (copy, kind) = items;
    }
  return copy;
}

LcResourceSet *
lc_resource_set_copy (const LcResourceSet *set)
{
  return lc_resource_set_copy_with_room (set, 0);
}

void
lc_resource_set_free (LcResourceSet *set)
{
  if (!set)
    return;
  for (int kind = 0; kind < LC_N_RESOURCE_KINDS; kind++)
    free (*find_array_field_of_kind (set, kind));
  free (set);
}

const char *
lc_resource_kind_name (LcResourceKind kind)
{
  return kind_infos[kind].name;
}

bool
lc_resource_kind_from_name (const char *name, LcResourceKind *kind)
{
  for (int i = 0; i < LC_N_RESOURCE_KINDS; i++)
    if (strcmp (kind_infos[i].name, name) == 0)
      {
        *kind = (LcResourceKind)i;
        return true;
      }
  return false;
}

const LcPool *
lc_resource_set_find_pool (const LcResourceSet *set, const char *name)
{
  return find_resource (set, LC_RESOURCE_POOL, name);
}

const LcSubscription *
lc_resource_set_find_subscription (const LcResourceSet *set, const char *name)
{
  return find_resource (set, LC_RESOURCE_SUBSCRIPTION, name);
}

const LcEndpointMember *
lc_resource_set_find_endpoint (const LcResourceSet *set, const char *name)
{
  return find_resource (set, LC_RESOURCE_ENDPOINT, name);
}

int64_t
lc_resource_set_max_lag (const LcResourceSet *set, const char *subscription)
{
  int64_t lag = INT64_MAX;

  for (size_t i = 0; i < set->n_bounds; i++)
    if (strcmp (set->bounds[i].subscription, subscription) == 0 && set->bounds[i].max_lag < lag)
      lag = set->bounds[i].max_lag;
  return lag;
}
