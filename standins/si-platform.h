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
  struct json_object *next_instances;
  LbTime next_due;
  LbTime lag;
  double rate; /* calls a second; 0: any */
  double allowance;
  LbTime allowance_at;
  int64_t seen;  /* all that came, what a fault took included */
  int64_t calls; /* all that were served */
  int64_t writes;
  int64_t busy;
} SiPlatform;

bool si_platform_init (SiPlatform *platform, struct event_base *base, int port);
bool si_platform_init_program (SiPlatform *platform, int port);
void si_platform_clear (SiPlatform *platform);

#endif
