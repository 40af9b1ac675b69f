#include "lc-resources.h"

#include "lb-alloc.h"
#include "lb-settings.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_POOLS 64
#define MAX_SUBSCRIPTIONS 256
#define MAX_BOUNDS 512
#define MAX_ENDPOINTS 4000

static const char *const preset_names[] = { "balanced", "idle_time", "staleness", NULL };
static const double preset_idle_weights[] = { 0.5, 0.9, 0.1 };
static const char *const endpoint_types[] = { "engine", "service", NULL };

#define TEXT(type_name, json_key, member, must)                                                    \
  {                                                                                                \
    .key = (json_key), .type = LB_SETTING_TEXT, .offset = offsetof (type_name, member),            \
    .size = sizeof (LbName), .required = (must)                                                    \
  }
#define NUMBER(type_name, json_key, member, kind, low, high)                                       \
  {                                                                                                \
    .key = (json_key), .type = (kind), .offset = offsetof (type_name, member), .min = (low),       \
    .max = (high)                                                                                  \
  }
#define FLAG(type_name, json_key, member)                                                          \
  {                                                                                                \
    .key = (json_key), .type = LB_SETTING_BOOL, .offset = offsetof (type_name, member)             \
  }

static const LbSettingSpec pool_specs[] = {
  TEXT (LcPool, "name", name, true),
  TEXT (LcPool, "model", model, false),
  NUMBER (LcPool, "weight_version", weight_version, LB_SETTING_INT, 0, 1e15),
  NUMBER (LcPool, "live_reserve", live_reserve, LB_SETTING_REAL, 0, 0.9),
  NUMBER (LcPool, "roll_out_percent", roll_out_percent, LB_SETTING_INT, 1, 100),
  NUMBER (LcPool, "queue_limit", queue_limit, LB_SETTING_INT, 1, 1e6),
  { .key = NULL },
};

static const LbSettingSpec subscription_specs[] = {
  TEXT (LcSubscription, "name", name, true),
  TEXT (LcSubscription, "pool", pool, true),
  NUMBER (LcSubscription, "share", share, LB_SETTING_REAL, 0.001, 1000),
  { .key = "preset",
    .type = LB_SETTING_CHOICE,
    .offset = offsetof (LcSubscription, preset),
    .choices = preset_names },
  NUMBER (LcSubscription, "hedge_budget", hedge_budget, LB_SETTING_REAL, 0, 0.5),
  FLAG (LcSubscription, "strict", strict),
  TEXT (LcSubscription, "scorer", scorer, false),
  { .key = NULL },
};

static const LbSettingSpec bound_specs[] = {
  TEXT (LcVersionBound, "name", name, true),
  TEXT (LcVersionBound, "subscription", subscription, true),
  { .key = "max_lag",
    .type = LB_SETTING_INT,
    .offset = offsetof (LcVersionBound, max_lag),
    .required = true,
    .max = 1e6 },
  { .key = NULL },
};

static const LbSettingSpec endpoint_specs[] = {
  TEXT (LcEndpointMember, "name", name, true),
  { .key = "type",
    .type = LB_SETTING_CHOICE,
    .offset = offsetof (LcEndpointMember, kind),
    .choices = endpoint_types,
    .required = true },
  TEXT (LcEndpointMember, "pool", pool, true),
  TEXT (LcEndpointMember, "address", address, true),
  TEXT (LcEndpointMember, "data_centre", data_centre, false),
  FLAG (LcEndpointMember, "leaving", leaving),
  FLAG (LcEndpointMember, "checks_fence", checks_fence),
  NUMBER (LcEndpointMember, "concurrency", concurrency, LB_SETTING_INT, 1, 1e5),
  { .key = NULL },
};

/* Where the resources of one kind live in a set. Every element begins with its name. */
typedef struct
{
  const char *name;
  const LbSettingSpec *specs;
  size_t size;
  size_t items_offset;
  size_t count_offset;
  size_t max_count;
} KindClass;

static const KindClass kinds[LC_N_RESOURCE_KINDS] = {
  [LC_RESOURCE_POOL] = { "pool", pool_specs, sizeof (LcPool), offsetof (LcResourceSet, pools),
                         offsetof (LcResourceSet, n_pools), MAX_POOLS },
  [LC_RESOURCE_SUBSCRIPTION] = { "subscription", subscription_specs, sizeof (LcSubscription),
                                 offsetof (LcResourceSet, subscriptions),
                                 offsetof (LcResourceSet, n_subscriptions), MAX_SUBSCRIPTIONS },
  [LC_RESOURCE_VERSION_BOUND]
  = { "version_bound", bound_specs, sizeof (LcVersionBound), offsetof (LcResourceSet, bounds),
      offsetof (LcResourceSet, n_bounds), MAX_BOUNDS },
  [LC_RESOURCE_ENDPOINT]
  = { "endpoint", endpoint_specs, sizeof (LcEndpointMember), offsetof (LcResourceSet, endpoints),
      offsetof (LcResourceSet, n_endpoints), MAX_ENDPOINTS },
};

static char **
items_of (const LcResourceSet *set, LcResourceKind kind)
{
  return (char **)((char *)set + kinds[kind].items_offset);
}

static size_t *
count_of (const LcResourceSet *set, LcResourceKind kind)
{
  return (size_t *)((char *)set + kinds[kind].count_offset);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (a, b);
}

static const void *
find (const LcResourceSet *set, LcResourceKind kind, const char *name)
{
  if (*count_of (set, kind) == 0)
    return NULL;
  return bsearch (name, *items_of (set, kind), *count_of (set, kind), kinds[kind].size,
                  compare_names);
}

static void
set_defaults (LcResourceKind kind, void *item)
{
  if (kind == LC_RESOURCE_POOL)
    *(LcPool *)item = (LcPool){ .live_reserve = 0.25, .roll_out_percent = 25, .queue_limit = 4096 };
  else if (kind == LC_RESOURCE_SUBSCRIPTION)
    *(LcSubscription *)item = (LcSubscription){ .share = 1.0, .hedge_budget = 0.1 };
  else if (kind == LC_RESOURCE_ENDPOINT)
    *(LcEndpointMember *)item = (LcEndpointMember){ .checks_fence = true, .concurrency = 32 };
}

/* Names become parts of URLs, row keys and log lines. */
static bool
is_name (const char *name)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

  return name[0] != '\0' && name[0] != '.' && strspn (name, allowed) == strlen (name);
}

static bool
is_address (const char *address)
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

static const char *
text_of (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

/* "FILE: KIND/NAME" or, while these are not known, "FILE: resources[INDEX]". */
static void
format_where (
    char *where, size_t size, const char *file, size_t index, const char *kind, const char *name)
{
  if (kind && name)
    snprintf (where, size, "%.80s: %.20s/%.63s", file, kind, name);
  else
    snprintf (where, size, "%.80s: resources[%zu]", file, index);
}

static struct json_object *
without_kind (struct json_object *object)
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
read_item (
    struct json_object *object, LcResourceKind kind, void *item, const char *where, LbError *error)
{
  struct json_object *body = without_kind (object);

  set_defaults (kind, item);
  bool ok = lb_settings_apply (body, kinds[kind].specs, item, where, error);
  json_object_put (body);
  if (!ok)
    return false;
  if (!is_name (item))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where,
                         "name: expected letters, digits, '-', '_' and '.'");
  if (kind == LC_RESOURCE_SUBSCRIPTION)
    {
      LcSubscription *subscription = item;
      subscription->idle_weight = preset_idle_weights[subscription->preset];
    }
  if (kind == LC_RESOURCE_ENDPOINT && !is_address (((LcEndpointMember *)item)->address))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where,
                         "address: expected an IP number and a port, as in 127.0.0.1:9000");
  return true;
}

static bool
add_item (
    LcResourceSet *set, struct json_object *object, size_t index, const char *file, LbError *error)
{
  char where[192];
  LcResourceKind kind;
  const char *kind_name = text_of (object, "kind");

  format_where (where, sizeof where, file, index, kind_name, text_of (object, "name"));
  if (!json_object_is_type (object, json_type_object))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where, "expected an object");
  if (!kind_name)
    return lb_error_set (error, LB_ERROR_MISSING_KEY, where, "kind: this key is required");
  if (!lc_resource_kind_from_name (kind_name, &kind))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where,
                         "kind: expected one of: pool subscription version_bound endpoint");

  size_t *count = count_of (set, kind);
  if (*count == kinds[kind].max_count)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, where, "expected at most %zu of this kind",
                         kinds[kind].max_count);
  if (!read_item (object, kind, *items_of (set, kind) + *count * kinds[kind].size, where, error))
    return false;
  (*count)++;
  return true;
}

static bool
check_doubled (const LcResourceSet *set, LcResourceKind kind, const char *file, LbError *error)
{
  char where[192];
  const char *items = *items_of (set, kind);

  for (size_t i = 1; i < *count_of (set, kind); i++)
    {
      const char *item = items + i * kinds[kind].size;
      if (strcmp (item - kinds[kind].size, item) != 0)
        continue;
      format_where (where, sizeof where, file, 0, kinds[kind].name, item);
      return lb_error_set (error, LB_ERROR_BAD_VALUE, where, "name: given twice");
    }
  return true;
}

static bool
bad_reference (
    const char *file, LcResourceKind kind, const char *name, const char *text, LbError *error)
{
  char where[192];

  format_where (where, sizeof where, file, 0, kinds[kind].name, name);
  return lb_error_set (error, LB_ERROR_BAD_REFERENCE, where, "%s", text);
}

static bool
has_service (const LcResourceSet *set, const char *service)
{
  for (size_t i = 0; i < set->n_endpoints; i++)
    if (set->endpoints[i].kind == LC_ENDPOINT_SERVICE
        && strcmp (set->endpoints[i].pool, service) == 0)
      return true;
  return false;
}

static bool
check_subscriptions (const LcResourceSet *set, const char *file, LbError *error)
{
  for (size_t i = 0; i < set->n_subscriptions; i++)
    {
      const LcSubscription *subscription = &set->subscriptions[i];
      if (!lc_resource_set_pool (set, subscription->pool))
        return bad_reference (file, LC_RESOURCE_SUBSCRIPTION, subscription->name,
                              "pool: no such pool", error);
      if (subscription->scorer[0] && !has_service (set, subscription->scorer))
        return bad_reference (file, LC_RESOURCE_SUBSCRIPTION, subscription->name,
                              "scorer: no endpoint of type service has this pool", error);
    }
  for (size_t i = 0; i < set->n_bounds; i++)
    if (!lc_resource_set_subscription (set, set->bounds[i].subscription))
      return bad_reference (file, LC_RESOURCE_VERSION_BOUND, set->bounds[i].name,
                            "subscription: no such subscription", error);
  return true;
}

static int
compare_addresses (const void *a, const void *b)
{
  const LcEndpointMember *const *first = a, *const *second = b;

  return strcmp ((*first)->address, (*second)->address);
}

/* One process under two names would be counted as twice its capacity. */
static bool
check_addresses (const LcResourceSet *set, const char *file, LbError *error)
{
  bool ok = true;
  const LcEndpointMember **sorted = LB_NEW_ARRAY (const LcEndpointMember *, set->n_endpoints);

  for (size_t i = 0; i < set->n_endpoints; i++)
    sorted[i] = &set->endpoints[i];
  qsort (sorted, set->n_endpoints, sizeof *sorted, compare_addresses);
  for (size_t i = 1; ok && i < set->n_endpoints; i++)
    if (strcmp (sorted[i - 1]->address, sorted[i]->address) == 0)
      ok = bad_reference (file, LC_RESOURCE_ENDPOINT, sorted[i]->name,
                          "address: another endpoint has it", error);
  free (sorted);
  return ok;
}

/* The router takes all endpoints of a pool as alike. */
static bool
check_mixed (const LcResourceSet *set, const char *file, LbError *error)
{
  bool *has_engine = LB_NEW_ARRAY (bool, set->n_pools);
  bool ok = true;

  for (size_t i = 0; i < set->n_endpoints; i++)
    if (set->endpoints[i].kind == LC_ENDPOINT_ENGINE)
      has_engine[lc_resource_set_pool (set, set->endpoints[i].pool) - set->pools] = true;
  for (size_t i = 0; ok && i < set->n_endpoints; i++)
    {
      const LcEndpointMember *endpoint = &set->endpoints[i];
      const LcPool *pool = lc_resource_set_pool (set, endpoint->pool);
      if (endpoint->kind == LC_ENDPOINT_SERVICE && pool && has_engine[pool - set->pools])
        ok = bad_reference (file, LC_RESOURCE_ENDPOINT, endpoint->name,
                            "pool: a service may not be in a pool that has engines", error);
    }
  free (has_engine);
  return ok;
}

static bool
check_endpoints (const LcResourceSet *set, const char *file, LbError *error)
{
  for (size_t i = 0; i < set->n_endpoints; i++)
    {
      const LcEndpointMember *endpoint = &set->endpoints[i];
      if (endpoint->kind == LC_ENDPOINT_ENGINE && !lc_resource_set_pool (set, endpoint->pool))
        return bad_reference (file, LC_RESOURCE_ENDPOINT, endpoint->name, "pool: no such pool",
                              error);
    }
  return check_mixed (set, file, error) && check_addresses (set, file, error);
}

static bool
fill (LcResourceSet *set, struct json_object *list, const char *file, LbError *error)
{
  size_t length = json_object_array_length (list);

  for (int kind = 0; kind < LC_N_RESOURCE_KINDS; kind++)
    *items_of (set, kind)
        = lb_calloc (length < kinds[kind].max_count ? length : kinds[kind].max_count,
                     kinds[kind].size);
  for (size_t i = 0; i < length; i++)
    if (!add_item (set, json_object_array_get_idx (list, i), i, file, error))
      return false;
  for (int kind = 0; kind < LC_N_RESOURCE_KINDS; kind++)
    {
      qsort (*items_of (set, kind), *count_of (set, kind), kinds[kind].size, compare_names);
      if (!check_doubled (set, kind, file, error))
        return false;
    }
  return check_subscriptions (set, file, error) && check_endpoints (set, file, error);
}

/* Faults of the outer object: unknown keys and a revision or list of the wrong type. */
static bool
read_outer (struct json_object *object,
            int64_t *revision,
            struct json_object **list,
            const char *file,
            LbError *error)
{
  if (!json_object_is_type (object, json_type_object))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, file, "expected an object with resources");
  json_object_object_foreach (object, key, value)
  {
    if (strcmp (key, "resources") == 0 && json_object_is_type (value, json_type_array))
      *list = value;
    else if (strcmp (key, "revision") == 0 && json_object_is_type (value, json_type_int))
      *revision = json_object_get_int64 (value);
    else if (strcmp (key, "resources") == 0 || strcmp (key, "revision") == 0)
      return lb_error_set (error, LB_ERROR_BAD_VALUE, file, "%s: wrong type", key);
    else
      return lb_error_set (error, LB_ERROR_UNKNOWN_KEY, file, "%s: no key of this name is known",
                           key);
  }
  if (!*list)
    return lb_error_set (error, LB_ERROR_MISSING_KEY, file, "resources: this key is required");
  if (*revision < 0)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, file, "revision: expected 0 or more");
  return true;
}

LcResourceSet *
lc_resource_set_from_json (struct json_object *object, const char *file, LbError *error)
{
  struct json_object *list = NULL;
  LcResourceSet *set = LB_NEW (LcResourceSet);

  if (read_outer (object, &set->revision, &list, file, error) && fill (set, list, file, error))
    return set;
  lc_resource_set_free (set);
  return NULL;
}

static struct json_object *
value_to_json (const LbSettingSpec *spec, const char *item)
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
item_to_json (LcResourceKind kind, const char *item)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "kind", json_object_new_string (kinds[kind].name));
  for (const LbSettingSpec *spec = kinds[kind].specs; spec->key; spec++)
    json_object_object_add (object, spec->key, value_to_json (spec, item));
  return object;
}

/* {"revision", "resources"}: every key of every resource, in order of kind and name. */
struct json_object *
lc_resource_set_to_json (const LcResourceSet *set)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (int kind = 0; kind < LC_N_RESOURCE_KINDS; kind++)
    for (size_t i = 0; i < *count_of (set, kind); i++)
      json_object_array_add (list,
                             item_to_json (kind, *items_of (set, kind) + i * kinds[kind].size));
  json_object_object_add (object, "revision", json_object_new_int64 (set->revision));
  json_object_object_add (object, "resources", list);
  return object;
}

LcResourceSet *
lc_resource_set_copy (const LcResourceSet *set)
{
  LcResourceSet *copy = lb_memdup (set, sizeof *set);

  for (int kind = 0; kind < LC_N_RESOURCE_KINDS; kind++)
    *items_of (copy, kind)
        = lb_memdup (*items_of (set, kind), *count_of (set, kind) * kinds[kind].size);
  return copy;
}

void
lc_resource_set_free (LcResourceSet *set)
{
  if (!set)
    return;
  for (int kind = 0; kind < LC_N_RESOURCE_KINDS; kind++)
    free (*items_of (set, kind));
  free (set);
}

const char *
lc_resource_kind_name (LcResourceKind kind)
{
  return kinds[kind].name;
}

bool
lc_resource_kind_from_name (const char *name, LcResourceKind *kind)
{
  for (int i = 0; i < LC_N_RESOURCE_KINDS; i++)
    if (strcmp (kinds[i].name, name) == 0)
      {
        *kind = (LcResourceKind)i;
        return true;
      }
  return false;
}

const LcPool *
lc_resource_set_pool (const LcResourceSet *set, const char *name)
{
  return find (set, LC_RESOURCE_POOL, name);
}

const LcSubscription *
lc_resource_set_subscription (const LcResourceSet *set, const char *name)
{
  return find (set, LC_RESOURCE_SUBSCRIPTION, name);
}

const LcEndpointMember *
lc_resource_set_endpoint (const LcResourceSet *set, const char *name)
{
  return find (set, LC_RESOURCE_ENDPOINT, name);
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
