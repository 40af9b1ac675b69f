#include "ln-peers-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lp-platform.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MIN_PLATFORM_LIST_PERIOD (2 * LB_SEC)
#define MAX_PLATFORM_LIST_PERIOD (30 * LB_SEC)
#define LIST_PERIOD_PER_INSTANCE (200 * LB_MSEC)

static bool
contains_name (const char *const *names, size_t n_names, const char *name)
{
  for (size_t i = 0; i < n_names; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

static void
post_endpoint_leaving (LnPeers *peers, const char *endpoint, bool is_withdrawn)
{
  LnTask *calls = ln_hub_find_task (peers->base.hub, "calls");
  LnEndpointLeavingMessage message = { .base = LN_MESSAGE (LN_ENDPOINT_LEAVING),
                                       .source = LC_LEAVING_PLATFORM,
                                       .withdrawn = is_withdrawn };

  if (!calls)
    return;
  LB_COPY (message.endpoint, endpoint);
  LN_POST (peers->base.hub, calls, message);
}

/* Posts which endpoints are leaving according to the platform's list, and which no longer are. */
static void
post_listed_leaving_endpoints (LnPeers *peers, const LpInstanceList *list)
{
  for (size_t i = 0; i < peers->n_leaving_endpoints; i++)
    if (!contains_name (list->leaving_endpoints, list->n_leaving_endpoints,
                        peers->leaving_endpoints[i]))
      post_endpoint_leaving (peers, peers->leaving_endpoints[i], true);
  peers->leaving_endpoints
      = lb_realloc (peers->leaving_endpoints, list->n_leaving_endpoints * sizeof (LbName));
  peers->n_leaving_endpoints = list->n_leaving_endpoints;
  for (size_t i = 0; i < peers->n_leaving_endpoints; i++)
    {
      post_endpoint_leaving (peers, list->leaving_endpoints[i], false);
      LB_COPY (peers->leaving_endpoints[i], list->leaving_endpoints[i]);
    }
}

static void
apply_platform_instance_list (LnPeers *peers, const LpInstanceList *list)
{
  LcListedInstance *listed = LB_NEW_ARRAY (LcListedInstance, list->n_instances);

  for (size_t i = 0; i < list->n_instances; i++)
    {
      LB_COPY (listed[i].name, list->instances[i].name);
      LB_COPY (listed[i].peer_address, list->instances[i].peer_address);
      listed[i].leaving = list->instances[i].leaving;
    }
  lc_membership_apply_platform_list (peers->membership, listed, list->n_instances,
                                     lb_clock_monotonic (), &peers->actions);
  free (listed);
  post_listed_leaving_endpoints (peers, list);
  ln_peers_run_membership_actions (peers);
}

/* The platform is freed right after the tasks and drops its pending calls, so this callback never
 * runs after its task was freed, and a pending call leaks nothing. */
static void
on_platform_instances_listed (LbErrorCode error, const LpInstanceList *list, void *user)
{
  LnPeers *peers = user;

  peers->is_list_pending = false;
  if (error == LB_OK)
    apply_platform_instance_list (peers, list);
}

/* Each instance reads the platform's list, which grows with the number of instances, so the time
 * between two reads grows with that number too. On average one instance still reads the list every
 * LIST_PERIOD_PER_INSTANCE, and notifies the others of leaving instances. The time is randomly
 * shortened by up to a quarter, so that instances that started together do not read the list at the
 * same time. */
static LbTime
choose_platform_list_period (const LnPeers *peers, LbTime now)
{
  LbTime period
      = (LbTime)lc_membership_count_instances (peers->membership) * LIST_PERIOD_PER_INSTANCE;
  LbTime spread = (LbTime)(XXH64 (&now, sizeof now, peers->context->settings->seed) % 512);

  if (period < MIN_PLATFORM_LIST_PERIOD)
    period = MIN_PLATFORM_LIST_PERIOD;
  if (period > MAX_PLATFORM_LIST_PERIOD)
    period = MAX_PLATFORM_LIST_PERIOD;
  return period - period * spread / 2048;
}

void
ln_peers_request_platform_list (LnPeers *peers, LbTime now)
{
  LpPlatform *platform = peers->context->platform;

  if (now < peers->next_list_at || peers->is_list_pending || !platform)
    return;
  peers->next_list_at = now + choose_platform_list_period (peers, now);
  peers->is_list_pending = true;
  platform->klass->list_instances (platform, on_platform_instances_listed, peers);
}
