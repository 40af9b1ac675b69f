#ifndef LX_FAULTS_H
#define LX_FAULTS_H

#include "lb-types.h"

struct LxWorld;

typedef enum
{
  LX_FAULT_ENGINE_CRASH,
  LX_FAULT_STREAMS_BREAK,   /* all connections of an endpoint are closed */
  LX_FAULT_STREAMS_SILENT,  /* all its connections stay open, but carry nothing */
  LX_FAULT_PIECES_GARBLED,  /* duplicated and late pieces and messages for a while */
  LX_FAULT_VERSION_MISSING, /* some pieces do not name their weight version for a while */
  LX_FAULT_SWAP_FAILS,      /* the next switch of weights leaves an engine without weights */
  LX_FAULT_ENDPOINT_LEAVES, /* refuses new work, completes its streams and restarts */
  LX_FAULT_INSTANCE_KILLED,
  LX_FAULT_INSTANCE_PAUSED,
  LX_FAULT_INSTANCE_DRAINS,
  LX_FAULT_OWNER_REPLACED, /* another instance takes over a step from a healthy owner */
  LX_FAULT_STORE_AWAY,     /* the store is unavailable for a while */
  LX_FAULT_REPLIES_LOST,   /* some of the store's replies are lost for a while */
  LX_N_FAULTS
} LxFault;

/* Injects faults at random times. Each injection draws from a random sequence seeded by its own
 * number, so that skipping some does not change the others. */
typedef struct
{
  struct LxWorld *world;
  uint32_t enabled_kinds; /* bit i: LxFault i is injected; 0: none */
  LbTime mean_interval;   /* between injections */
  uint64_t n_injections;
  const uint8_t *skipped; /* by number of the injection: nonzero if not made; NULL: all are made */
  size_t n_skipped;
  LbTime garbled_until;
  LbTime versions_missing_until;
} LxFaults;

void lx_faults_init (LxFaults *faults, struct LxWorld *world);

/* commands */
void lx_faults_start (LxFaults *faults);
/* Injects one fault into the named endpoint or instance, for `duration` if the fault has one;
 * returns false if the name is unknown. */
bool lx_faults_inject (LxFaults *faults,
                       LxFault fault,
                       const char *endpoint,
                       const char *instance,
                       size_t trainer,
                       LbTime duration);

/* queries */
const char *lx_fault_name (LxFault fault);
/* Returns true for this share of all events; depends only on the seed and the current event's
 * number. */
bool lx_faults_is_event_selected (const LxFaults *faults, double share);

#endif
