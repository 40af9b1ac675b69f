#ifndef LN_CONFIG_TASK_H
#define LN_CONFIG_TASK_H

#include "lc-config.h"
#include "ln-config-store.h"
#include "ln-context.h"
#include "ln-exchange.h"

struct event;
struct json_object;

/* State of the task "config", which replicates the configuration. Shared by its source files. */
typedef struct
{
  LnTask task;
  LnContext *context;
  LcConfig *config;
  LnConfigStore *store;
  struct event *timer;
  bool is_polling_head;      /* LcConfig requested the accepted revision, which is being read */
  bool is_listing_instances; /* a read of the platform's list of instances is in progress */
  LbTime next_listing_at;    /* earliest time of the next read of the instance list */
  LbList changes; /* list of LnChange, submitted by operators; only the first is in progress */
  LbList watches; /* list of LnConfigWatch: operators' requests that wait for a change */
  LbList pool_controllers;         /* list of LnPoolController, one per pool that has engines */
  LbList pool_operations;          /* list of LnPoolOperation in progress */
  uint64_t last_controller_serial; /* serial of the last pool controller created */
  /* JSON array of engines' weight changes, sent to all instances at the next tick; NULL: none. */
  struct json_object *unsent_swaps;
  bool draining;
} LnConfigTask;

/* ln-config.c: executes and frees the actions that a command of LcConfig appended. */
void ln_config_execute_actions (LnConfigTask *task, LbList *actions);
/* Sends a message to the task "config" of another instance; "": of all other instances. Takes
 * ownership of object. */
void
ln_config_send_peer_message (LnConfigTask *task, const char *instance, struct json_object *object);

/* ln-config-api.c: handles HTTP requests of operators. */
void ln_config_api_handle_request (LnConfigTask *task, LnExchange *exchange);
void ln_config_api_on_caller_disconnected (LnConfigTask *task, LnExchange *exchange);
void ln_config_api_tick_watches_and_changes (LnConfigTask *task, LbTime now);
bool ln_config_api_is_idle (const LnConfigTask *task);
void ln_config_api_finish_watches (LnConfigTask *task);
void ln_config_api_free_requests (LnConfigTask *task);

/* ln-config-change.c: handles POST /v1/resources, one change at a time. */
void ln_config_change_submit (LnConfigTask *task, LnExchange *exchange);
bool ln_config_change_on_caller_disconnected (LnConfigTask *task, LnExchange *exchange);
void ln_config_change_commit_on_majority (LnConfigTask *task, LbTime now);
void ln_config_change_free_all (LnConfigTask *task);

/* ln-pool-controllers.c: holds leases of pools, and rolls out weights to a held pool's engines. */
void ln_pool_controllers_configure (LnConfigTask *task, const LcResourceSet *set);
void ln_pool_controllers_update_lease_ranks (LnConfigTask *task);
void ln_pool_controllers_tick (LnConfigTask *task, LbTime now);
bool ln_pool_controllers_receive_announcement (LnConfigTask *task, struct json_object *message);
void ln_pool_controllers_add_status_to_json (LnConfigTask *task, struct json_object *status);
void ln_pool_controllers_release_leases (LnConfigTask *task);
bool ln_pool_controllers_have_released_leases (const LnConfigTask *task);
void ln_pool_controllers_free_all (LnConfigTask *task);

struct json_object *ln_config_activation_to_json (const LnConfigTask *task, int64_t revision);
void ln_config_set_etag (LnExchange *exchange, int64_t revision);

#endif
