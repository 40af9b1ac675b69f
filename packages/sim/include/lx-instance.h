#ifndef LX_INSTANCE_H
#define LX_INSTANCE_H

#include "lx-callers.h"
#include "lx-engine.h"
#include "lx-text.h"

#include "lc-config.h"
#include "lc-rollouts.h"

#include <uthash.h>

struct LxWorld;

/* A stream without a byte for so long is taken for broken. */
#define LX_SILENT_STREAM_TIMEOUT (2 * LB_SEC)

/* One attempt whose connection is open. */
typedef struct
{
  uint32_t number;
  uint64_t stream;
  LxEngine *engine;
  LxText text;
  bool open;
} LxAttempt;

/* A request that this instance's dispatcher has taken. */
typedef struct
{
  UT_hash_handle hh;
  LcRequestId id;
  LcRequestSpec spec;
  uint64_t job;
  LxCall *call; /* NULL for a sample */
  LxText text;
  uint32_t heard; /* attempt whose piece was passed on last; 0: none */
  LxAttempt *attempts;
  size_t n_attempts;
} LxRequest;

/* An entry instance: the daemon's decisions, with the harness in place of its sockets. */
typedef struct LxInstance
{
  struct LxWorld *world;
  size_t index;
  LbName name;
  size_t data_centre;
  uint32_t life; /* number of its process */
  bool alive;
  bool draining;
  bool is_configured; /* this process has put a configuration in force */
  LbTime started_at;
  LbTime drained_at;  /* when its drain began */
  LbTime drain_ended; /* when its last drain ended in good order; 0: never */
  LbTime paused_at;
  LbTime paused_until;
  LcConfig *config;
  LbList config_actions;
  LbTime config_tick_at;
  int64_t revision_seen; /* by the check of what is in force */
  bool was_ready;
  LcDispatch *dispatch;
  LcRollouts *rollouts;
  int64_t core_failures; /* as counted by core */
  LcRequestId last_request;
  LxRequest *requests;
  LbList actions;
  LbList rollout_actions;
  LbTime tick_at;
  uint64_t *cache_cursors; /* one per engine */
} LxInstance;

/* A piece or an end on its way from an endpoint. */
typedef struct
{
  LcRequestId request;
  uint32_t attempt;
  bool is_end;
  LcAttemptEnd end;
  LcPiece piece;
} LxDelivery;

typedef void (*LxInstanceHandler) (LxInstance *instance, void *argument);

void lx_instance_init (LxInstance *instance, struct LxWorld *world, size_t index);
void lx_instance_clear (LxInstance *instance);

/* commands */
void lx_instance_start (LxInstance *instance);
/* The process is gone; its connections break. */
void lx_instance_kill (LxInstance *instance);
void lx_instance_drain (LxInstance *instance);
/* Another instance has taken the step over in good order. */
void lx_instance_abort_step (LxInstance *instance, const char *subscription, int64_t step);
/* A message for the instance's present process: it waits while the process is paused and is lost
 * with the process. drop frees the argument, also after the handler has run. */
void lx_instance_post (LxInstance *instance,
                       LbTime delay,
                       LxInstanceHandler handler,
                       void *argument,
                       void (*drop) (void *argument));
void lx_instance_apply_config (LxInstance *instance, const LcResourceSet *set);
/* An operator's change, for the revision that this instance has. */
void lx_instance_submit_change (LxInstance *instance, struct json_object *content);
/* False: refused as "not run" with an error. */
bool lx_instance_submit_call (
    LxInstance *instance, LcRequestSpec *spec, uint64_t job, LxCall *call, LbError *error);
/* What an endpoint sends; it arrives one way later, an end delay later still. */
void lx_instance_send_piece (LxInstance *instance,
                             const LxEngine *engine,
                             const LxStreamSpec *stream,
                             const LcPiece *piece);
void lx_instance_send_end (LxInstance *instance,
                           const LxEngine *engine,
                           const LxStreamSpec *stream,
                           LcAttemptEnd end,
                           LbTime delay);
void lx_instance_record_load (LxInstance *instance, size_t engine, const LcLoadReport *report);
void lx_instance_set_swap (LxInstance *instance, size_t engine, bool pending, LbTime until);
void lx_instance_set_versions (LxInstance *instance, LcVersion newest, LbTime cadence);
/* Takes the step over by a new session in the store, then opens it; takes over the spec. */
void lx_instance_open_step (LxInstance *instance, LcStepSpec *spec, size_t trainer);
void lx_instance_pull (LxInstance *instance, const LcPull *pull);

#endif
