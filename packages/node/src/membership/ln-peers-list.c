#include "ln-peers-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lp-platform.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define LIST_LEAST (2 * LB_SEC)
#define LIST_MOST (30 * LB_SEC)
#define LIST_PER_INSTANCE (200 * LB_MSEC)

static bool
is_listed (const char *const *names, size_t n_names, const char *name)
{
  for (size_t i = 0; i < n_names; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

static void
say_leaving (LnPeers *peers, const char *endpoint, bool stays)
{
  LnTask *calls = ln_hub_find_task (peers->base.hub, "calls");
  LnEndpointLeavingMessage message = { .base = LN_MESSAGE (LN_ENDPOINT_LEAVING),
                                       .source = LC_LEAVING_PLATFORM,
                                       .withdrawn = stays };

  if (!calls)
    return;
  LB_COPY (message.endpoint, endpoint);
  LN_POST (peers->base.hub, calls, message);
}

/* Passes on which endpoints the platform's list says are leaving, and which no longer. */
static void
take_leaving_endpoints (LnPeers *peers, const LpInstanceList *list)
{
  for (size_t i = 0; i < peers->n_leaving; i++)
    if (!is_listed (list->leaving_endpoints, list->n_leaving_endpoints, peers->leaving[i]))
      say_leaving (peers, peers->leaving[i], true);
  peers->leaving = lb_realloc (peers->leaving, list->n_leaving_endpoints * sizeof (LbName));
  peers->n_leaving = list->n_leaving_endpoints;
  for (size_t i = 0; i < peers->n_leaving; i++)
    {
      say_leaving (peers, list->leaving_endpoints[i], false);
      LB_COPY (peers->leaving[i], list->leaving_endpoints[i]);
    }
}

static void
take_list (LnPeers *peers, const LpInstanceList *list)
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
  take_leaving_endpoints (peers, list);
  ln_peers_run_actions (peers);
}

/* The platform is freed right after the tasks and drops what it has not answered: on_list never
 * sees a task that has ended, and an unanswered call leaves nothing behind. */
static void
on_list (LbErrorCode error, const LpInstanceList *list, void *user)
{
  LnPeers *peers = user;

  peers->listing = false;
  if (error == LB_OK)
    take_list (peers, list);
}

/* The list grows with the instances and each instance reads it, so the pause grows with them too:
 * some instance still reads it every LIST_PER_INSTANCE and tells the others who leaves. Spread, so
 * that instances that started together do not read together. */
static LbTime
list_pause (const LnPeers *peers, LbTime now)
{
  LbTime pause = (LbTime)lc_membership_count (peers->membership) * LIST_PER_INSTANCE;
  LbTime spread = (LbTime)(XXH64 (&now, sizeof now, peers->context->settings->seed) % 512);

  if (pause < LIST_LEAST)
    pause = LIST_LEAST;
  if (pause > LIST_MOST)
    pause = LIST_MOST;
  return pause - pause * spread / 2048;
}

void
ln_peers_request_list (LnPeers *peers, LbTime now)
{
  LpPlatform *platform = peers->context->platform;

  if (now < peers->next_list || peers->listing || !platform)
    return;
  peers->next_list = now + list_pause (peers, now);
  peers->listing = true;
  platform->klass->instances (platform, on_list, peers);
}
