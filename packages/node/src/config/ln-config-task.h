#ifndef LN_CONFIG_TASK_H
#define LN_CONFIG_TASK_H

#include "lc-config.h"
#include "ln-config-store.h"
#include "ln-context.h"
#include "ln-exchange.h"

struct event;
struct json_object;

/* State of the task "config", shared by its source files. */
typedef struct
{
  LnTask task;
  LnContext *context;
  LcConfig *config;
  LnConfigStore *store;
  struct event *timer;
  bool is_polling_head;      /* a periodic read of the head row is in progress */
  bool is_listing_instances; /* a read of the platform's list of instances is in progress */
  LbTime next_listing_at;
  LbList changes;                  /* LnChange; only the first is being processed */
  LbList watches;                  /* LnConfigWatch */
  LbList pool_controllers;         /* LnPoolController */
  LbList pool_operations;          /* LnPoolOperation */
  uint64_t last_controller_serial; /* number of the last controller that was created */
  /* Weight changes of engines, sent to all instances at the end of the tick; NULL: none. */
  struct json_object *unsent_swaps;
  bool draining;
} LnConfigTask;

/* ln-config.c: executes and frees the actions that a command of LcConfig returned. */
void ln_config_execute_actions (LnConfigTask *task, LbList *actions);
/* Sends object, which it takes ownership of, to the task "config" of the instance; "": of all. */
void
ln_config_send_peer_message (LnConfigTask *task, const char *instance, struct json_object *object);

/* ln-config-api.c: HTTP requests of operators. */
void ln_config_api_handle (LnConfigTask *task, LnExchange *exchange);
void ln_config_api_caller_disconnected (LnConfigTask *task, LnExchange *exchange);
void ln_config_api_tick (LnConfigTask *task, LbTime now);
bool ln_config_api_is_idle (const LnConfigTask *task);
void ln_config_api_drain (LnConfigTask *task);
void ln_config_api_clear (LnConfigTask *task);

/* ln-config-change.c: POST /v1/resources, one change at a time. */
void ln_config_change_submit (LnConfigTask *task, LnExchange *exchange);
bool ln_config_change_caller_disconnected (LnConfigTask *task, LnExchange *exchange);
void ln_config_change_tick (LnConfigTask *task, LbTime now);
void ln_config_change_clear (LnConfigTask *task);

/* ln-pool-controllers.c: leases of pools, and roll-outs of weights by their holders. */
void ln_pool_controllers_configure (LnConfigTask *task, const LcResourceSet *set);
void ln_pool_controllers_update_ranks (LnConfigTask *task);
void ln_pool_controllers_tick (LnConfigTask *task, LbTime now);
bool ln_pool_controllers_handle_peer_message (LnConfigTask *task, struct json_object *message);
void ln_pool_controllers_add_status (LnConfigTask *task, struct json_object *status);
void ln_pool_controllers_release_leases (LnConfigTask *task);
bool ln_pool_controllers_have_released_leases (const LnConfigTask *task);
void ln_pool_controllers_free_all (LnConfigTask *task);

struct json_object *ln_config_activation_to_json (const LnConfigTask *task, int64_t revision);
void ln_config_set_etag (LnExchange *exchange, int64_t revision);

#endif
