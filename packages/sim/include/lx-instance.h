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

/* An attempt of a request. */
typedef struct
{
  uint32_t number;
  uint64_t stream; /* number in LxAudit */
  LxEngine *engine;
  LxText text;  /* received so far */
  bool is_open; /* its connection is open */
} LxAttempt;

/* A request that the dispatcher of this instance has accepted. */
typedef struct
{
  UT_hash_handle hh;
  LcRequestId id;
  LcRequestSpec spec;
  uint64_t job;
  LxCall *call;                    /* NULL for a sample */
  LxText text;                     /* of the answer, set when it ends */
  uint32_t last_forwarded_attempt; /* attempt of the last forwarded piece; 0: none */
  LxAttempt *attempts;
  size_t n_attempts;
} LxRequest;

/* A simulated instance: the decisions of the daemon, with events in place of its sockets. */
typedef struct LxInstance
{
  struct LxWorld *world;
  size_t index;
  LbName name;
  size_t data_centre;
  uint32_t incarnation;
  bool alive;
  bool draining;
  bool is_configured; /* this process has activated a configuration */
  LbTime started_at;
  LbTime drain_started_at;
  LbTime drain_ended_at; /* when its last drain completed; 0: never */
  LbTime paused_at;      /* the process executes nothing from then until paused_until */
  LbTime paused_until;
  LcConfig *config;
  LbList config_actions;
  LbTime next_config_tick_at;
  int64_t checked_revision; /* active at the last check by LxRegistry */
  bool was_ready;           /* at that check */
  LcDispatch *dispatch;
  LcRollouts *rollouts;
  int64_t invariant_failures; /* counted by core up to the last check */
  LcRequestId last_request;
  LxRequest *requests;
  LbList dispatch_actions;
  LbList rollout_actions;
  LbTime next_tick_at;
  uint64_t *cache_cursors; /* by endpoint: sequence number of the last applied cache event */
} LxInstance;

/* A piece or the end of an attempt, in transit from an endpoint. */
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
/* Ends the process; its connections break. */
void lx_instance_kill (LxInstance *instance);
void lx_instance_drain (LxInstance *instance);
/* Another instance has taken over the step. */
void lx_instance_abort_step (LxInstance *instance, const char *subscription, int64_t step);
/* Posts a message to the current process of the instance. It is delayed while the process is paused
 * and lost if the process ends first. free_argument is called in each case, also after the handler
 * has run. */
void lx_instance_post_message (LxInstance *instance,
                               LbTime delay,
                               LxInstanceHandler handler,
                               void *argument,
                               void (*free_argument) (void *argument));
void lx_instance_apply_configuration (LxInstance *instance, const LcResourceSet *set);
/* Submits an operator's change, based on the active revision of this instance. */
void lx_instance_submit_config_change (LxInstance *instance, struct json_object *content);
/* Returns false and sets the error if the call is refused as "not run". */
bool lx_instance_submit_call (
    LxInstance *instance, LcRequestSpec *spec, uint64_t job, LxCall *call, LbError *error);
/* Sends output of an endpoint to the instance; it arrives after the one-way network latency, an end
 * after `delay` more. */
void lx_instance_send_piece (LxInstance *instance,
                             const LxEngine *engine,
                             const LxStreamSpec *stream,
                             const LcPiece *piece);
void lx_instance_send_end (LxInstance *instance,
                           const LxEngine *engine,
                           const LxStreamSpec *stream,
                           LcAttemptEnd end,
                           LbTime delay);
void
lx_instance_record_load_report (LxInstance *instance, size_t engine, const LcLoadReport *report);
void lx_instance_set_weight_swap (LxInstance *instance, size_t engine, bool pending, LbTime until);
void lx_instance_set_versions (LxInstance *instance, LcVersion newest, LbTime version_interval);
/* Opens the step, or takes it over with a new session in the store. Takes ownership of the spec. */
void lx_instance_open_step (LxInstance *instance, LcStepSpec *spec, size_t trainer);
void lx_instance_handle_pull (LxInstance *instance, const LcPull *pull);

#endif
