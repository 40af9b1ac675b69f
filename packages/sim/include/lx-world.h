#ifndef LX_WORLD_H
#define LX_WORLD_H

#include "lx-callers.h"
#include "lx-faults.h"
#include "lx-instance.h"
#include "lx-audit.h"
#include "lx-options.h"
#include "lx-registry.h"
#include "lx-store.h"
#include "lx-swaps.h"
#include "lx-trainer.h"

#include <gsl/gsl_rng.h>

#define LX_MAX_HISTORY_LINES 24

/* A simulation run in virtual time. The instances run the real code of core; endpoints, trainers,
 * callers, store and operators are simulated. */
typedef struct LxWorld
{
  LxOptions options;
  LxQueue *queue;
  gsl_rng *random; /* random generator of the simulation; core has its own */
  LxAudit audit;
  LxRegistry registry;
  LxEngine **engines; /* all endpoints: model engines first, then services */
  size_t n_engines;   /* number of model engines */
  size_t n_endpoints; /* number of model engines and service endpoints */
  LxInstance *instances;
  size_t n_instances;
  LxTrainer *trainers;
  LxCallers callers;
  LxWeightSwaps swaps;
  LxStore store;
  LxFaults faults;
  int64_t decisions; /* number of attempts that instances have sent */
  /* ring buffers of recent events, printed if a run fails */
  char recent_decisions[LX_MAX_HISTORY_LINES][128];
  uint64_t n_recorded_decisions;
  char recent_faults[LX_MAX_HISTORY_LINES][128];
  uint64_t n_recorded_faults;
} LxWorld;

LxWorld *lx_world_new (const LxOptions *options);
void lx_world_free (LxWorld *world);

/* --- functions that run the simulation or record events --- */
/* Starts all parts of the simulation; called by lx_world_run. */
void lx_world_start (LxWorld *world);
/* Starts the simulation and runs it until the duration, the number of events or, with
 * stop_at_violation, the first violation is reached. */
void lx_world_run (LxWorld *world);
void lx_world_record_fault (LxWorld *world, const char *fault, const char *target);
void lx_world_record_decision (LxWorld *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Adds an event that is due after `delay`; for the parameters see lx_queue_add_event. */
void lx_world_schedule (LxWorld *world,
                        LbTime delay,
                        LxEventHandler handler,
                        void *owner,
                        void *argument,
                        void (*free_argument) (void *argument));

/* --- functions that only read the world --- */
LbTime lx_world_now (const LxWorld *world);
uint64_t lx_world_get_event_number (const LxWorld *world);
/* Returns the one-way network latency between two data centres, which may be the same. */
LbTime lx_world_get_network_latency (const LxWorld *world, size_t data_centre, size_t other);
LxEngine *lx_world_find_engine (LxWorld *world, const char *name);
LxInstance *lx_world_find_instance (LxWorld *world, const char *name);
/* Returns the first running instance that is neither draining nor paused, searching from index
 * `preferred`; NULL if there is none. */
LxInstance *lx_world_choose_serving_instance (LxWorld *world, size_t preferred);

#endif
