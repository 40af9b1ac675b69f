#ifndef LX_FAULTS_H
#define LX_FAULTS_H

#include "lb-types.h"

struct LxWorld;

typedef enum
{
  LX_FAULT_ENGINE_CRASH,
  LX_FAULT_STREAMS_BREAK,  /* all connections of an endpoint are closed */
  LX_FAULT_STREAMS_SILENT, /* an endpoint sends nothing on its open connections */
  /* for a while, pieces are late or doubled, and configuration messages late, doubled or lost */
  LX_FAULT_PIECES_GARBLED,
  LX_FAULT_VERSION_MISSING, /* some pieces lack their weight version for a while */
  LX_FAULT_SWAP_FAILS,      /* the next weight switch leaves an engine without weights */
  LX_FAULT_ENDPOINT_LEAVES, /* an endpoint refuses work, completes its streams, restarts */
  LX_FAULT_INSTANCE_KILLED,
  LX_FAULT_INSTANCE_PAUSED,
  LX_FAULT_INSTANCE_DRAINS,
  LX_FAULT_OWNER_REPLACED, /* another instance takes over a step from a healthy owner */
  LX_FAULT_STORE_AWAY,     /* the configuration and ledger store is unavailable for a while */
  LX_FAULT_REPLIES_LOST,   /* some replies of the store are lost for a while */
  LX_N_FAULTS
} LxFault;

/* Injects faults at random times. Each injection has a random sequence of its own, seeded by the
 * number of the injection, so that skipping injections does not change the others. */
typedef struct
{
  struct LxWorld *world;
  uint32_t enabled_kinds; /* bit i: LxFault i is injected; 0: no faults */
  LbTime mean_interval;   /* mean time between injections */
  uint64_t n_injections;
  const uint8_t *skipped; /* nonzero at i: injection number i is skipped; NULL: none is skipped */
  size_t n_skipped;
  LbTime garbled_until;
  LbTime versions_missing_until;
} LxFaults;

void lx_faults_init (LxFaults *faults, struct LxWorld *world);

/* --- functions that inject faults --- */
void lx_faults_start (LxFaults *faults);
/* Injects a fault into the named endpoint or instance. `duration` applies only to faults that end
 * by themselves. Returns false if the name is unknown. */
bool lx_faults_inject (LxFaults *faults,
                       LxFault fault,
                       const char *endpoint,
                       const char *instance,
                       size_t trainer,
                       LbTime duration);

/* --- functions without side effects --- */
const char *lx_fault_name (LxFault fault);
/* Returns true for this share, 0..1, of the simulation events. The result depends only on the seed
 * and the number of the current event. */
bool lx_faults_is_current_event_affected (const LxFaults *faults, double share);

#endif
