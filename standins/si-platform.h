#ifndef SI_PLATFORM_H
#define SI_PLATFORM_H

#include "lp-store.h"
#include "si-faults.h"
#include "si-server.h"

/* The platform over HTTP: table, objects, list of instances, newest weights. Faults by POST
 * /faults; what the list says, its lag and the rate by POST /control. */
typedef struct
{
  SiServer server;
  SiFaults faults;
  LpStore *store;
  struct json_object *instances; /* what GET /instances says */
  struct json_object *pending_instances;
  LbTime pending_due;
  LbTime instances_lag;
  double max_calls_per_second; /* calls a second; 0: any */
  double rate_tokens;
  LbTime rate_tokens_at;
  int64_t received; /* all that came, what a fault took included */
  int64_t served;   /* all that were served */
  int64_t writes;
  int64_t rejected_busy;
} SiPlatform;

bool si_platform_init (SiPlatform *platform, struct event_base *base, int port);
bool si_platform_init_program (SiPlatform *platform, int port);
void si_platform_clear (SiPlatform *platform);

#endif
