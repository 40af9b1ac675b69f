#ifndef LX_ENGINE_H
#define LX_ENGINE_H

#include "lx-queue.h"

#include "lc-dispatch.h"

#define LX_MAX_CACHED_BLOCKS 256
#define LX_CACHE_LOG_LENGTH 512

/* An attempt to execute a request, as the endpoint receives it. */
typedef struct
{
  uint64_t id;                   /* stream number in LxAudit */
  size_t instance;               /* index of the instance that sent the attempt */
  uint32_t instance_incarnation; /* incarnation of the process that sent the attempt */
  LcRequestId request;
  uint32_t attempt;
  LcRequestKind kind;
  int priority;
  int64_t prompt_tokens;
  uint64_t prefix_hashes[LC_MAX_PREFIX_HASHES];
  size_t n_prefix_hashes;
  int64_t offset;       /* position of the first token to generate */
  int64_t total_tokens; /* length of the complete answer */
  uint64_t job;         /* job number in LxAudit */
} LxStreamSpec;

typedef struct
{
  LbLink link;
  LxStreamSpec spec;
  bool is_running;
  bool is_silent;         /* the engine no longer sends the stream's pieces and end */
  int64_t next_token;     /* position of the first token of the next piece */
  int64_t piece_tokens;   /* length of the next piece in tokens */
  double piece_due_clock; /* LxEngine.token_clock when the next piece is complete */
  LbTime arrived_at;
} LxStream;

typedef struct LxEngine LxEngine;

/* Callbacks for the output of an endpoint. */
typedef struct
{
  void (*on_piece) (void *user, LxEngine *engine, const LxStream *stream, const LcPiece *piece);
  void (*on_end) (void *user, LxEngine *engine, const LxStream *stream, LcAttemptEnd end);
  /* reports all generated tokens, including tokens that are never sent */
  void (*on_generated) (void *user, LxEngine *engine, const LxStream *stream, int64_t tokens);
  /* the endpoint sends nothing more on the stream, but keeps its connection open */
  void (*on_silenced) (void *user, LxEngine *engine, const LxStream *stream);
  void *user;
} LxEngineListener;

/* Performance of an endpoint. */
typedef struct
{
  double token_seconds;           /* time per token of a stream that runs alone */
  double token_seconds_per_other; /* added to token_seconds for each other stream in the batch */
  double prefill_token_seconds;   /* time per prompt token that is not in the prefix cache */
  size_t max_cached_blocks;       /* capacity of the prefix cache in blocks */
  LbTime load_time;  /* time to load a weight version while the previous version serves */
  LbTime pause_time; /* time to switch to the loaded version, without generation */
} LxEngineTimes;

typedef struct
{
  uint64_t sequence;
  uint64_t hash;
  bool stored; /* true: the block was stored; false: evicted */
} LxCacheEvent;

typedef struct
{
  uint64_t hash;
  uint64_t last_used; /* LxEngine.cache_use_counter at the last use of the block */
} LxCachedBlock;

/* A simulated endpoint in virtual time, with continuous batching by priority, a prefix cache,
 * weight swaps during streams, and faults. A service is an endpoint whose answers have one
 * token. */
struct LxEngine
{
  LbName name;
  LbName address;
  LbName pool; /* name of the engine's pool or of the service */
  size_t data_centre;
  bool is_service;
  int64_t concurrency;
  LxEngineTimes times;
  LxQueue *queue;
  LxEngineListener listener;
  /* state that changes during the run */
  uint32_t incarnation;
  bool alive;
  bool leaving;
  LbTime leaving_since;
  LbTime sent_while_leaving_at; /* last time new work was sent to the leaving endpoint; 0: never */
  bool paused;                  /* the engine switches weights and generates no tokens */
  bool loading;                 /* the engine loads a weight version or switches to it */
  bool fail_next_load;          /* injected fault: the next weight switch leaves no weights */
  LcVersion version;
  LcVersion loading_version;
  int64_t fence;
  LbList running;
  LbList waiting;
  double token_clock;    /* tokens that a stream running since the start would have generated */
  LbTime token_clock_at; /* time of the last update of token_clock */
  uint64_t timer_number; /* number of the current piece timer; older timers are ignored */
  /* prefix cache */
  LxCachedBlock cached_blocks[LX_MAX_CACHED_BLOCKS];
  size_t n_cached_blocks;
  uint64_t cache_use_counter;
  LxCacheEvent cache_log[LX_CACHE_LOG_LENGTH]; /* ring buffer of the last cache events */
  uint64_t cache_sequence;                     /* sequence number of the last cache event */
  /* totals since the engine was created */
  int64_t generated_tokens;
  int64_t prompt_blocks;
  int64_t prompt_blocks_cached;
};

LxEngine *lx_engine_new (const char *name, LxQueue *queue, const LxEngineTimes *times);
void lx_engine_free (LxEngine *engine);

/* --- functions that change the endpoint --- */
/* Returns false if the endpoint refuses the stream because it is leaving or has no weights. */
bool lx_engine_submit_stream (LxEngine *engine, const LxStreamSpec *spec);
/* Ends a stream whose connection the client has closed. */
void lx_engine_cancel_stream (LxEngine *engine, uint64_t id);
/* Loads a weight version while the current version serves, then switches versions; streams
 * continue. */
void lx_engine_load_version (LxEngine *engine, LcVersion version);
void lx_engine_crash (LxEngine *engine);
/* Starts a new process of the endpoint with this weight version; 0: without weights. */
void lx_engine_start (LxEngine *engine, LcVersion version);
/* Closes the connections of all streams or, if silent, keeps the connections open, but sends
 * nothing more on them. */
void lx_engine_break_streams (LxEngine *engine, bool silent);

/* --- functions that only read the endpoint --- */
void lx_engine_get_load_report (const LxEngine *engine, LcLoadReport *report);
size_t lx_engine_count_streams (const LxEngine *engine);

#endif
