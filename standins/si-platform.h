#ifndef SI_PLATFORM_H
#define SI_PLATFORM_H

#include "lp-store.h"
#include "si-faults.h"
#include "si-server.h"

/* The platform over HTTP: table, objects, list of instances, newest weights. POST /faults sets
 * faults; POST /control sets the list of instances, its lag, the weights and the rate limit. */
typedef struct
{
  SiServer server;
  SiFaults faults;
  LpStore *store;
  struct json_object *instances;         /* body of GET /instances */
  struct json_object *pending_instances; /* replaces instances at pending_due; NULL: none */
  LbTime pending_due;
  LbTime instances_lag;
  double max_calls_per_second; /* 0: unlimited */
  double rate_tokens;          /* token bucket of the rate limit */
  LbTime rate_tokens_at;       /* when rate_tokens was last refilled */
  int64_t received;            /* calls, including those that a fault dropped */
  int64_t served;
  int64_t writes;
  int64_t rejected_busy;
} SiPlatform;

bool si_platform_init (SiPlatform *platform, struct event_base *base, int port);
/* Creates the event loop and signal handlers too, as si_server_init_program does. */
bool si_platform_init_program (SiPlatform *platform, int port);
void si_platform_clear (SiPlatform *platform);

#endif
