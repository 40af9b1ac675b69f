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
  double tokens_per_second; /* token rate of a request that runs alone */
  double batch_cost;   /* relative increase of the step time per further request in the batch */
  double prefill_rate; /* uncached prompt bytes processed per second */
  int64_t concurrency; /* maximum number of requests in the batch */
  int64_t max_waiting; /* maximum number of requests that wait to enter the batch */
  int64_t cache_blocks;
  LbTime load_time;
  bool checks_fence; /* set: orders with an outdated fencing token are refused */
  bool vary_length;  /* set: answer lengths vary from 1 to max_tokens tokens */
  uint64_t seed;     /* part of SiEngine.incarnation */
} SiEngineSettings;

typedef struct SiImport SiImport;

/* Simulates an inference engine with continuous batching: each step generates one token for every
 * running request. */
typedef struct
{
  SiEngineSettings settings;
  SiServer server;
  SiFaults faults;
  SiRunLog log;
  SiCache cache;
  SiImport *imports; /* KV caches imported for requests that this engine will resume */
  char incarnation[64];
  LbList waiting; /* requests outside the batch, highest priority first */
  LbList running; /* requests in the batch */
  struct event *step_timer;
  struct event *keep_alive_timer;
  struct event *load_timer;
  bool is_step_scheduled;
  int64_t version;         /* weight version in use; 0: no version is completely loaded */
  int64_t loading_version; /* weight version being loaded; 0: no load in progress */
  int64_t failed_version;  /* weight version of the last load if it failed, otherwise 0 */
  int64_t fence;           /* highest fencing token received */
  int64_t generated_tokens;
} SiEngine;

bool si_engine_init (SiEngine *engine, const SiEngineSettings *settings, int port);
void si_engine_clear (SiEngine *engine);

/* Defined in si-engine-run.c: batch scheduling, completions and KV cache transfer. */
void si_engine_handle_completion (SiEngine *engine, struct evhttp_request *request, bool chat);
void si_engine_schedule_batch_step (SiEngine *engine);
void si_engine_abort_all_completions (SiEngine *engine);
void si_engine_start_timers (SiEngine *engine);
void si_engine_free_timers_and_kv_imports (SiEngine *engine);
void si_engine_handle_kv_export (SiEngine *engine, struct evhttp_request *request);
void si_engine_handle_kv_import (SiEngine *engine, struct evhttp_request *request);

/* Defined in si-engine-orders.c: control orders and weight loading. */
void si_engine_handle_control_order (SiEngine *engine, struct evhttp_request *request);
void si_engine_on_weight_load_done (evutil_socket_t fd, short what, void *user);
bool si_engine_is_loading_weights (const SiEngine *engine);

#endif
