#include "lc-config-private.h"

const LcResourceSet *
lc_config_set (const LcConfig *config)
{
  return config->set;
}

int64_t
lc_config_revision (const LcConfig *config)
{
  return config->set->revision;
}

/* Whether new work may be taken with the revision in force. */
bool
lc_config_is_ready (const LcConfig *config)
{
  return config->ready;
}

/* Age of the youngest confirmation by the store that this instance knows of, its own or a peer's;
 * -1 when it knows of none. */
LbTime
lc_config_confirmation_age (const LcConfig *config, LbTime now)
{
  return config->store_confirmed_at < 0 ? -1 : now - config->store_confirmed_at;
}

/* True when some known instance is neither alive nor known to have left. */
bool
lc_config_has_absent_members (const LcConfig *config)
{
  for (const LcConfigPeer *peer = config->peers; peer; peer = peer->hh.next)
    if (!peer->alive)
      return true;
  return false;
}

LcActiveCount
lc_config_count_active (const LcConfig *config, int64_t revision)
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
  return config->next_poll < config->next_ask ? config->next_poll : config->next_ask;
}
