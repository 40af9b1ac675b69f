#ifndef SI_ENGINE_H
#define SI_ENGINE_H

#include "si-cache.h"
#include "si-faults.h"
#include "si-run-log.h"
#include "si-server.h"

typedef struct
{
  const char *name;
  int64_t version;
  double tokens_per_second; /* of one request alone */
  double batch_cost;        /* how much longer a step takes for each further request, 0.03: 3 % */
  double prefill_rate;      /* bytes of prompt a second that are not in the prefix cache */
  int64_t concurrency;
  int64_t queue;
  int64_t cache_blocks;
  LbTime load_time;
  bool checks_fence;
  bool vary_length;
  uint64_t seed; /* makes the incarnation's name */
} SiEngineSettings;

typedef struct SiImport SiImport;

/* A model engine in the small: one step makes one token for each running request. */
typedef struct
{
  SiEngineSettings settings;
  SiServer server;
  SiFaults faults;
  SiRunLog log;
  SiCache cache;
  SiImport *imports;
  char incarnation[64];
  LbList waiting; /* by priority */
  LbList running;
  struct event *step;
  struct event *keep_alive;
  struct event *loaded;
  bool step_due;
  int64_t version; /* 0: none whole */
  int64_t loading_version;
  int64_t failed_version;
  int64_t fence;
  int64_t tokens_made;
} SiEngine;

bool si_engine_init (SiEngine *engine, const SiEngineSettings *settings, int port);
void si_engine_clear (SiEngine *engine);

/* The parts: si-engine-run.c makes tokens, si-engine-orders.c changes weights. */
void si_engine_handle_completion (SiEngine *engine, struct evhttp_request *request, bool chat);
void si_engine_schedule_step (SiEngine *engine);
void si_engine_drop_all_runs (SiEngine *engine);
void si_engine_start_timers (SiEngine *engine);
void si_engine_stop_timers (SiEngine *engine);
void si_engine_handle_export (SiEngine *engine, struct evhttp_request *request);
void si_engine_handle_import (SiEngine *engine, struct evhttp_request *request);
void si_engine_handle_order (SiEngine *engine, struct evhttp_request *request);
void si_engine_on_loaded (evutil_socket_t fd, short what, void *user);
bool si_engine_is_loading (const SiEngine *engine);

#endif
