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
  double tokens_per_second; /* of a request that runs alone */
  double batch_cost;        /* relative increase of the step time for each further request */
  double prefill_rate;      /* uncached prompt bytes per second */
  int64_t concurrency;      /* requests in the batch */
  int64_t max_waiting;      /* requests waiting to enter the batch */
  int64_t cache_blocks;
  LbTime load_time;
  bool checks_fence; /* refuses orders with an outdated fencing number */
  bool vary_length;  /* answers end after 1 to max_tokens tokens */
  uint64_t seed;     /* part of the incarnation's name */
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
  SiImport *imports; /* KV caches imported for requests to come */
  char incarnation[64];
  LbList waiting; /* highest priority first */
  LbList running; /* the batch */
  struct event *step_timer;
  struct event *keep_alive_timer;
  struct event *load_timer;
  bool is_step_scheduled;
  int64_t version;         /* 0: no complete weights */
  int64_t loading_version; /* 0: no load in progress */
  int64_t failed_version;  /* of the last load, if it failed; else 0 */
  int64_t fence;           /* highest fencing number seen */
  int64_t generated_tokens;
} SiEngine;

bool si_engine_init (SiEngine *engine, const SiEngineSettings *settings, int port);
void si_engine_clear (SiEngine *engine);

/* si-engine-run.c: the batch. */
void si_engine_handle_completion (SiEngine *engine, struct evhttp_request *request, bool chat);
void si_engine_schedule_step (SiEngine *engine);
void si_engine_drop_all_runs (SiEngine *engine);
void si_engine_start_timers (SiEngine *engine);
void si_engine_stop_timers (SiEngine *engine);
void si_engine_handle_kv_export (SiEngine *engine, struct evhttp_request *request);
void si_engine_handle_kv_import (SiEngine *engine, struct evhttp_request *request);

/* si-engine-orders.c: weight loading. */
void si_engine_handle_order (SiEngine *engine, struct evhttp_request *request);
void si_engine_on_load_done (evutil_socket_t fd, short what, void *user);
bool si_engine_is_loading (const SiEngine *engine);

#endif
