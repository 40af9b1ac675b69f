#ifndef LN_CONFIG_TASK_H
#define LN_CONFIG_TASK_H

#include "lc-config.h"
#include "ln-config-store.h"
#include "ln-context.h"
#include "ln-exchange.h"

struct event;
struct json_object;

/* The parts of the task "config" that its files share. */
typedef struct
{
  LnTask task;
  LnContext *context;
  LcConfig *config;
  LnConfigStore *store;
  struct event *timer;
  bool reading; /* a read of the head row by poll is on its way */
  bool listing; /* a read of the platform's list of instances is on its way */
  LbTime next_listing;
  LbList changes;          /* LnChange, one at a time from the front */
  LbList watches;          /* LnWatch */
  LbList pool_controllers; /* LnPoolController */
  LbList pool_operations;  /* LnPoolOperation */
  uint64_t last_controller_serial;
  struct json_object *unsent_swaps; /* to be told to peers at the end of the tick; NULL: none */
  bool draining;
} LnConfigTask;

/* ln-config.c: carries out and frees the actions of a command of LcConfig. */
void ln_config_execute_actions (LnConfigTask *task, LbList *actions);
/* Sends an object (taken over) to the task "config" of an instance, or of all when it is empty. */
void ln_config_send (LnConfigTask *task, const char *instance, struct json_object *object);

/* ln-config-api.c: operators' calls. */
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

/* ln-pool-controllers.c: leases of pools and roll-outs of weights. */
void ln_pool_controllers_configure (LnConfigTask *task, const LcResourceSet *set);
void ln_pool_controllers_update_ranks (LnConfigTask *task);
void ln_pool_controllers_tick (LnConfigTask *task, LbTime now);
bool ln_pool_controllers_receive (LnConfigTask *task, struct json_object *message);
void ln_pool_controllers_add_status (LnConfigTask *task, struct json_object *status);
void ln_pool_controllers_drain (LnConfigTask *task);
bool ln_pool_controllers_are_released (const LnConfigTask *task);
void ln_pool_controllers_clear (LnConfigTask *task);

struct json_object *ln_config_activation_to_json (const LnConfigTask *task, int64_t revision);
void ln_config_set_etag (LnExchange *exchange, int64_t revision);

#endif
