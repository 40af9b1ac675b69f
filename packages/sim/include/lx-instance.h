#ifndef LX_INSTANCE_H
#define LX_INSTANCE_H

#include "lx-callers.h"
#include "lx-engine.h"
#include "lx-text.h"

#include "lc-config.h"
#include "lc-rollouts.h"

#include <uthash.h>

struct LxWorld;

/* A stream on which nothing arrives for this long is considered broken. */
#define LX_SILENT_STREAM_TIMEOUT (2 * LB_SEC)

/* An attempt to execute a request on an endpoint. */
typedef struct
{
  uint32_t number;
  uint64_t stream; /* stream number in LxAudit */
  LxEngine *engine;
  LxText text;  /* tokens that the attempt has received */
  bool is_open; /* the connection to the endpoint is open */
} LxAttempt;

/* A request that the dispatcher of this instance has accepted. */
typedef struct
{
  UT_hash_handle hh;
  LcRequestId id;
  LcRequestSpec spec;
  uint64_t job;
  LxCall *call; /* call that the request executes; NULL: the request generates a sample */
  LxText text;  /* text of the answer, set when the request ends */
  uint32_t last_forwarded_attempt; /* number of the attempt that last forwarded a piece; 0: none */
  LxAttempt *attempts;
  size_t n_attempts;
} LxRequest;

/* A simulated instance. It runs the daemon's decision code, with simulation events in place of
 * sockets. */
typedef struct LxInstance
{
  struct LxWorld *world;
  size_t index;
  LbName name;
  size_t data_centre;
  uint32_t incarnation;
  bool alive;
  bool draining;
  bool is_configured; /* the current process has activated a configuration */
  LbTime started_at;
  LbTime drain_started_at;
  LbTime drain_ended_at; /* end of the last drain; 0: no drain has completed */
  LbTime paused_at;      /* the process executes nothing from paused_at to paused_until */
  LbTime paused_until;
  LcConfig *config;
  LbList config_actions;
  LbTime next_config_tick_at;
  int64_t checked_revision; /* revision that was active at the last check by LxRegistry */
  bool was_ready;           /* whether the instance was ready at the last check by LxRegistry */
  LcDispatch *dispatch;
  LcRollouts *rollouts;
  int64_t invariant_failures; /* core's count of failed invariants at the last check */
  LcRequestId last_request;
  LxRequest *requests;
  LbList dispatch_actions;
  LbList rollout_actions;
  LbTime next_tick_at;
  uint64_t *cache_cursors; /* for each endpoint: sequence number of the last applied LxCacheEvent */
} LxInstance;

/* A piece or the end of an attempt, in transit from an endpoint to an instance. */
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

/* --- functions that change the instance or send it messages --- */
void lx_instance_start (LxInstance *instance);
/* Ends the process without a drain; all connections of the process break. */
void lx_instance_kill (LxInstance *instance);
void lx_instance_drain (LxInstance *instance);
/* Aborts a step, so that another instance can take over the step. */
void lx_instance_abort_step (LxInstance *instance, const char *subscription, int64_t step);
/* Posts a message to the current process of the instance. A pause of the process delays the
 * message; the message is lost if the process ends first. free_argument is called in each case,
 * also after the handler has run. */
void lx_instance_post_message (LxInstance *instance,
                               LbTime delay,
                               LxInstanceHandler handler,
                               void *argument,
                               void (*free_argument) (void *argument));
void lx_instance_apply_configuration (LxInstance *instance, const LcResourceSet *set);
/* Submits an operator's configuration change, based on the active revision of this instance. */
void lx_instance_submit_config_change (LxInstance *instance, struct json_object *content);
/* Returns false and sets the error if the call is refused as "not run". */
bool lx_instance_submit_call (
    LxInstance *instance, LcRequestSpec *spec, uint64_t job, LxCall *call, LbError *error);
/* Schedules the arrival of a piece of a stream at the instance, after the one-way network latency
 * from the engine. */
void lx_instance_schedule_piece_arrival (LxInstance *instance,
                                         const LxEngine *engine,
                                         const LxStreamSpec *stream,
                                         const LcPiece *piece);
/* Schedules the arrival of the end of a stream, after the one-way network latency plus `delay`. */
void lx_instance_schedule_stream_end_arrival (LxInstance *instance,
                                              const LxEngine *engine,
                                              const LxStreamSpec *stream,
                                              LcAttemptEnd end,
                                              LbTime delay);
void
lx_instance_record_load_report (LxInstance *instance, size_t engine, const LcLoadReport *report);
void
lx_instance_set_engine_swap_state (LxInstance *instance, size_t engine, bool pending, LbTime until);
void lx_instance_set_newest_weight_version (LxInstance *instance,
                                            LcVersion newest,
                                            LbTime version_interval);
/* Opens a trainer's step, or takes over a step from another instance, with a new session in the
 * store. Takes ownership of the spec. */
void lx_instance_open_step (LxInstance *instance, LcStepSpec *spec, size_t trainer);
void lx_instance_receive_pull (LxInstance *instance, const LcPull *pull);

#endif
