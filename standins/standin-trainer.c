#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"
#include "si-arguments.h"
#include "si-client.h"
#include "si-text.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ADDRESSES 16
#define MAX_VERSIONS 64
#define RETRY_PAUSE (100 * LB_MSEC)
#define PULL_WAIT_MS 1000

typedef struct
{
  const char *addresses[MAX_ADDRESSES];
  size_t n_addresses;
  const char *subscription;
  int64_t first_step;
  int64_t steps;
  int64_t groups;
  int64_t samples; /* of a group */
  int64_t max_tokens;
  int64_t version;       /* of the trainer's own weights at the first step */
  int64_t version_every; /* steps after which its weights are one version newer; 0: never */
  int64_t max_lag;       /* staleness that it must never see; -1: any */
  int64_t chunk;
  LbTime train_time; /* of one sample */
  LbTime timeout;    /* of one step */
  LbTime silence;    /* of one call */
  bool strict;
  bool vary_length;
} Settings;

/* What the trainer saw, and what was wrong with it. */
typedef struct
{
  int64_t samples;
  int64_t duplicates;
  int64_t strangers; /* a group or index that was not asked for */
  int64_t wrong_texts;
  int64_t bad_spans;
  int64_t too_stale;
  int64_t wrong_staleness;
  int64_t missing;
  int64_t retries;
  int64_t reposts; /* of a step that the system no longer knew */
  int64_t staleness_sum;
  int64_t staleness_max;
  int64_t versions[MAX_VERSIONS]; /* tokens by version modulo MAX_VERSIONS */
  LbTime idle;
  LbTime worst_step;
  LbTime total;
} Tally;

typedef struct
{
  const Settings *settings;
  SiClient client;
  Tally tally;
  size_t address; /* the one in use */
  int64_t step;
  int64_t version;
  bool *seen;
  int64_t n_seen;
  char *cursor;
  bool step_lost;
  LbTime give_up;
} Trainer;

static char *
prompt_of (const Trainer *trainer, int64_t group)
{
  return lb_asprintf ("Read the smudged envelope %lld of round %lld for %s: village of the sender?",
                      (long long)group, (long long)trainer->step, trainer->settings->subscription);
}

static char *
step_body (const Trainer *trainer)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *groups = json_object_new_array ();
  char id[24];

  for (int64_t i = 0; i < trainer->settings->groups; i++)
    {
      struct json_object *group = json_object_new_object ();
      char *prompt = prompt_of (trainer, i);
      snprintf (id, sizeof id, "g%lld", (long long)i);
      si_json_set_text (group, "id", id);
      si_json_set_text (group, "prompt", prompt);
      si_json_set_int (group, "samples", trainer->settings->samples);
      si_json_set_int (group, "max_tokens", trainer->settings->max_tokens);
      json_object_array_add (groups, group);
      free (prompt);
    }
  si_json_set_int (body, "step", trainer->step);
  si_json_set_int (body, "weight_version", trainer->version);
  json_object_object_add (body, "groups", groups);
  return lb_json_take_text (body, JSON_C_TO_STRING_PLAIN);
}

static char *
pull_body (const Trainer *trainer)
{
  struct json_object *body = json_object_new_object ();

  si_json_set_int (body, "step", trainer->step);
  si_json_set_text (body, "cursor", trainer->settings->strict ? "" : trainer->cursor);
  si_json_set_int (body, "weight_version", trainer->version);
  si_json_set_int (body, "max_samples", trainer->settings->chunk);
  si_json_set_int (body, "wait_ms", PULL_WAIT_MS);
  return lb_json_take_text (body, JSON_C_TO_STRING_PLAIN);
}

static bool
is_late (const Trainer *trainer)
{
  return lb_clock_monotonic () >= trainer->give_up;
}

/* Says what went wrong and turns to the next address; the same call is made there again. */
static void
turn_to_next (Trainer *trainer, const char *what, SiResponse *answer)
{
  const Settings *settings = trainer->settings;

  fprintf (stderr, "%s step %lld at %s: %d %s\n", what, (long long)trainer->step,
           settings->addresses[trainer->address], answer->status, si_response_error (answer));
  trainer->tally.retries++;
  trainer->address = (trainer->address + 1) % settings->n_addresses;
  si_client_pause (&trainer->client, RETRY_PAUSE);
}

/* Repeats the call, at another address each time it fails, until it is answered with 2xx. NULL when
 * the step's time is over, or when the step is lost: accepted as not durable, and its owner died.
 */
static struct json_object *
call_until_answered (Trainer *trainer, const char *what, const char *path, const char *body)
{
  struct json_object *reply = NULL;
  SiResponse answer;

  trainer->step_lost = false;
  while (!reply && !trainer->step_lost && !is_late (trainer))
    {
      const SiCall call = { .method = "POST",
                            .address = trainer->settings->addresses[trainer->address],
                            .path = path,
                            .body = body,
                            .idle_timeout = trainer->settings->silence };
      si_client_call (&trainer->client, &call, &answer);
      trainer->tally.idle += answer.duration;
      if (si_response_is_ok (&answer))
        reply = json_tokener_parse (answer.body);
      else
        {
          trainer->step_lost = strcmp (si_response_error (&answer), "unknown_step") == 0;
          turn_to_next (trainer, what, &answer);
        }
      si_response_clear (&answer);
    }
  return reply;
}

static bool
post_step (Trainer *trainer)
{
  char *path = lb_asprintf ("/v1/subscriptions/%s/steps", trainer->settings->subscription);
  char *body = step_body (trainer);
  struct json_object *reply = call_until_answered (trainer, "post", path, body);

  free (path);
  free (body);
  bool posted = reply != NULL;
  json_object_put (reply);
  return posted;
}

/* Every sample of a group has its own seed, its index, unless the system sends none. */
static bool
is_text_right (
    const Trainer *trainer, int64_t group, int64_t index, const char *got, int64_t tokens)
{
  const int64_t seeds[] = { 0, index };
  char *prompt = prompt_of (trainer, group);
  bool right = false;

  for (size_t i = 0; i < 2 && !right; i++)
    {
      SiText text;
      si_text_init (&text, prompt, seeds[i], trainer->settings->max_tokens,
                    trainer->settings->vary_length);
      char *wanted = si_text_slice (&text, 0, text.tokens);
      right = tokens == text.tokens && strcmp (got, wanted) == 0;
      free (wanted);
    }
  free (prompt);
  return right;
}

/* The oldest version of the spans; 0 when they don't cover the tokens without gap or overlap. */
static int64_t
check_spans (Tally *tally, struct json_object *sample, int64_t tokens)
{
  struct json_object *spans = NULL;
  int64_t next = 0;
  int64_t oldest = INT64_MAX;

  json_object_object_get_ex (sample, "spans", &spans);
  size_t n = json_object_is_type (spans, json_type_array) ? json_object_array_length (spans) : 0;
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *span = json_object_array_get_idx (spans, i);
      int64_t version = si_json_int (span, "version", 0);
      int64_t count = si_json_int (span, "count", 0);
      if (si_json_int (span, "first", -1) != next || version <= 0 || count <= 0)
        return 0;
      next += count;
      oldest = version < oldest ? version : oldest;
      tally->versions[version % MAX_VERSIONS] += count;
    }
  return next == tokens && n > 0 ? oldest : 0;
}

static void
check_staleness (Trainer *trainer, struct json_object *sample, int64_t oldest)
{
  Tally *tally = &trainer->tally;
  int64_t staleness = trainer->version > oldest ? trainer->version - oldest : 0;

  tally->staleness_sum += staleness;
  if (staleness > tally->staleness_max)
    tally->staleness_max = staleness;
  if (trainer->settings->max_lag >= 0 && staleness > trainer->settings->max_lag)
    tally->too_stale++;
  if (si_json_int (sample, "staleness", -1) != staleness)
    tally->wrong_staleness++;
}

static int64_t
slot_of (const Trainer *trainer, struct json_object *sample, int64_t *group, int64_t *index)
{
  const char *id = si_json_text (sample, "group", "");

  *group = id[0] == 'g' ? strtoll (id + 1, NULL, 10) : -1;
  *index = si_json_int (sample, "index", -1);
  if (*group < 0 || *group >= trainer->settings->groups || *index < 0
      || *index >= trainer->settings->samples)
    return -1;
  return *group * trainer->settings->samples + *index;
}

static void
take_sample (Trainer *trainer, struct json_object *sample)
{
  Tally *tally = &trainer->tally;
  int64_t tokens = si_json_int (sample, "tokens", 0);
  int64_t group, index;
  int64_t slot = slot_of (trainer, sample, &group, &index);

  if (slot < 0)
    {
      tally->strangers++;
      return;
    }
  if (trainer->seen[slot])
    {
      tally->duplicates++;
      return;
    }
  trainer->seen[slot] = true;
  trainer->n_seen++;
  tally->samples++;
  if (!is_text_right (trainer, group, index, si_json_text (sample, "text", ""), tokens))
    tally->wrong_texts++;
  int64_t oldest = check_spans (tally, sample, tokens);
  if (oldest == 0)
    tally->bad_spans++;
  else
    check_staleness (trainer, sample, oldest);
}

static void
take_chunk (Trainer *trainer, struct json_object *reply)
{
  struct json_object *samples = NULL;

  json_object_object_get_ex (reply, "samples", &samples);
  size_t n
      = json_object_is_type (samples, json_type_array) ? json_object_array_length (samples) : 0;
  for (size_t i = 0; i < n; i++)
    take_sample (trainer, json_object_array_get_idx (samples, i));
  free (trainer->cursor);
  trainer->cursor = lb_strdup (si_json_text (reply, "cursor", ""));
  if (n > 0 && trainer->settings->train_time > 0)
    si_client_pause (&trainer->client, (LbTime)n * trainer->settings->train_time);
}

/* A pull after `done` acknowledges the last chunk. */
static void
acknowledge (Trainer *trainer, const char *path)
{
  char *body;

  if (trainer->settings->strict)
    return;
  body = pull_body (trainer);
  json_object_put (call_until_answered (trainer, "acknowledge", path, body));
  free (body);
}

static void
pull_step (Trainer *trainer)
{
  char *path = lb_asprintf ("/v1/subscriptions/%s/pull", trainer->settings->subscription);
  bool done = false;

  while (!done && !is_late (trainer))
    {
      char *body = pull_body (trainer);
      struct json_object *reply = call_until_answered (trainer, "pull", path, body);
      free (body);
      if (!reply && trainer->step_lost)
        {
          trainer->tally.reposts++;
          post_step (trainer);
          continue;
        }
      if (!reply)
        break;
      take_chunk (trainer, reply);
      done = si_json_bool (reply, "done", false);
      json_object_put (reply);
    }
  if (done)
    acknowledge (trainer, path);
  free (path);
}

static void
run_step (Trainer *trainer)
{
  int64_t slots = trainer->settings->groups * trainer->settings->samples;
  LbTime start = lb_clock_monotonic ();

  trainer->give_up = start + trainer->settings->timeout;
  trainer->seen = LB_NEW_ARRAY (bool, (size_t)slots);
  trainer->n_seen = 0;
  trainer->cursor = lb_strdup ("");
  if (post_step (trainer))
    pull_step (trainer);
  trainer->tally.missing += slots - trainer->n_seen;
  LbTime took = lb_clock_monotonic () - start;
  if (took > trainer->tally.worst_step)
    trainer->tally.worst_step = took;
  free (trainer->seen);
  free (trainer->cursor);
}

static bool
is_right (const Tally *tally)
{
  return tally->duplicates + tally->strangers + tally->wrong_texts + tally->bad_spans
             + tally->too_stale + tally->wrong_staleness + tally->missing
         == 0;
}

static struct json_object *
versions_to_json (const Tally *tally)
{
  struct json_object *versions = json_object_new_object ();
  char key[24];

  for (int i = 0; i < MAX_VERSIONS; i++)
    {
      if (tally->versions[i] == 0)
        continue;
      snprintf (key, sizeof key, "%d", i);
      si_json_set_int (versions, key, tally->versions[i]);
    }
  return versions;
}

static void
print_summary (const Trainer *trainer)
{
  const Tally *tally = &trainer->tally;
  struct json_object *summary = json_object_new_object ();
  double mean = tally->samples ? (double)tally->staleness_sum / (double)tally->samples : 0;

  json_object_object_add (summary, "ok", json_object_new_boolean (is_right (tally)));
  si_json_set_int (summary, "steps", trainer->settings->steps);
  si_json_set_int (summary, "samples", tally->samples);
  si_json_set_int (summary, "missing", tally->missing);
  si_json_set_int (summary, "duplicates", tally->duplicates);
  si_json_set_int (summary, "strangers", tally->strangers);
  si_json_set_int (summary, "wrong_texts", tally->wrong_texts);
  si_json_set_int (summary, "bad_spans", tally->bad_spans);
  si_json_set_int (summary, "too_stale", tally->too_stale);
  si_json_set_int (summary, "wrong_staleness", tally->wrong_staleness);
  si_json_set_int (summary, "retries", tally->retries);
  si_json_set_int (summary, "reposts", tally->reposts);
  si_json_set_int (summary, "staleness_max", tally->staleness_max);
  json_object_object_add (summary, "staleness_mean", json_object_new_double (mean));
  json_object_object_add (summary, "tokens_by_version", versions_to_json (tally));
  si_json_set_int (summary, "idle_ms", tally->idle / LB_MSEC);
  si_json_set_int (summary, "total_ms", tally->total / LB_MSEC);
  si_json_set_int (summary, "worst_step_ms", tally->worst_step / LB_MSEC);
  puts (json_object_to_json_string_ext (summary, JSON_C_TO_STRING_SPACED));
  json_object_put (summary);
}

static int
train (const Settings *settings)
{
  Trainer trainer = { .settings = settings, .version = settings->version };
  LbTime start = lb_clock_monotonic ();

  signal (SIGPIPE, SIG_IGN);
  si_client_init (&trainer.client);
  for (int64_t i = 0; i < settings->steps; i++)
    {
      trainer.step = settings->first_step + i;
      if (settings->version_every > 0 && i > 0 && i % settings->version_every == 0)
        trainer.version++;
      run_step (&trainer);
    }
  trainer.tally.total = lb_clock_monotonic () - start;
  print_summary (&trainer);
  si_client_clear (&trainer.client);
  return is_right (&trainer.tally) ? 0 : 1;
}

typedef struct
{
  struct arg_str *address;
  struct arg_str *subscription;
  struct arg_int *first_step;
  struct arg_int *steps;
  struct arg_int *groups;
  struct arg_int *samples;
  struct arg_int *max_tokens;
  struct arg_int *version;
  struct arg_int *version_every;
  struct arg_int *max_lag;
  struct arg_int *chunk;
  struct arg_int *train_us;
  struct arg_int *timeout_s;
  struct arg_int *silence_ms;
  struct arg_lit *strict;
  struct arg_lit *vary;
  struct arg_lit *help;
  struct arg_end *end;
} Options;

static void
set_defaults (Options *options)
{
  options->subscription->sval[0] = "reader-trainer";
  options->first_step->ival[0] = 1;
  options->steps->ival[0] = 1;
  options->groups->ival[0] = 8;
  options->samples->ival[0] = 8;
  options->max_tokens->ival[0] = 32;
  options->version->ival[0] = 1;
  options->version_every->ival[0] = 0;
  options->max_lag->ival[0] = -1;
  options->chunk->ival[0] = 16;
  options->train_us->ival[0] = 0;
  options->timeout_s->ival[0] = 60;
  options->silence_ms->ival[0] = 10000;
}

static Settings
settings_from (const Options *options)
{
  Settings settings = {
    .subscription = options->subscription->sval[0],
    .first_step = options->first_step->ival[0],
    .steps = options->steps->ival[0],
    .groups = options->groups->ival[0],
    .samples = options->samples->ival[0],
    .max_tokens = options->max_tokens->ival[0],
    .version = options->version->ival[0],
    .version_every = options->version_every->ival[0],
    .max_lag = options->max_lag->ival[0],
    .chunk = options->chunk->ival[0],
    .train_time = options->train_us->ival[0],
    .timeout = options->timeout_s->ival[0] * LB_SEC,
    .silence = options->silence_ms->ival[0] * LB_MSEC,
    .strict = options->strict->count > 0,
    .vary_length = options->vary->count > 0,
  };

  for (int i = 0; i < options->address->count; i++)
    settings.addresses[settings.n_addresses++] = options->address->sval[i];
  return settings;
}

int
main (int argc, char **argv)
{
  Options options = {
    .address = arg_strn (NULL, "address", "IP:PORT", 1, MAX_ADDRESSES, "of an instance"),
    .subscription = arg_str0 (NULL, "subscription", "NAME", "subscription to pull for"),
    .first_step = arg_int0 (NULL, "step", "N", "number of the first step"),
    .steps = arg_int0 (NULL, "steps", "N", "how many steps"),
    .groups = arg_int0 (NULL, "groups", "N", "groups of a step"),
    .samples = arg_int0 (NULL, "samples", "N", "samples of a group"),
    .max_tokens = arg_int0 (NULL, "max-tokens", "N", "of a sample"),
    .version = arg_int0 (NULL, "version", "N", "weight version of the trainer at first"),
    .version_every = arg_int0 (NULL, "version-every", "N", "steps to the next version; 0: never"),
    .max_lag = arg_int0 (NULL, "max-lag", "N", "staleness that counts as a fault; -1: none"),
    .chunk = arg_int0 (NULL, "chunk", "N", "samples of a pull at most"),
    .train_us = arg_int0 (NULL, "train-us", "N", "time to train on one sample"),
    .timeout_s = arg_int0 (NULL, "timeout-s", "N", "longest time of a step"),
    .silence_ms = arg_int0 (NULL, "silence-ms", "N", "longest silence of one call"),
    .strict = arg_lit0 (NULL, "strict", "send no cursor"),
    .vary = arg_lit0 (NULL, "vary-length", "engines run with --vary-length"),
    .help = arg_lit0 (NULL, "help", "show this"),
    .end = arg_end (4),
  };
  void **table = (void **)&options;
  int status;

  set_defaults (&options);
  if (si_arguments_parse (argc, argv, table, sizeof options / sizeof (void *), "standin-trainer",
                          &status))
    {
      const Settings settings = settings_from (&options);
      status = train (&settings);
    }
  arg_freetable (table, sizeof options / sizeof (void *));
  return status;
}
