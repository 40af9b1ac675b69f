#ifndef LX_ENGINE_H
#define LX_ENGINE_H

#include "lx-queue.h"

#include "lc-dispatch.h"

#define LX_MAX_CACHED_BLOCKS 256
#define LX_CACHE_LOG_LENGTH 512

/* An attempt as the endpoint receives it. */
typedef struct
{
  uint64_t id;                   /* unique in the run */
  size_t instance;               /* index of the sender */
  uint32_t instance_incarnation; /* process of the sender */
  LcRequestId request;
  uint32_t attempt;
  LcRequestKind kind;
  int priority;
  int64_t prompt_tokens;
  uint64_t prefix_hashes[LC_MAX_PREFIX_HASHES];
  size_t n_prefix_hashes;
  int64_t offset;       /* first token to generate */
  int64_t total_tokens; /* of the complete answer */
  uint64_t job;         /* number in LxAudit */
} LxStreamSpec;

typedef struct
{
  LbLink link;
  LxStreamSpec spec;
  bool is_running;
  bool is_silent;         /* its pieces and its end are no longer sent */
  int64_t next_token;     /* first token of the next piece */
  int64_t piece_tokens;   /* length of the next piece */
  double piece_due_clock; /* token clock of the engine when the next piece is complete */
  LbTime arrived_at;
} LxStream;

typedef struct LxEngine LxEngine;

/* Callbacks for the output of an endpoint. */
typedef struct
{
  void (*on_piece) (void *user, LxEngine *engine, const LxStream *stream, const LcPiece *piece);
  void (*on_end) (void *user, LxEngine *engine, const LxStream *stream, LcAttemptEnd end);
  /* counts all generated tokens, also those that are not sent */
  void (*on_generated) (void *user, LxEngine *engine, const LxStream *stream, int64_t tokens);
  void (*on_silenced) (void *user, LxEngine *engine, const LxStream *stream);
  void *user;
} LxEngineListener;

/* Performance of an endpoint. */
typedef struct
{
  double token_seconds;           /* per token of a single stream */
  double token_seconds_per_other; /* added for each other stream in the batch */
  double prefill_token_seconds;   /* per prompt token that is not in the prefix cache */
  size_t max_cached_blocks;       /* capacity of the prefix cache */
  LbTime load_time;               /* to fetch a version while the previous one serves */
  LbTime pause_time;              /* to switch to the fetched version */
} LxEngineTimes;

typedef struct
{
  uint64_t sequence;
  uint64_t hash;
  bool stored; /* false: evicted */
} LxCacheEvent;

typedef struct
{
  uint64_t hash;
  uint64_t last_used; /* the engine's cache_use_counter at the last use */
} LxCachedBlock;

/* Simulated endpoint in virtual time: continuous batching with priorities, a prefix cache, weight
 * swaps during a stream, and faults. A service is an endpoint whose answers have one token. */
struct LxEngine
{
  LbName name;
  LbName address;
  LbName pool; /* or name of the service */
  size_t data_centre;
  bool is_service;
  int64_t concurrency;
  LxEngineTimes times;
  LxQueue *queue;
  LxEngineListener listener;
  /* state */
  uint32_t incarnation;
  bool alive;
  bool leaving;
  LbTime leaving_since;
  LbTime sent_while_leaving_at; /* when it was last sent new work while leaving; 0: never */
  bool paused;                  /* switches to other weights and generates nothing */
  bool loading;                 /* loads weights or switches to them */
  bool fail_next_load;          /* injected fault: the next switch leaves it without weights */
  LcVersion version;
  LcVersion loading_version;
  int64_t fence;
  LbList running;
  LbList waiting;
  double token_clock; /* tokens that a stream running since the start would have generated */
  LbTime token_clock_at;
  uint64_t timer_number; /* timer events with other numbers are obsolete */
  /* prefix cache */
  LxCachedBlock cached_blocks[LX_MAX_CACHED_BLOCKS];
  size_t n_cached_blocks;
  uint64_t cache_use_counter;
  LxCacheEvent cache_log[LX_CACHE_LOG_LENGTH]; /* ring buffer of the last events */
  uint64_t cache_sequence;                     /* of the last event */
  /* totals */
  int64_t generated_tokens;
  int64_t prompt_blocks;
  int64_t prompt_blocks_cached;
};

LxEngine *lx_engine_new (const char *name, LxQueue *queue, const LxEngineTimes *times);
void lx_engine_free (LxEngine *engine);

/* commands */
/* Returns false if the endpoint refuses the stream: it is leaving or has no complete weights. */
bool lx_engine_submit_stream (LxEngine *engine, const LxStreamSpec *spec);
/* The client closed the connection of this stream. */
void lx_engine_cancel_stream (LxEngine *engine, uint64_t id);
/* Loads a version while the current one serves, then switches to it; streams continue. */
void lx_engine_load_version (LxEngine *engine, LcVersion version);
void lx_engine_crash (LxEngine *engine);
/* Starts a new process; version 0: without weights. */
void lx_engine_start (LxEngine *engine, LcVersion version);
/* Breaks all connections; if silent, they stay open but nothing more is sent on them. */
void lx_engine_break_streams (LxEngine *engine, bool silent);

/* queries */
void lx_engine_get_load_report (const LxEngine *engine, LcLoadReport *report);
size_t lx_engine_count_streams (const LxEngine *engine);

#endif
