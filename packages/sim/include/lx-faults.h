#ifndef LX_FAULTS_H
#define LX_FAULTS_H

#include "lb-types.h"

struct LxWorld;

typedef enum
{
  LX_FAULT_ENGINE_CRASH,
  LX_FAULT_STREAMS_BREAK,
  LX_FAULT_STREAMS_SILENT,
  LX_FAULT_PIECES_GARBLED, /* doubled, late and foreign pieces for a while */
  LX_FAULT_VERSION_MISSING,
  LX_FAULT_SWAP_FAILS,
  LX_FAULT_ENDPOINT_LEAVES,
  LX_FAULT_INSTANCE_KILLED,
  LX_FAULT_INSTANCE_PAUSED,
  LX_FAULT_INSTANCE_DRAINS,
  LX_FAULT_OWNER_REPLACED, /* another instance takes a step while its owner is well */
  LX_FAULT_STORE_AWAY,
  LX_FAULT_REPLIES_LOST,
  LX_N_FAULTS
} LxFault;

/* Strikes at random moments. Each strike is drawn from its own number, so that the rest of a run's
 * strikes stay the same when some are left out. */
typedef struct
{
  struct LxWorld *world;
  uint32_t kinds;    /* bits by LxFault; 0: none */
  LbTime mean_pause; /* between strikes */
  uint64_t n_strikes;
  const uint8_t *left_out; /* by strike; NULL: none */
  size_t n_left_out;
  LbTime garbled_until;
  LbTime versions_missing_until;
} LxFaults;

void lx_faults_init (LxFaults *faults, struct LxWorld *world);

/* commands */
void lx_faults_start (LxFaults *faults);
/* One strike at a named endpoint or instance, for a time where that applies; false when there is
 * none of the name. */
bool lx_faults_inject (LxFaults *faults,
                       LxFault fault,
                       const char *endpoint,
                       const char *instance,
                       size_t trainer,
                       LbTime time);

/* queries */
const char *lx_fault_name (LxFault fault);
/* Decides for one event by its number; the same number decides the same. */
bool lx_faults_is_event_selected (const LxFaults *faults, double share);

#endif
