#include "sk-crasher.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MIN_CALL_INTERVAL_MS 100
#define MAX_CALL_INTERVAL_MS 500
#define CRASHES_TO_QUARANTINE 3
/* Without other faults, every instance must quarantine the content of the fatal requests within
 * this time after the third crash. */
#define QUARANTINE_TIME (3 * LB_SEC)
#define QUARANTINE_SLACK (500 * LB_MSEC) /* allowance for a slow test machine */
#define MAX_RUNS_AFTER_QUARANTINE 3
#define CALL_DEADLINE_MS "2000"
#define CALL_IDLE_TIMEOUT (3 * LB_SEC)

typedef struct
{
  LbLink link;
  SkCrasher *crasher;
  SkInstance *instance;
  LbName id;
  LhFetch *fetch;
} Call;

struct SkCrasher
{
  SkWorld *world;
  LbList calls;
  int64_t n_calls;
  LbTime next_call_at;
  int n_crashes;
  /* time from which on all instances must refuse fatal requests; 0: too few crashes so far */
  LbTime quarantined_by;
  int n_runs_after_quarantine;
  bool stopped;
};

SkCrasher *
sk_crasher_new (SkWorld *world)
{
  SkCrasher *crasher = LB_NEW (SkCrasher);

  crasher->world = world;
  lb_list_init (&crasher->calls);
  return crasher;
}

static void
call_free (Call *call)
{
  lb_list_remove (&call->crasher->calls, &call->link);
  free (call);
}

void
sk_crasher_free (SkCrasher *crasher)
{
  LB_LIST_FOREACH (&crasher->calls, Call, link, call)
  {
    lh_fetch_cancel (call->fetch);
    call_free (call);
  }
  free (crasher);
}

static void
on_fatal_call_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Call *call = user;

  if (result->failure == LB_OK && result->status == 200)
    sk_report_violation (
        call->crasher->world, "complete responses",
        "%s: expected no success, since every service crashes on the request, got status 200",
        call->id);
  call_free (call);
}

static void
send_fatal_request (SkCrasher *crasher, SkInstance *instance)
{
  Call *call = LB_NEW (Call);
  const LhHeader headers[] = { { "Attempt-Id", call->id },
                               { "Deadline-Ms", CALL_DEADLINE_MS },
                               { "Api-Key", SK_CALLER_API_KEY } };
  const LhHandlers handlers = { .on_done = on_fatal_call_done };
  const LhRequest request = { .method = "POST",
                              .address = instance->address,
                              .path = "/lookup/again",
                              .host = SK_HOST,
                              .headers = headers,
                              .n_headers = 3,
                              .body = SK_FATAL_BODY,
                              .body_length = strlen (SK_FATAL_BODY),
                              .idle_timeout = CALL_IDLE_TIMEOUT,
                              .fresh_connection = true };

  call->crasher = crasher;
  call->instance = instance;
  snprintf (call->id, sizeof call->id, "x%lld", (long long)crasher->n_calls++);
  lb_list_append (&crasher->calls, &call->link);
  call->fetch = lh_fetch_start (crasher->world->pool, &request, &handlers, call, NULL);
}

void
sk_crasher_send_fatal_request_if_due (SkCrasher *crasher, LbTime now)
{
  SkWorld *world = crasher->world;
  SkInstance *instance = NULL;

  if (crasher->stopped || now < crasher->next_call_at)
    return;
  crasher->next_call_at
      = now + sk_random_int (world, MIN_CALL_INTERVAL_MS, MAX_CALL_INTERVAL_MS) * LB_MSEC;
  instance = &world->instances[sk_random_int (world, 0, (int64_t)world->n_instances - 1)];
  if (sk_instance_is_running (instance))
    send_fatal_request (crasher, instance);
}

void
sk_crasher_stop_new_requests (SkCrasher *crasher)
{
  crasher->stopped = true;
}

static const Call *
find_call_by_id (const SkCrasher *crasher, const char *id)
{
  LB_LIST_FOREACH (&crasher->calls, Call, link, call)
  {
    if (strcmp (call->id, id) == 0)
      return call;
  }
  return NULL;
}

void
sk_crasher_record_crash (SkCrasher *crasher, const char *id, const char *service)
{
  const Call *call = find_call_by_id (crasher, id);
  LbTime now = lb_clock_monotonic ();

  sk_log (crasher->world, "fatal request %s starts at %s", id, service);
  crasher->n_crashes++;
  if (crasher->n_crashes == CRASHES_TO_QUARANTINE)
    crasher->quarantined_by = now + QUARANTINE_TIME + QUARANTINE_SLACK;
  if (crasher->n_crashes <= CRASHES_TO_QUARANTINE || now < crasher->quarantined_by || !call
      || !sk_instance_was_undisturbed_since (call->instance,
                                             now - QUARANTINE_TIME - QUARANTINE_SLACK))
    return;
  crasher->n_runs_after_quarantine++;
  if (crasher->n_runs_after_quarantine > MAX_RUNS_AFTER_QUARANTINE)
    sk_report_violation (
        crasher->world, "a fatal request is quarantined",
        "%s from %s starts at %s: run %d after the quarantine time, run %d in total", id,
        call->instance->name, service, crasher->n_runs_after_quarantine, crasher->n_crashes);
}
