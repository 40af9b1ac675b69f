#include "lc-config-private.h"

const LcResourceSet *
lc_config_active_set (const LcConfig *config)
{
  return config->set;
}

int64_t
lc_config_active_revision (const LcConfig *config)
{
  return config->set->revision;
}

/* Returns true if this instance may accept new work with its active revision. */
bool
lc_config_is_ready_for_new_work (const LcConfig *config)
{
  return config->ready;
}

/* Returns the time since the latest confirmation by the store that this instance or a peer
 * received; -1 if none is known. */
LbTime
lc_config_confirmation_age (const LcConfig *config, LbTime now)
{
  return config->store_confirmed_at < 0 ? -1 : now - config->store_confirmed_at;
}

/* Returns true if at least one known instance is not listed as alive by the membership. */
bool
lc_config_has_unreachable_members (const LcConfig *config)
{
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (!peer->alive)
      return true;
  return false;
}

LcActiveCount
lc_config_count_instances_at_revision (const LcConfig *config, int64_t revision)
{
  LcActiveCount result = { .active = config->set->revision >= revision, .known = 1 };

  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    {
      result.active += peer->revision >= revision;
      result.known++;
    }
  return result;
}

void
lc_config_visit_instances (const LcConfig *config, LcConfigVisit visit, void *user)
{
  visit (config->settings.instance, config->set->revision, true, false, user);
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    visit (peer->name, peer->revision, peer->alive, peer->draining, user);
}

LbTime
lc_config_next_tick_at (const LcConfig *config)
{
  return config->next_poll_at < config->next_query_at ? config->next_poll_at
                                                      : config->next_query_at;
}
