#include "ln-settings.h"

#include "lb-alloc.h"
#include "lb-settings.h"
#include "lb-switch.h"
#include "lc-router.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_DURATION_MS ((double)(24 * 3600 * 1000))

#define TEXT_SETTING(k, member)                                                                    \
  {                                                                                                \
    .key = (k), .type = LB_SETTING_TEXT, .offset = offsetof (LnSettings, member),                  \
    .size = sizeof (((LnSettings *)0)->member)                                                     \
  }
#define INTEGER_SETTING(k, member, low, high)                                                      \
  {                                                                                                \
    .key = (k), .type = LB_SETTING_INT, .offset = offsetof (LnSettings, member), .min = (low),     \
    .max = (high)                                                                                  \
  }
#define REAL_SETTING(k, member, low, high)                                                         \
  {                                                                                                \
    .key = (k), .type = LB_SETTING_REAL, .offset = offsetof (LnSettings, member), .min = (low),    \
    .max = (high)                                                                                  \
  }
#define FLAG_SETTING(k, member)                                                                    \
  {                                                                                                \
    .key = (k), .type = LB_SETTING_BOOL, .offset = offsetof (LnSettings, member)                   \
  }
#define CHOICE_SETTING(k, member, names)                                                           \
  {                                                                                                \
    .key = (k), .type = LB_SETTING_CHOICE, .offset = offsetof (LnSettings, member),                \
    .choices = (names)                                                                             \
  }
/* A group of keys only structures the settings file. The offsets of the keys are relative to
 * LnSettings, so the group's offset is 0. */
#define SETTING_GROUP(k, specs)                                                                    \
  {                                                                                                \
    .key = (k), .type = LB_SETTING_OBJECT, .offset = 0, .fields = (specs)                          \
  }
#define END_OF_SETTINGS                                                                            \
  {                                                                                                \
    .key = NULL                                                                                    \
  }

static const char *const platform_kinds[] = { "memory", "http", "shared", NULL };
static const char *const log_levels[] = { "debug", "info", "warning", "error", "off", NULL };

static const LbSettingSpec instance_specs[]
    = { TEXT_SETTING ("name", instance.name),
        TEXT_SETTING ("data_centre", instance.data_centre),
        TEXT_SETTING ("caller_address", instance.caller_address),
        TEXT_SETTING ("peer_address", instance.peer_address),
        TEXT_SETTING ("entry_address", instance.entry_address),
        TEXT_SETTING ("ready_address", instance.ready_address),
        TEXT_SETTING ("metrics_address", instance.metrics_address),
        REAL_SETTING ("processor_share", instance.processor_share, 0.001, 1024),
        REAL_SETTING ("link_mbps", instance.link_mbps, 0.001, 1e6),
        INTEGER_SETTING ("memory_mb", instance.memory_mb, 16, 1 << 24),
        END_OF_SETTINGS };

static const LbSettingSpec platform_specs[]
    = { CHOICE_SETTING ("kind", platform.kind, platform_kinds),
        TEXT_SETTING ("address", platform.address),
        INTEGER_SETTING ("deadline_ms", platform.deadline_ms, 10, 60000),
        REAL_SETTING ("rate", platform.rate, 0.1, 100000), END_OF_SETTINGS };

static const LbSettingSpec cluster_specs[]
    = { TEXT_SETTING ("key", cluster.key),
        { .key = "seeds",
          .type = LB_SETTING_ARRAY,
          .offset = offsetof (LnSettings, cluster.seeds),
          .count_offset = offsetof (LnSettings, cluster.n_seeds) },
        END_OF_SETTINGS };

static const LbSettingSpec measure_specs[]
    = { { .key = "off",
          .type = LB_SETTING_ARRAY,
          .offset = offsetof (LnSettings, measure.off),
          .count_offset = offsetof (LnSettings, measure.n_off) },
        END_OF_SETTINGS };

static const LbSettingSpec log_specs[]
    = { CHOICE_SETTING ("level", log.level, log_levels), END_OF_SETTINGS };

static const LbSettingSpec http_specs[]
    = { TEXT_SETTING ("operator_token", http.operator_token),
        INTEGER_SETTING ("max_body_bytes", http.max_body_bytes, 1024, 1 << 30),
        INTEGER_SETTING ("max_header_bytes", http.max_header_bytes, 1024, 1 << 20),
        INTEGER_SETTING ("request_read_ms", http.request_read_ms, 50, MAX_DURATION_MS),
        INTEGER_SETTING ("max_connections", http.max_connections, 1, 1000000),
        END_OF_SETTINGS };

static const LbSettingSpec calls_specs[]
    = { TEXT_SETTING ("policy", calls.policy),
        INTEGER_SETTING ("queue_limit", calls.queue_limit, 0, 10000000),
        INTEGER_SETTING ("default_deadline_ms", calls.default_deadline_ms, 1, MAX_DURATION_MS),
        REAL_SETTING ("retry_budget", calls.retry_budget, 0, 10),
        INTEGER_SETTING ("hedge_after_ms", calls.hedge_after_ms, 0, MAX_DURATION_MS),
        INTEGER_SETTING ("stream_silence_ms", calls.stream_silence_ms, 50, MAX_DURATION_MS),
        INTEGER_SETTING ("load_poll_ms", calls.load_poll_ms, 10, 60000),
        END_OF_SETTINGS };

static const LbSettingSpec drain_specs[]
    = { INTEGER_SETTING ("drain_ms", drain.drain_ms, 0, MAX_DURATION_MS),
        INTEGER_SETTING ("entry_ttl_ms", drain.entry_ttl_ms, 100, MAX_DURATION_MS),
        REAL_SETTING ("grace_s", drain.grace_s, 0, 86400),
        INTEGER_SETTING ("endpoint_ms", drain.endpoint_ms, 100, MAX_DURATION_MS), END_OF_SETTINGS };

static const LbSettingSpec batches_specs[]
    = { INTEGER_SETTING ("keep_ended_s", batches.keep_ended_s, 5, 86400 * 30), END_OF_SETTINGS };

static const LbSettingSpec weights_specs[]
    = { FLAG_SETTING ("endpoints_check_fence", weights.endpoints_check_fence), END_OF_SETTINGS };

static const LbSettingSpec keys_specs[] = {
  FLAG_SETTING ("refuse_unconfirmed", keys.refuse_unconfirmed),
  INTEGER_SETTING ("longest_unconfirmed_ms", keys.longest_unconfirmed_ms, 500, MAX_DURATION_MS),
  END_OF_SETTINGS
};

static const LbSettingSpec duties_specs[]
    = { TEXT_SETTING ("address", duties.address),
        { .key = "kinds",
          .type = LB_SETTING_ARRAY,
          .offset = offsetof (LnSettings, duties.kinds),
          .count_offset = offsetof (LnSettings, duties.n_kinds) },
        FLAG_SETTING ("platform_checks_fence", duties.platform_checks_fence),
        INTEGER_SETTING ("usage_window_s", duties.usage_window_s, 1, 86400),
        INTEGER_SETTING ("usage_due_s", duties.usage_due_s, 1, 86400),
        END_OF_SETTINGS };

static const LbSettingSpec specs[] = { SETTING_GROUP ("instance", instance_specs),
                                       SETTING_GROUP ("platform", platform_specs),
                                       SETTING_GROUP ("cluster", cluster_specs),
                                       SETTING_GROUP ("measure", measure_specs),
                                       SETTING_GROUP ("log", log_specs),
                                       SETTING_GROUP ("http", http_specs),
                                       SETTING_GROUP ("calls", calls_specs),
                                       SETTING_GROUP ("drain", drain_specs),
                                       SETTING_GROUP ("batches", batches_specs),
                                       SETTING_GROUP ("weights", weights_specs),
                                       SETTING_GROUP ("keys", keys_specs),
                                       SETTING_GROUP ("duties", duties_specs),
                                       TEXT_SETTING ("address_file", address_file),
                                       TEXT_SETTING ("record", record),
                                       INTEGER_SETTING ("seed", seed, 0, 9007199254740992.0),
                                       END_OF_SETTINGS };

void
ln_settings_init (LnSettings *settings)
{
  memset (settings, 0, sizeof *settings);
  LB_COPY (settings->instance.data_centre, "local");
  LB_COPY (settings->instance.caller_address, "127.0.0.1:8080");
  LB_COPY (settings->instance.peer_address, "127.0.0.1:0");
  settings->instance.processor_share = 1;
  settings->instance.link_mbps = 1000;
  settings->instance.memory_mb = 1024;
  settings->platform.kind = LN_PLATFORM_MEMORY;
  settings->platform.deadline_ms = 1000;
  settings->platform.rate = 100;
  settings->log.level = LB_LOG_INFO;
  settings->http.max_body_bytes = 8 << 20;
  settings->http.max_header_bytes = 32 << 10;
  settings->http.request_read_ms = 10000;
  settings->http.max_connections = 4096;
  LB_COPY (settings->calls.policy, "lentilspindle");
  settings->calls.queue_limit = 4096;
  settings->calls.default_deadline_ms = 120000;
  settings->calls.retry_budget = 0.1;
  settings->calls.hedge_after_ms = 0;
  settings->calls.stream_silence_ms = 2000;
  settings->calls.load_poll_ms = 500;
  settings->weights.endpoints_check_fence = true;
  settings->batches.keep_ended_s = 600;
  settings->keys.longest_unconfirmed_ms = 5000;
  settings->duties.platform_checks_fence = true;
  settings->duties.usage_window_s = 5;
  settings->duties.usage_due_s = 10;
  settings->drain.drain_ms = 16000;
  settings->drain.entry_ttl_ms = 15000;
  settings->drain.endpoint_ms = 2000;
}

void
ln_settings_clear (LnSettings *settings)
{
  free (settings->cluster.seeds);
  free (settings->measure.off);
  free (settings->duties.kinds);
  memset (settings, 0, sizeof *settings);
}

static bool
set_invalid_key_error (LbError *error, const char *path, const char *key, const char *expected)
{
  char where[192];

  snprintf (where, sizeof where, "%s: %s", path, key);
  return lb_error_set (error, LB_ERROR_BAD_VALUE, where, "%s", expected);
}

static bool
is_address_with_port (const char *address)
{
  const char *colon = strrchr (address, ':');
  char *end = NULL;

  if (!colon || colon == address || colon[1] == '\0')
    return false;
  long port = strtol (colon + 1, &end, 10);
  return *end == '\0' && port >= 0 && port <= 65535;
}

/* Whether the address is a wildcard. Other machines connect to the configured address; with a
 * wildcard they would connect to themselves. */
static bool
is_wildcard_address (const char *address)
{
  return strncmp (address, "0.0.0.0:", strlen ("0.0.0.0:")) == 0
         || strncmp (address, "[::]:", strlen ("[::]:")) == 0;
}

static bool
is_known_routing_policy (const char *name)
{
  for (const char *const *policy = lc_router_policy_names (); *policy; policy++)
    if (strcmp (*policy, name) == 0)
      return true;
  return false;
}

/* Checks addresses, names and dependent keys, which type and range of a key don't cover. */
static bool
validate_addresses_and_dependent_keys (const LnSettings *settings, const char *path, LbError *error)
{
  static const char address[] = "expected an address of the form IP:PORT";
  static const char reachable[] = "expected the address that others reach, not a wildcard";

  if (!is_address_with_port (settings->instance.caller_address))
    return set_invalid_key_error (error, path, "instance.caller_address", address);
  if (!is_address_with_port (settings->instance.peer_address))
    return set_invalid_key_error (error, path, "instance.peer_address", address);
  if (settings->instance.entry_address[0]
      && !is_address_with_port (settings->instance.entry_address))
    return set_invalid_key_error (error, path, "instance.entry_address", address);
  if (settings->platform.kind == LN_PLATFORM_SHARED
      && is_wildcard_address (settings->instance.caller_address))
    return set_invalid_key_error (error, path, "instance.caller_address", reachable);
  if (is_wildcard_address (settings->instance.peer_address))
    return set_invalid_key_error (error, path, "instance.peer_address", reachable);
  if (is_wildcard_address (settings->instance.entry_address))
    return set_invalid_key_error (error, path, "instance.entry_address", reachable);
  if (settings->instance.ready_address[0]
      && !is_address_with_port (settings->instance.ready_address))
    return set_invalid_key_error (error, path, "instance.ready_address", address);
  if (settings->instance.metrics_address[0]
      && !is_address_with_port (settings->instance.metrics_address))
    return set_invalid_key_error (error, path, "instance.metrics_address", address);
  if (settings->platform.kind != LN_PLATFORM_MEMORY
      && !is_address_with_port (settings->platform.address))
    return set_invalid_key_error (error, path, "platform.address", address);
  if (settings->duties.address[0] && !is_address_with_port (settings->duties.address))
    return set_invalid_key_error (error, path, "duties.address", address);
  if (!is_known_routing_policy (settings->calls.policy))
    return set_invalid_key_error (error, path, "calls.policy",
                                  "expected the name of a routing policy");
  for (size_t i = 0; i < settings->cluster.n_seeds; i++)
    if (!is_address_with_port (settings->cluster.seeds[i]))
      return set_invalid_key_error (error, path, "cluster.seeds", address);
  for (size_t i = 0; i < settings->measure.n_off; i++)
    if (!lb_switch_is_known (settings->measure.off[i]))
      return set_invalid_key_error (error, path, "measure.off",
                                    "expected names of mechanisms that can be disabled");
  if (settings->cluster.n_seeds > 0 && settings->cluster.key[0] == '\0')
    return set_invalid_key_error (error, path, "cluster.key",
                                  "expected a shared key, since cluster.seeds is set");
  return true;
}

bool
ln_settings_read (LnSettings *settings, const char *path, LbError *error)
{
  struct json_object *object = lb_settings_read_file (path, error);

  if (!object)
    return false;
  bool ok = lb_settings_fill_struct (object, specs, settings, path, error)
            && validate_addresses_and_dependent_keys (settings, path, error);
  json_object_put (object);
  return ok;
}
