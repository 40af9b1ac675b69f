#include "sk-one-shot.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_ITEMS 3
#define PERIOD (400 * LB_MSEC)
#define PREFIX "once"
/* An ended batch may begin work for so long after its end was acknowledged, and a little more on a
 * busy machine. */
#define CANCEL_TIME (3 * LB_SEC)
#define CANCEL_SLACK LB_SEC

typedef enum
{
  SHOT_SUBMITTED,
  SHOT_REFUSED,
  SHOT_ACCEPTED,
  SHOT_ENDING,
  SHOT_ENDED,
  SHOT_UNKNOWN /* no answer, or one that promises nothing */
} ShotState;

typedef struct
{
  LbLink link;
  SkOneShots *shots;
  SkInstance *instance;
  int64_t number;
  ShotState state;
  LbTime ended_at;
  bool has_run;
  LhFetch *fetch;
} Shot;

struct SkOneShots
{
  SkWorld *world;
  LbList all;
  int64_t n;
  LbTime next;
  bool stopped;
};

SkOneShots *
sk_one_shots_new (SkWorld *world)
{
  SkOneShots *shots = LB_NEW (SkOneShots);

  shots->world = world;
  lb_list_init (&shots->all);
  return shots;
}

void
sk_one_shots_free (SkOneShots *shots)
{
  LB_LIST_FOREACH (&shots->all, Shot, link, shot)
  {
    if (shot->fetch)
      lh_fetch_cancel (shot->fetch);
    lb_list_remove (&shots->all, &shot->link);
    free (shot);
  }
  free (shots);
}

static void end_shot (Shot *shot);

static bool
says_not_run (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
on_submitted (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Shot *shot = user;

  shot->fetch = NULL;
  shot->state = SHOT_UNKNOWN;
  if (result->failure != LB_OK)
    return;
  if (result->status == 202)
    {
      shot->state = SHOT_ACCEPTED;
      end_shot (shot);
    }
  else if (says_not_run (result->status))
    {
      shot->state = SHOT_REFUSED;
      if (shot->has_run)
        sk_fail (shot->shots->world, "not run is true", "batch " PREFIX "%lld was refused and ran",
                 (long long)shot->number);
    }
}

static void
on_ended (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Shot *shot = user;

  shot->fetch = NULL;
  if (result->failure != LB_OK || result->status != 200)
    return;
  shot->state = SHOT_ENDED;
  shot->ended_at = lb_clock_monotonic ();
}

/* Every second one is ended as soon as it was accepted. */
static void
end_shot (Shot *shot)
{
  char path[48];

  if (shot->number % 2 || !sk_instance_runs (shot->instance))
    return;
  shot->state = SHOT_ENDING;
  snprintf (path, sizeof path, "/-/lots/" PREFIX "%lld", (long long)shot->number);
  shot->fetch = sk_call_batches (shot->instance, "DELETE", path, "", "", on_ended, shot);
}

static void
submit (SkOneShots *shots, SkInstance *instance)
{
  Shot *shot = LB_NEW (Shot);
  char body[1024];
  char id[32];
  size_t length = 0;

  shot->shots = shots;
  shot->instance = instance;
  shot->number = shots->n++;
  lb_list_append (&shots->all, &shot->link);
  snprintf (id, sizeof id, PREFIX "%lld", (long long)shot->number);
  length = (size_t)snprintf (body, sizeof body,
                             "{\"step\": 0, \"model\": \"" SK_MODEL "\", \"minVersion\": 1,"
                             " \"targetGroups\": 1, \"requests\": [");
  for (int i = 0; i < N_ITEMS; i++)
    length += (size_t)snprintf (body + length, sizeof body - length,
                                "%s{\"id\": \"%s-%d\", \"path\": \"/steps/1/x\","
                                " \"body\": \"QUJD\", \"headers\": {\"Token-Counts\": \"5,40\"},"
                                " \"group\": \"g\"}",
                                i ? "," : "", id, i);
  snprintf (body + length, sizeof body - length, "]}");
  shot->fetch = sk_call_batches (instance, "POST", "/steps/1", id, body, on_submitted, shot);
}

void
sk_one_shots_tick (SkOneShots *shots, LbTime now)
{
  SkWorld *world = shots->world;
  SkInstance *instance = NULL;

  if (shots->stopped || now < shots->next)
    return;
  shots->next = now + PERIOD;
  instance = &world->instances[sk_draw (world, 0, (int64_t)world->n_instances - 1)];
  if (sk_instance_runs (instance))
    submit (shots, instance);
}

void
sk_one_shots_stop (SkOneShots *shots)
{
  shots->stopped = true;
}

static Shot *
find_shot (SkOneShots *shots, int64_t number)
{
  LB_LIST_FOREACH (&shots->all, Shot, link, shot)
  {
    if (shot->number == number)
      return shot;
  }
  return NULL;
}

void
sk_one_shots_note_run (SkOneShots *shots, const char *item)
{
  Shot *shot = NULL;
  LbTime late = 0;

  if (strncmp (item, PREFIX, strlen (PREFIX)) != 0)
    return;
  shot = find_shot (shots, atoll (item + strlen (PREFIX)));
  if (!shot)
    return;
  shot->has_run = true;
  if (shot->state == SHOT_REFUSED)
    sk_fail (shots->world, "not run is true", "%s runs, and its batch was refused", item);
  late = lb_clock_monotonic () - shot->ended_at - CANCEL_TIME - CANCEL_SLACK;
  if (shot->state == SHOT_ENDED && late > 0
      && shots->world->disturbed_at < shot->ended_at - CANCEL_TIME
      && shots->world->store_disturbed_at < shot->ended_at - CANCEL_TIME)
    sk_fail (shots->world, "an ended batch stops", "%s begins %.3f s after the end of its batch",
             item, (double)(lb_clock_monotonic () - shot->ended_at) / LB_SEC);
}
