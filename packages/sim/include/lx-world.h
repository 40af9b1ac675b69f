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

#define LX_HISTORY_LENGTH 24

/* A run: the instances' decisions among fakes of all that surrounds them, in virtual time. */
typedef struct LxWorld
{
  LxOptions options;
  LxQueue *queue;
  gsl_rng *random; /* for the harness alone */
  LxAudit audit;
  LxRegistry registry;
  LxEngine **engines; /* model engines first, then plain services */
  size_t n_engines;
  size_t n_endpoints;
  LxInstance *instances;
  size_t n_instances;
  LxTrainer *trainers;
  LxCallers callers;
  LxSwaps swaps;
  LxStore store;
  LxFaults faults;
  int64_t decisions;
  /* the last decisions and the last strikes, for a failing run */
  char history[LX_HISTORY_LENGTH][128];
  uint64_t n_history;
  char strikes[LX_HISTORY_LENGTH][128];
  uint64_t n_strikes;
} LxWorld;

LxWorld *lx_world_new (const LxOptions *options);
void lx_world_free (LxWorld *world);

/* commands */
/* Starts what surrounds the system; lx_world_run does it too. */
void lx_world_start (LxWorld *world);
void lx_world_run (LxWorld *world);
void lx_world_record_fault (LxWorld *world, const char *what, const char *where);
void lx_world_record_decision (LxWorld *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Handler after a delay; see lx_queue_add. */
void lx_world_schedule (LxWorld *world,
                        LbTime delay,
                        LxEventHandler handler,
                        void *owner,
                        void *argument,
                        void (*drop) (void *argument));

/* queries */
LbTime lx_world_now (const LxWorld *world);
uint64_t lx_world_event_number (const LxWorld *world);
LbTime lx_world_latency (const LxWorld *world, size_t data_centre, size_t other);
LxEngine *lx_world_find_engine (LxWorld *world, const char *name);
LxInstance *lx_world_find_instance (LxWorld *world, const char *name);
LxInstance *lx_world_choose_instance (LxWorld *world, size_t preferred);

#endif
