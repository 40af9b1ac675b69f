#ifndef LC_INSTANCE_H
#define LC_INSTANCE_H

#include "lc-types.h"

typedef enum
{
  LC_INSTANCE_ALIVE,
  /* a peer got no answer from the instance, neither on the open connection nor on a new one */
  LC_INSTANCE_SUSPECT,
  LC_INSTANCE_DEAD,
  LC_N_INSTANCE_STATES
} LcInstanceState;

/* State of one instance, as sent between instances. */
typedef struct
{
  LbName name;
  LbName incarnation; /* id that is new at each start of the process */
  LbName data_centre;
  LbName caller_address;
  LbName peer_address;
  uint64_t epoch; /* higher for each later incarnation of the same name */
  /* version of this state; raised only by the instance that the state describes */
  uint64_t version;
  LcInstanceState state;
  bool draining;
  int64_t load; /* processor use per mille, rounded down to a multiple of LC_INSTANCE_LOAD_STEP */
} LcInstance;

#define LC_INSTANCE_LOAD_STEP 250
#define LC_INSTANCE_MAX_LOAD 750

bool lc_instance_supersedes (const LcInstance *update, const LcInstance *known);
uint64_t lc_instance_digest (const LcInstance *instance);

#endif
