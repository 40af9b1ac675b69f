#ifndef LX_ENGINE_H
#define LX_ENGINE_H

#include "lx-queue.h"

#include "lc-dispatch.h"

#define LX_MAX_CACHED_BLOCKS 256
#define LX_CACHE_LOG_LENGTH 512

/* One attempt as an endpoint sees it. */
typedef struct
{
  uint64_t id; /* unique in the run */
  size_t instance;
  uint32_t instance_life; /* the process of the instance that sent it */
  LcRequestId request;
  uint32_t attempt;
  LcRequestKind kind;
  int priority;
  int64_t prompt_tokens;
  uint64_t prefix_hashes[LC_MAX_PREFIX_HASHES];
  size_t n_prefix_hashes;
  int64_t offset; /* first token to make */
  int64_t length; /* tokens of the whole answer */
  uint64_t job;   /* the harness's own number of what was asked for */
} LxStreamSpec;

typedef struct
{
  LbLink link;
  LxStreamSpec spec;
  bool running;
  bool silent;        /* its pieces no longer reach anybody */
  int64_t offset;     /* next token to send */
  int64_t piece;      /* tokens of the next piece */
  double piece_clock; /* engine clock at which that piece is made */
  LbTime arrived;
} LxStream;

typedef struct LxEngine LxEngine;

/* Who hears of what an endpoint does. */
typedef struct
{
  void (*piece) (void *user, LxEngine *engine, const LxStream *stream, const LcPiece *piece);
  void (*ended) (void *user, LxEngine *engine, const LxStream *stream, LcAttemptEnd end);
  /* tokens that cost work, also those that reach nobody */
  void (*made) (void *user, LxEngine *engine, const LxStream *stream, int64_t tokens);
  void (*went_silent) (void *user, LxEngine *engine, const LxStream *stream);
  void *user;
} LxEngineListener;

/* Service times of an endpoint; seconds. */
typedef struct
{
  double token;           /* one token of a stream alone */
  double token_per_other; /* more for each other stream in the batch */
  double prefill;         /* one prompt token that is not in the prefix cache */
  size_t cached_blocks;   /* size of the prefix cache */
  LbTime load;            /* pulling a version while serving the one before */
  LbTime pause;           /* changing to it */
} LxEngineTimes;

typedef struct
{
  uint64_t sequence;
  uint64_t hash;
  bool stored;
} LxCacheEvent;

typedef struct
{
  uint64_t hash;
  uint64_t used;
} LxCachedBlock;

/* A fake endpoint in virtual time: continuous batching with priorities, a prefix cache, weight
 * swaps in mid-stream, faults. A plain service is one whose answers have a single token. */
struct LxEngine
{
  LbName name;
  LbName address;
  LbName group; /* pool, or name of the plain service */
  size_t data_centre;
  bool is_service;
  int64_t concurrency;
  LxEngineTimes times;
  LxQueue *queue;
  LxEngineListener listener;
  /* state */
  uint32_t life; /* number of its process; names the incarnation */
  bool alive;
  bool leaving;
  LbTime leaving_since;
  LbTime sent_while_leaving; /* last time that somebody sent it new work; 0: never */
  bool paused;
  bool loading;
  bool fail_next_load;
  LcVersion version;
  LcVersion wanted;
  int64_t fence;
  LbList running;
  LbList waiting;
  double clock; /* tokens that a stream would have made since the start */
  LbTime clock_at;
  uint64_t timer; /* only the timer event with this number counts */
  /* prefix cache */
  LxCachedBlock cached[LX_MAX_CACHED_BLOCKS];
  size_t n_cached;
  uint64_t cache_clock;
  LxCacheEvent cache_log[LX_CACHE_LOG_LENGTH];
  uint64_t cache_sequence;
  /* measures */
  int64_t tokens;
  int64_t prompt_blocks;
  int64_t prompt_blocks_found;
};

LxEngine *lx_engine_new (const char *name, LxQueue *queue, const LxEngineTimes *times);
void lx_engine_free (LxEngine *engine);

/* commands */
/* False: the endpoint refused before it started (it is leaving or has no whole weights). */
bool lx_engine_submit (LxEngine *engine, const LxStreamSpec *spec);
void lx_engine_cancel (LxEngine *engine, uint64_t id);
void lx_engine_load_version (LxEngine *engine, LcVersion version);
void lx_engine_crash (LxEngine *engine);
void lx_engine_start (LxEngine *engine, LcVersion version);
void lx_engine_break_streams (LxEngine *engine, bool silent);

/* queries */
void lx_engine_get_load_report (const LxEngine *engine, LcLoadReport *report);
size_t lx_engine_count_in_progress (const LxEngine *engine);

#endif
