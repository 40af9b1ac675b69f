#include "sk-crasher.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MIN_PAUSE_MS 100
#define MAX_PAUSE_MS 500
#define ENDS_TO_LEARN 3
/* After the third end every instance has to know, if nothing else is wrong for as long. */
#define LEARN_TIME (3 * LB_SEC)
#define LEARN_SLACK (500 * LB_MSEC) /* this machine may be busy */
#define MAX_LATE_RUNS 3
#define DEADLINE_MS "2000"
#define MAX_SILENCE (3 * LB_SEC)

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
  LbTime next_call;
  int n_ends;
  LbTime learnt_by; /* 0: not enough services have ended */
  int n_late;
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
on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Call *call = user;

  if (result->failure == LB_OK && result->status == 200)
    sk_fail (call->crasher->world, "whole answers", "%s got an answer that nobody gave", call->id);
  call_free (call);
}

static void
send_to (SkCrasher *crasher, SkInstance *instance)
{
  Call *call = LB_NEW (Call);
  const LhHeader headers[] = { { "Attempt-Id", call->id },
                               { "Deadline-Ms", DEADLINE_MS },
                               { "Api-Key", SK_CALLERS_KEY } };
  const LhHandlers handlers = { .on_done = on_done };
  const LhRequest request = { .method = "POST",
                              .address = instance->address,
                              .path = "/lookup/again",
                              .host = SK_HOST,
                              .headers = headers,
                              .n_headers = 3,
                              .body = SK_CRASHER_BODY,
                              .body_length = strlen (SK_CRASHER_BODY),
                              .idle_timeout = MAX_SILENCE,
                              .fresh_connection = true };

  call->crasher = crasher;
  call->instance = instance;
  snprintf (call->id, sizeof call->id, "x%lld", (long long)crasher->n_calls++);
  lb_list_append (&crasher->calls, &call->link);
  call->fetch = lh_fetch_start (crasher->world->pool, &request, &handlers, call, NULL);
}

void
sk_crasher_tick (SkCrasher *crasher, LbTime now)
{
  SkWorld *world = crasher->world;
  SkInstance *instance = NULL;

  if (crasher->stopped || now < crasher->next_call)
    return;
  crasher->next_call = now + sk_draw (world, MIN_PAUSE_MS, MAX_PAUSE_MS) * LB_MSEC;
  instance = &world->instances[sk_draw (world, 0, (int64_t)world->n_instances - 1)];
  if (sk_instance_runs (instance))
    send_to (crasher, instance);
}

void
sk_crasher_stop (SkCrasher *crasher)
{
  crasher->stopped = true;
}

static const Call *
find (const SkCrasher *crasher, const char *id)
{
  LB_LIST_FOREACH (&crasher->calls, Call, link, call)
  {
    if (strcmp (call->id, id) == 0)
      return call;
  }
  return NULL;
}

void
sk_crasher_note_run (SkCrasher *crasher, const char *id, const char *service)
{
  const Call *call = find (crasher, id);
  LbTime now = lb_clock_monotonic ();

  sk_tell (crasher->world, "%s begins at %s", id, service);
  crasher->n_ends++;
  if (crasher->n_ends == ENDS_TO_LEARN)
    crasher->learnt_by = now + LEARN_TIME + LEARN_SLACK;
  if (crasher->n_ends <= ENDS_TO_LEARN || now < crasher->learnt_by || !call
      || !sk_instance_is_calm (call->instance, now - LEARN_TIME - LEARN_SLACK))
    return;
  crasher->n_late++;
  if (crasher->n_late > MAX_LATE_RUNS)
    sk_fail (crasher->world, "a request that ends endpoints stops going round",
             "%s of %s begins at %s, the %dth run that late, %d in all", id, call->instance->name,
             service, crasher->n_late, crasher->n_ends);
}
