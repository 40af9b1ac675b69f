/* Maintains the endpoint table: adds and removes endpoints, and groups them by pool. */

#include "lc-endpoint-table.h"

#include "lb-alloc.h"

#include <string.h>
#include <xxhash.h>

#define DEFAULT_TOKEN_SECONDS 0.02

LcEndpoints *
lc_endpoints_new (void)
{
  LcEndpoints *endpoints = LB_NEW (LcEndpoints);

  endpoints->prefix_index = lc_prefix_index_new ();
  return endpoints;
}

static void
clear_endpoint_groups (LcEndpoints *endpoints)
{
  LcEndpointGroup *group = NULL;
  LcEndpointGroup *next = NULL;

  HASH_ITER (hh, endpoints->groups, group, next)
  {
    HASH_DEL (endpoints->groups, group);
    free (group->slots);
    free (group);
  }
}

void
lc_endpoints_free (LcEndpoints *endpoints)
{
  if (!endpoints)
    return;
  clear_endpoint_groups (endpoints);
  HASH_CLEAR (hh, endpoints->by_name);
  for (size_t i = 0; i < endpoints->n_entries; i++)
    free (endpoints->entries[i]);
  free (endpoints->entries);
  free (endpoints->summaries);
  free (endpoints->caches);
  free (endpoints->data_centres);
  lc_prefix_index_free (endpoints->prefix_index);
  free (endpoints);
}

LcEndpointEntry *
lc_endpoints_find_entry (const LcEndpoints *endpoints, const char *name)
{
  LcEndpointEntry *entry = NULL;

  HASH_FIND_STR (endpoints->by_name, name, entry);
  return entry;
}

static uint32_t
allocate_endpoint_slot (LcEndpoints *endpoints, const LcEndpointCache *prefix_cache)
{
  uint32_t slot = 0;

  while (slot < endpoints->n_slots && endpoints->caches[slot])
    slot++;
  if (slot == endpoints->n_slots)
    {
      endpoints->n_slots = endpoints->n_slots ? endpoints->n_slots * 2 : 16;
      endpoints->caches
          = lb_realloc (endpoints->caches, endpoints->n_slots * sizeof *endpoints->caches);
      endpoints->summaries
          = lb_realloc (endpoints->summaries, endpoints->n_slots * sizeof *endpoints->summaries);
      memset (endpoints->caches + slot, 0, (endpoints->n_slots - slot) * sizeof *endpoints->caches);
    }
  endpoints->caches[slot] = prefix_cache;
  return slot;
}

static LcEndpointEntry *
add_entry (LcEndpoints *endpoints, const LcEndpointMember *member)
{
  LcEndpointEntry *entry = LB_NEW (LcEndpointEntry);

  if (endpoints->n_entries == endpoints->capacity)
    {
      endpoints->capacity = endpoints->capacity ? endpoints->capacity * 2 : 16;
      endpoints->entries
          = lb_realloc (endpoints->entries, endpoints->capacity * sizeof *endpoints->entries);
    }
  entry->table = endpoints;
  entry->index = endpoints->n_entries;
  entry->endpoint.member = *member;
  entry->name_hash = XXH3_64bits (member->name, strlen (member->name));
  entry->cache.slot = allocate_endpoint_slot (endpoints, &entry->cache);
  entry->endpoint.slot = entry->cache.slot;
  lc_endpoint_entry_invalidate_cached_prefixes (entry);
  entry->single_stream_token_seconds = DEFAULT_TOKEN_SECONDS;
  lc_concurrency_init (&entry->concurrency, member->concurrency);
  endpoints->entries[endpoints->n_entries++] = entry;
  HASH_ADD_STR (endpoints->by_name, endpoint.member.name, entry);
  return entry;
}

static void
remove_entry (LcEndpoints *endpoints, LcEndpointEntry *entry)
{
  /* The analyzer can't see that by_name contains the entry.
   * NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
  HASH_DEL (endpoints->by_name, entry);
  endpoints->caches[entry->cache.slot] = NULL;
  endpoints->n_entries--;
  endpoints->entries[entry->index] = endpoints->entries[endpoints->n_entries];
  endpoints->entries[entry->index]->index = entry->index;
  free (entry);
}

/* Called when the endpoint changes its pool. The reported weight version belongs to the model of
 * the previous pool; if it were kept, requests would be routed to weights that are too old for
 * them. */
static void
clear_known_weight_version (LcEndpointEntry *entry)
{
  entry->endpoint.report.version = 0;
  entry->endpoint.swap_pending = false;
}

static void
add_or_update_endpoint (LcEndpoints *endpoints, const LcEndpointMember *member)
{
  LcEndpointEntry *entry = lc_endpoints_find_entry (endpoints, member->name);

  if (!entry)
    entry = add_entry (endpoints, member);
  if (strcmp (entry->endpoint.member.address, member->address) != 0)
    {
      memset (&entry->endpoint.report, 0, sizeof entry->endpoint.report);
      entry->is_reported = false;
      entry->endpoint.last_reply_at = 0;
      lc_leaving_set_current_incarnation (&entry->leaving, "");
      lc_endpoint_entry_reset_for_new_process (entry);
    }
  if (strcmp (entry->endpoint.member.pool, member->pool) != 0)
    clear_known_weight_version (entry);
  entry->is_retired = false;
  entry->endpoint.member = *member;
  lc_concurrency_set_max (&entry->concurrency, member->concurrency);
  /* A later revision of the configuration without the leaving mark does not clear the mark for this
   * incarnation: the endpoint may already be shutting down, and other instances may still use the
   * earlier revision. */
  if (member->leaving)
    lc_leaving_mark_incarnation (&entry->leaving, "");
}

static void
remove_retired_entries (LcEndpoints *endpoints)
{
  for (size_t i = endpoints->n_entries; i-- > 0;)
    {
      LcEndpointEntry *entry = endpoints->entries[i];

      if (entry->is_retired && entry->endpoint.in_flight == 0)
        remove_entry (endpoints, entry);
    }
}

static void
make_endpoint_group_key (char *key, LcEndpointKind kind, const char *pool, const char *service)
{
  size_t length = 0;

  key[0] = kind == LC_ENDPOINT_ENGINE ? 'e' : 's';
  lb_strlcpy (key + 1, pool, LB_NAME_MAX);
  if (kind != LC_ENDPOINT_ENGINE || !service || service[0] == '\0')
    return;
  length = strlen (key);
  key[length] = '\n';
  lb_strlcpy (key + length + 1, service, LB_NAME_MAX);
}

LcEndpointGroup *
lc_endpoints_find_group (const LcEndpoints *endpoints,
                         LcEndpointKind kind,
                         const char *pool,
                         const char *service)
{
  LcEndpointGroup *group = NULL;
  char key[LC_GROUP_KEY_SIZE];

  make_endpoint_group_key (key, kind, pool, service);
  HASH_FIND_STR (endpoints->groups, key, group);
  return group;
}

static void
add_entry_to_group (LcEndpoints *endpoints, LcEndpointEntry *entry)
{
  const LcEndpointMember *member = &entry->endpoint.member;
  LcEndpointKind kind = (LcEndpointKind)member->kind;
  LcEndpointGroup *group = lc_endpoints_find_group (endpoints, kind, member->pool, member->service);

  if (!group)
    {
      group = LB_NEW (LcEndpointGroup);
      make_endpoint_group_key (group->key, kind, member->pool, member->service);
      group->batch_slowdown = lc_batch_cost_full_batch_slowdown (&group->batch_cost);
      HASH_ADD_STR (endpoints->groups, key, group);
    }
  if (group->n_slots == group->capacity)
    {
      group->capacity = group->capacity ? group->capacity * 2 : 16;
      group->slots = lb_realloc (group->slots, group->capacity * sizeof *group->slots);
    }
  group->slots[group->n_slots++] = entry->endpoint.slot;
}

int
lc_endpoints_find_data_centre (const LcEndpoints *endpoints, const char *name)
{
  for (int i = 0; i < endpoints->n_data_centres; i++)
    if (strcmp (endpoints->data_centres[i], name) == 0)
      return i;
  return -1;
}

static int
add_data_centre (LcEndpoints *endpoints, const char *name)
{
  int known = lc_endpoints_find_data_centre (endpoints, name);

  if (known >= 0)
    return known;
  endpoints->data_centres
      = lb_realloc (endpoints->data_centres,
                    ((size_t)endpoints->n_data_centres + 1) * sizeof *endpoints->data_centres);
  LB_COPY (endpoints->data_centres[endpoints->n_data_centres], name);
  return endpoints->n_data_centres++;
}

static void
rebuild_endpoint_groups (LcEndpoints *endpoints, LbTime now)
{
  LcEndpointGroup *group = NULL;
  LcEndpointGroup *next = NULL;

  HASH_ITER (hh, endpoints->groups, group, next)
  group->n_slots = 0;
  for (size_t i = 0; i < endpoints->n_entries; i++)
    {
      LcEndpointEntry *entry = endpoints->entries[i];

      entry->data_centre = add_data_centre (endpoints, entry->endpoint.member.data_centre);
      add_entry_to_group (endpoints, entry);
      lc_endpoint_entry_refresh_public_state (entry, now);
    }
}

/* Updates the table to match the set. An endpoint that is no longer in the set gets no new
 * requests. It is freed by the first call that finds none of this instance's requests at the
 * endpoint, and pointers to the endpoint stay valid until then. */
void
lc_endpoints_configure (LcEndpoints *endpoints, const LcResourceSet *set, LbTime now)
{
  for (size_t i = 0; i < endpoints->n_entries; i++)
    endpoints->entries[i]->is_retired = true;
  for (size_t i = 0; i < set->n_endpoints; i++)
    add_or_update_endpoint (endpoints, &set->endpoints[i]);
  remove_retired_entries (endpoints);
  rebuild_endpoint_groups (endpoints, now);
}
