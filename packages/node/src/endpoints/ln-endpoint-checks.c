#include "ln-endpoint-checks.h"

#include "ln-crash-row.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-list.h"
#include "lb-log.h"
#include "lh-connect-probe.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Timeout of one attempt to connect to an endpoint that may have crashed: a hundred round trips
 * between data centres. */
#define PROBE_TIMEOUT (250 * LB_MSEC)
/* An endpoint that accepts a probe connection and keeps it open for this time has not crashed. An
 * exiting process loses its connections some ten milliseconds before its listening socket on a busy
 * machine. */
#define PROBE_CONNECTION_HOLD_TIME (300 * LB_MSEC)
/* Maximum number of failed requests recorded per check, several times the concurrent requests of an
 * endpoint; further requests are not recorded. */
#define MAX_FAILED_REQUESTS_PER_CHECK LC_MAX_REPORT_FINGERPRINTS

typedef struct
{
  LbLink link;
  LnEndpointChecks *owner;
  LhConnectProbe *probe;
  LbName endpoint;
  LbName address;
  LbTime failed_at; /* time of the first failed request */
  LcFingerprint fingerprints[MAX_FAILED_REQUESTS_PER_CHECK];
  size_t n_fingerprints;
} Check;

struct LnEndpointChecks
{
  LnContext *context;
  LnEndpointCrashed on_crashed;
  void *user;
  LbList running;
};

static LbMetric crashes_seen
    = LB_COUNTER_INIT ("lentilspindle_endpoint_crashes_seen_total",
                       NULL,
                       "Endpoints that crashed under requests of this instance");

LnEndpointChecks *
ln_endpoint_checks_new (LnContext *context, LnEndpointCrashed on_crashed, void *user)
{
  LnEndpointChecks *checks = LB_NEW (LnEndpointChecks);

  checks->context = context;
  checks->on_crashed = on_crashed;
  checks->user = user;
  lb_list_init (&checks->running);
  return checks;
}

static void
endpoint_check_free (Check *check)
{
  lb_list_remove (&check->owner->running, &check->link);
  free (check);
}

void
ln_endpoint_checks_free (LnEndpointChecks *checks)
{
  LB_LIST_FOREACH (&checks->running, Check, link, check)
  {
    lh_connect_probe_cancel (check->probe);
    endpoint_check_free (check);
  }
  free (checks);
}

static void
log_endpoint_check_outcome (const Check *check, LhConnectProbeOutcome outcome)
{
  static const char *const names[] = { [LH_CONNECT_PROBE_OPEN] = "open",
                                       [LH_CONNECT_PROBE_CLOSED] = "closed",
                                       [LH_CONNECT_PROBE_REFUSED] = "refused",
                                       [LH_CONNECT_PROBE_NO_ANSWER] = "silent" };
  struct json_object *fingerprints
      = ln_crash_fingerprints_to_json (check->fingerprints, check->n_fingerprints);

  lb_log (LB_LOG_INFO, "endpoint_checked", LB_TEXT ("endpoint", check->endpoint),
          LB_TEXT ("connections", names[outcome]),
          LB_INT ("took_us", lb_clock_monotonic () - check->failed_at),
          LB_JSON ("broken",
                   json_object_to_json_string_ext (fingerprints, JSON_C_TO_STRING_PLAIN)));
  json_object_put (fingerprints);
}

static bool start_connect_probe (Check *check, LbTime hold_time);

/* Connects a second time if the endpoint accepted the first connection and then closed it, as an
 * exiting endpoint does, but also a live endpoint that has too many connections. Only the exiting
 * endpoint refuses the second connection. */
static void
on_connect_probe_done (LhConnectProbeOutcome outcome, void *user)
{
  Check *check = user;
  const LnEndpointChecks *checks = check->owner;

  log_endpoint_check_outcome (check, outcome);
  if (outcome == LH_CONNECT_PROBE_CLOSED && start_connect_probe (check, 0))
    return;
  if (outcome == LH_CONNECT_PROBE_REFUSED)
    {
      lb_metric_add (&crashes_seen, 1);
      checks->on_crashed (check->endpoint, check->failed_at, check->fingerprints,
                          check->n_fingerprints, checks->user);
    }
  endpoint_check_free (check);
}

static Check *
find_running_endpoint_check (LnEndpointChecks *checks, const char *endpoint)
{
  LB_LIST_FOREACH (&checks->running, Check, link, check)
  {
    if (strcmp (check->endpoint, endpoint) == 0)
      return check;
  }
  return NULL;
}

static bool
start_connect_probe (Check *check, LbTime hold_time)
{
  const LhConnectProbeTimes times = { .connect_timeout = PROBE_TIMEOUT, .hold_time = hold_time };

  check->probe = lh_connect_probe_start (check->owner->context->base, check->address, &times,
                                         on_connect_probe_done, check);
  return check->probe != NULL;
}

static Check *
start_endpoint_check (LnEndpointChecks *checks, const char *endpoint, const char *address)
{
  Check *check = LB_NEW (Check);

  check->owner = checks;
  check->failed_at = lb_clock_monotonic ();
  LB_COPY (check->endpoint, endpoint);
  LB_COPY (check->address, address);
  lb_list_append (&checks->running, &check->link);
  if (start_connect_probe (check, PROBE_CONNECTION_HOLD_TIME))
    return check;
  lb_log (LB_LOG_WARNING, "endpoint_not_checked", LB_TEXT ("endpoint", endpoint),
          LB_TEXT ("address", address));
  endpoint_check_free (check);
  return NULL;
}

void
ln_endpoint_checks_on_request_failed (LnEndpointChecks *checks,
                                      const char *endpoint,
                                      const char *address,
                                      LcFingerprint fingerprint)
{
  Check *check = find_running_endpoint_check (checks, endpoint);

  if (!check)
    check = start_endpoint_check (checks, endpoint, address);
  if (check && check->n_fingerprints < MAX_FAILED_REQUESTS_PER_CHECK
      && !lc_fingerprint_is_among (fingerprint, check->fingerprints, check->n_fingerprints))
    check->fingerprints[check->n_fingerprints++] = fingerprint;
}
