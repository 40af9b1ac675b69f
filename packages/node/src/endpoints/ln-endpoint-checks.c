#include "ln-endpoint-checks.h"

#include "ln-crash-row.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-list.h"
#include "lb-log.h"
#include "lh-reach.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Of one check: a hundred round trips between data centres. */
#define CHECK_TIME (250 * LB_MSEC)
/* A process that ends loses its connections before it stops listening; on a busy machine there lie
 * some ten milliseconds between. */
#define HOLD_TIME (300 * LB_MSEC)
/* Of one endpoint: several times what it works on at once. What breaks beyond is not looked at. */
#define MAX_CONTENTS LC_MAX_REPORT_FINGERPRINTS

typedef struct
{
  LbLink link;
  LnEndpointChecks *owner;
  LhReach *reach;
  LbName endpoint;
  LbName address;
  LbTime broken_at; /* the first of them */
  LcFingerprint contents[MAX_CONTENTS];
  size_t n_contents;
} Check;

struct LnEndpointChecks
{
  LnContext *context;
  LnEndpointCrashed on_crashed;
  void *user;
  LbList running;
};

static LbMetric crashed
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
check_free (Check *check)
{
  lb_list_remove (&check->owner->running, &check->link);
  free (check);
}

void
ln_endpoint_checks_free (LnEndpointChecks *checks)
{
  LB_LIST_FOREACH (&checks->running, Check, link, check)
  {
    lh_reach_cancel (check->reach);
    check_free (check);
  }
  free (checks);
}

static void
log_outcome (const Check *check, LhReachOutcome outcome)
{
  static const char *const names[] = { [LH_REACH_OPEN] = "open",
                                       [LH_REACH_CLOSED] = "closed",
                                       [LH_REACH_REFUSED] = "refused",
                                       [LH_REACH_SILENT] = "silent" };
  struct json_object *contents = ln_crash_fingerprints_to_json (check->contents, check->n_contents);

  lb_log (LB_LOG_INFO, "endpoint_checked", LB_TEXT ("endpoint", check->endpoint),
          LB_TEXT ("connections", names[outcome]),
          LB_INT ("took_us", lb_clock_monotonic () - check->broken_at),
          LB_JSON ("broken", json_object_to_json_string_ext (contents, JSON_C_TO_STRING_PLAIN)));
  json_object_put (contents);
}

static bool look (Check *check, LbTime hold);

/* Guards against an endpoint that is just ending and counts as alive: it takes the connection and
 * drops it when it stops listening, which a second one then shows. An endpoint that lives drops
 * connections as well where it has too many. */
static void
on_checked (LhReachOutcome outcome, void *user)
{
  Check *check = user;
  const LnEndpointChecks *checks = check->owner;

  log_outcome (check, outcome);
  if (outcome == LH_REACH_CLOSED && look (check, 0))
    return;
  if (outcome == LH_REACH_REFUSED)
    {
      lb_metric_add (&crashed, 1);
      checks->on_crashed (check->endpoint, check->broken_at, check->contents, check->n_contents,
                          checks->user);
    }
  check_free (check);
}

static Check *
find (LnEndpointChecks *checks, const char *endpoint)
{
  LB_LIST_FOREACH (&checks->running, Check, link, check)
  {
    if (strcmp (check->endpoint, endpoint) == 0)
      return check;
  }
  return NULL;
}

static bool
look (Check *check, LbTime hold)
{
  const LhReachTimes times = { .open = CHECK_TIME, .hold = hold };

  check->reach
      = lh_reach_start (check->owner->context->base, check->address, &times, on_checked, check);
  return check->reach != NULL;
}

static Check *
start (LnEndpointChecks *checks, const char *endpoint, const char *address)
{
  Check *check = LB_NEW (Check);

  check->owner = checks;
  check->broken_at = lb_clock_monotonic ();
  LB_COPY (check->endpoint, endpoint);
  LB_COPY (check->address, address);
  lb_list_append (&checks->running, &check->link);
  if (look (check, HOLD_TIME))
    return check;
  lb_log (LB_LOG_WARNING, "endpoint_not_checked", LB_TEXT ("endpoint", endpoint),
          LB_TEXT ("address", address));
  check_free (check);
  return NULL;
}

void
ln_endpoint_checks_request_failed (LnEndpointChecks *checks,
                                   const char *endpoint,
                                   const char *address,
                                   LcFingerprint content)
{
  Check *check = find (checks, endpoint);

  if (!check)
    check = start (checks, endpoint, address);
  if (check && check->n_contents < MAX_CONTENTS
      && !lc_fingerprint_is_among (content, check->contents, check->n_contents))
    check->contents[check->n_contents++] = content;
}
