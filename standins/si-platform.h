#ifndef SI_PLATFORM_H
#define SI_PLATFORM_H

#include "lp-store.h"
#include "si-faults.h"
#include "si-server.h"

/* Stand-in for the platform's HTTP API: table, objects, list of instances, newest weight versions.
 * POST /faults sets faults; POST /control sets the list of instances, the delay until the list
 * becomes visible, the weight versions and the rate limit. */
typedef struct
{
  SiServer server;
  SiFaults faults;
  LpStore *store;
  struct json_object *instances;         /* reply body of GET /instances */
  struct json_object *pending_instances; /* replaces instances at pending_due; NULL: none */
  LbTime pending_due;
  LbTime instances_lag;
  double max_calls_per_second; /* 0: unlimited */
  double rate_tokens;          /* tokens in the rate limit's token bucket; a call takes one */
  LbTime rate_tokens_at;       /* when rate_tokens was last refilled */
  int64_t received;            /* number of calls received, including calls that a fault dropped */
  int64_t served;
  int64_t writes;
  int64_t rejected_busy;
} SiPlatform;

bool si_platform_init (SiPlatform *platform, struct event_base *base, int port);
/* Like si_platform_init, but creates the event loop and lets SIGTERM and SIGINT end it. */
bool si_platform_init_standalone (SiPlatform *platform, int port);
void si_platform_clear (SiPlatform *platform);

#endif
