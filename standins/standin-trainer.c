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
#define MAX_COUNTED_VERSIONS 64
#define RETRY_DELAY (100 * LB_MSEC)
#define PULL_WAIT_MS 1000

typedef struct
{
  const char *addresses[MAX_ADDRESSES];
  size_t n_addresses;
  const char *subscription;
  int64_t first_step;
  int64_t steps;
  int64_t groups;
  int64_t samples_per_group;
  int64_t max_tokens;
  int64_t first_version;     /* weight version of the trainer at the first step */
  int64_t steps_per_version; /* steps between increments of the weight version; 0: never */
  int64_t max_lag;           /* maximum staleness of a sample in versions; -1: unlimited */
  int64_t max_pull_samples;
  LbTime train_time; /* simulated training time per sample */
  LbTime step_timeout;
  LbTime idle_timeout; /* longest time without traffic in a call */
  bool sends_no_cursor;
  bool vary_length;
} Settings;

/* Counts of received samples, of errors in them and of retries. */
typedef struct
{
  int64_t samples;
  int64_t duplicates;
  int64_t unknown_samples; /* samples with a group or index that was not requested */
  int64_t wrong_texts;
  int64_t bad_spans;
  int64_t too_stale;
  int64_t wrong_staleness;
  int64_t missing_samples;
  int64_t retries;
  int64_t reposts; /* training steps posted again because the instance that ran them ended */
  int64_t staleness_sum;
  int64_t staleness_max;
  /* Number of tokens by weight version modulo MAX_COUNTED_VERSIONS. */
  int64_t tokens_by_version[MAX_COUNTED_VERSIONS];
  LbTime idle_time; /* total time spent waiting for replies */
  LbTime longest_step;
  LbTime total_time;
} Tally;

typedef struct
{
  const Settings *settings;
  SiClient client;
  Tally tally;
  size_t address_index; /* index of the address in use */
  int64_t step;
  int64_t version;
  bool *received; /* samples received in this step, by group and index in the group */
  int64_t n_received;
  char *cursor;
  int64_t received_chunk; /* chunk of the last reply; sent if the trainer sends no cursor */
  bool is_step_lost;
  LbTime step_deadline;
} Trainer;

static char *
new_group_prompt (const Trainer *trainer, int64_t group)
{
  return lb_asprintf ("Read the smudged envelope %lld of round %lld for %s: village of the sender?",
                      (long long)group, (long long)trainer->step, trainer->settings->subscription);
}

static char *
new_step_request_body (const Trainer *trainer)
{
  struct json_object *body = json_object_new_object ();
  struct json_object *groups = json_object_new_array ();
  char id[24];

  for (int64_t i = 0; i < trainer->settings->groups; i++)
    {
      struct json_object *group = json_object_new_object ();
      char *prompt = new_group_prompt (trainer, i);
      snprintf (id, sizeof id, "g%lld", (long long)i);
      si_json_set_text (group, "id", id);
      si_json_set_text (group, "prompt", prompt);
      si_json_set_int (group, "samples", trainer->settings->samples_per_group);
      si_json_set_int (group, "max_tokens", trainer->settings->max_tokens);
      json_object_array_add (groups, group);
      free (prompt);
    }
  si_json_set_int (body, "step", trainer->step);
  si_json_set_int (body, "weight_version", trainer->version);
  json_object_object_add (body, "groups", groups);
  return lb_json_serialize_and_release (body, JSON_C_TO_STRING_PLAIN);
}

static char *
new_pull_request_body (const Trainer *trainer)
{
  struct json_object *body = json_object_new_object ();

  si_json_set_int (body, "step", trainer->step);
  si_json_set_text (body, "cursor", trainer->settings->sends_no_cursor ? "" : trainer->cursor);
  if (trainer->settings->sends_no_cursor)
    si_json_set_int (body, "received", trainer->received_chunk);
  si_json_set_int (body, "weight_version", trainer->version);
  si_json_set_int (body, "max_samples", trainer->settings->max_pull_samples);
  si_json_set_int (body, "wait_ms", PULL_WAIT_MS);
  return lb_json_serialize_and_release (body, JSON_C_TO_STRING_PLAIN);
}

static bool
is_past_step_deadline (const Trainer *trainer)
{
  return lb_clock_monotonic () >= trainer->step_deadline;
}

/* Logs the failed call, switches to the next address and waits, before the caller retries the call.
 */
static void
switch_to_next_address (Trainer *trainer, const char *call_name, SiResponse *response)
{
  const Settings *settings = trainer->settings;

  fprintf (stderr, "%s step %lld at %s failed: HTTP status %d, error %s\n", call_name,
           (long long)trainer->step, settings->addresses[trainer->address_index], response->status,
           si_response_get_error_type (response));
  trainer->tally.retries++;
  trainer->address_index = (trainer->address_index + 1) % settings->n_addresses;
  si_client_pause (&trainer->client, RETRY_DELAY);
}

/* Retries the call at one address after another until a 2xx reply. Returns NULL after the step's
 * deadline or if the step is lost: the step was accepted as not durable and its owner instance
 * ended. */
static struct json_object *
repeat_call_until_success (Trainer *trainer,
                           const char *call_name,
                           const char *path,
                           const char *body)
{
  struct json_object *reply = NULL;
  SiResponse response;

  trainer->is_step_lost = false;
  while (!reply && !trainer->is_step_lost && !is_past_step_deadline (trainer))
    {
      const SiCall call = { .method = "POST",
                            .address = trainer->settings->addresses[trainer->address_index],
                            .path = path,
                            .body = body,
                            .idle_timeout = trainer->settings->idle_timeout };
      si_client_call (&trainer->client, &call, &response);
      trainer->tally.idle_time += response.duration;
      if (si_response_is_ok (&response))
        reply = json_tokener_parse (response.body);
      else
        {
          trainer->is_step_lost
              = strcmp (si_response_get_error_type (&response), "unknown_step") == 0;
          switch_to_next_address (trainer, call_name, &response);
        }
      si_response_clear (&response);
    }
  return reply;
}

static bool
post_training_step (Trainer *trainer)
{
  char *path = lb_asprintf ("/v1/subscriptions/%s/steps", trainer->settings->subscription);
  char *body = new_step_request_body (trainer);
  struct json_object *reply = repeat_call_until_success (trainer, "post", path, body);

  free (path);
  free (body);
  bool is_posted = reply != NULL;
  json_object_put (reply);
  return is_posted;
}

/* Compares the sample's text with the answer of the stand-in engine. The engine's seed is the
 * sample's index in the group, or 0 if the engine received no seed. */
static bool
is_sample_text_correct (
    const Trainer *trainer, int64_t group, int64_t index, const char *sample_text, int64_t tokens)
{
  const int64_t seeds[] = { 0, index };
  char *prompt = new_group_prompt (trainer, group);
  bool is_correct = false;

  for (size_t i = 0; i < 2 && !is_correct; i++)
    {
      SiText text;
      si_text_init (&text, prompt, seeds[i], trainer->settings->max_tokens,
                    trainer->settings->vary_length);
      char *expected = si_text_join_tokens (&text, 0, text.n_tokens);
      is_correct = tokens == text.n_tokens && strcmp (sample_text, expected) == 0;
      free (expected);
    }
  free (prompt);
  return is_correct;
}

/* A span is a range of tokens generated by one weight version. Returns the oldest weight version of
 * the sample's spans, or 0 unless the spans cover all tokens without gap or overlap. */
static int64_t
count_span_tokens_and_get_oldest_version (Tally *tally, struct json_object *sample, int64_t tokens)
{
  struct json_object *spans = NULL;
  int64_t next = 0;
  int64_t oldest = INT64_MAX;

  json_object_object_get_ex (sample, "spans", &spans);
  size_t n = json_object_is_type (spans, json_type_array) ? json_object_array_length (spans) : 0;
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *span = json_object_array_get_idx (spans, i);
      int64_t version = si_json_get_int (span, "version", 0);
      int64_t count = si_json_get_int (span, "count", 0);
      if (si_json_get_int (span, "first", -1) != next || version <= 0 || count <= 0)
        return 0;
      next += count;
      oldest = version < oldest ? version : oldest;
      tally->tokens_by_version[version % MAX_COUNTED_VERSIONS] += count;
    }
  return next == tokens && n > 0 ? oldest : 0;
}

static void
count_sample_staleness (Trainer *trainer, struct json_object *sample, int64_t oldest)
{
  Tally *tally = &trainer->tally;
  int64_t staleness = trainer->version > oldest ? trainer->version - oldest : 0;

  tally->staleness_sum += staleness;
  if (staleness > tally->staleness_max)
    tally->staleness_max = staleness;
  if (trainer->settings->max_lag >= 0 && staleness > trainer->settings->max_lag)
    tally->too_stale++;
  if (si_json_get_int (sample, "staleness", -1) != staleness)
    tally->wrong_staleness++;
}

static int64_t
get_sample_slot (const Trainer *trainer, struct json_object *sample, int64_t *group, int64_t *index)
{
  const char *id = si_json_get_text (sample, "group", "");

  *group = id[0] == 'g' ? strtoll (id + 1, NULL, 10) : -1;
  *index = si_json_get_int (sample, "index", -1);
  if (*group < 0 || *group >= trainer->settings->groups || *index < 0
      || *index >= trainer->settings->samples_per_group)
    return -1;
  return *group * trainer->settings->samples_per_group + *index;
}

static void
check_and_count_sample (Trainer *trainer, struct json_object *sample)
{
  Tally *tally = &trainer->tally;
  int64_t tokens = si_json_get_int (sample, "tokens", 0);
  int64_t group, index;
  int64_t slot = get_sample_slot (trainer, sample, &group, &index);

  if (slot < 0)
    {
      tally->unknown_samples++;
      return;
    }
  if (trainer->received[slot])
    {
      tally->duplicates++;
      return;
    }
  trainer->received[slot] = true;
  trainer->n_received++;
  tally->samples++;
  if (!is_sample_text_correct (trainer, group, index, si_json_get_text (sample, "text", ""),
                               tokens))
    tally->wrong_texts++;
  int64_t oldest = count_span_tokens_and_get_oldest_version (tally, sample, tokens);
  if (oldest == 0)
    tally->bad_spans++;
  else
    count_sample_staleness (trainer, sample, oldest);
}

static void
check_samples_and_advance_cursor (Trainer *trainer, struct json_object *reply)
{
  struct json_object *samples = NULL;

  json_object_object_get_ex (reply, "samples", &samples);
  size_t n
      = json_object_is_type (samples, json_type_array) ? json_object_array_length (samples) : 0;
  for (size_t i = 0; i < n; i++)
    check_and_count_sample (trainer, json_object_array_get_idx (samples, i));
  free (trainer->cursor);
  trainer->cursor = lb_strdup (si_json_get_text (reply, "cursor", ""));
  trainer->received_chunk = si_json_get_int (reply, "chunk", 0);
  if (n > 0 && trainer->settings->train_time > 0)
    si_client_pause (&trainer->client, (LbTime)n * trainer->settings->train_time);
}

/* Sends one more pull request after a reply with `done`, because the cursor or the chunk in this
 * request acknowledges the last samples. */
static void
acknowledge_last_samples (Trainer *trainer, const char *path)
{
  char *body = new_pull_request_body (trainer);

  json_object_put (repeat_call_until_success (trainer, "acknowledge", path, body));
  free (body);
}

static void
pull_step_samples (Trainer *trainer)
{
  char *path = lb_asprintf ("/v1/subscriptions/%s/pull", trainer->settings->subscription);
  bool is_done = false;

  while (!is_done && !is_past_step_deadline (trainer))
    {
      char *body = new_pull_request_body (trainer);
      struct json_object *reply = repeat_call_until_success (trainer, "pull", path, body);
      free (body);
      if (!reply && trainer->is_step_lost)
        {
          trainer->tally.reposts++;
          post_training_step (trainer);
          continue;
        }
      if (!reply)
        break;
      check_samples_and_advance_cursor (trainer, reply);
      is_done = si_json_get_bool (reply, "done", false);
      json_object_put (reply);
    }
  if (is_done)
    acknowledge_last_samples (trainer, path);
  free (path);
}

static void
run_training_step (Trainer *trainer)
{
  int64_t slots = trainer->settings->groups * trainer->settings->samples_per_group;
  LbTime start = lb_clock_monotonic ();

  trainer->step_deadline = start + trainer->settings->step_timeout;
  trainer->received = LB_NEW_ARRAY (bool, (size_t)slots);
  trainer->n_received = 0;
  trainer->cursor = lb_strdup ("");
  trainer->received_chunk = 0;
  if (post_training_step (trainer))
    pull_step_samples (trainer);
  trainer->tally.missing_samples += slots - trainer->n_received;
  LbTime took = lb_clock_monotonic () - start;
  if (took > trainer->tally.longest_step)
    trainer->tally.longest_step = took;
  free (trainer->received);
  free (trainer->cursor);
}

static bool
has_no_sample_errors (const Tally *tally)
{
  return tally->duplicates + tally->unknown_samples + tally->wrong_texts + tally->bad_spans
             + tally->too_stale + tally->wrong_staleness + tally->missing_samples
         == 0;
}

static struct json_object *
token_counts_by_version_to_json (const Tally *tally)
{
  struct json_object *tokens_by_version = json_object_new_object ();
  char key[24];

  for (int i = 0; i < MAX_COUNTED_VERSIONS; i++)
    {
      if (tally->tokens_by_version[i] == 0)
        continue;
      snprintf (key, sizeof key, "%d", i);
      si_json_set_int (tokens_by_version, key, tally->tokens_by_version[i]);
    }
  return tokens_by_version;
}

static void
print_trainer_summary (const Trainer *trainer)
{
  const Tally *tally = &trainer->tally;
  struct json_object *summary = json_object_new_object ();
  double mean = tally->samples ? (double)tally->staleness_sum / (double)tally->samples : 0;

  json_object_object_add (summary, "ok", json_object_new_boolean (has_no_sample_errors (tally)));
  si_json_set_int (summary, "steps", trainer->settings->steps);
  si_json_set_int (summary, "samples", tally->samples);
  si_json_set_int (summary, "missing", tally->missing_samples);
  si_json_set_int (summary, "duplicates", tally->duplicates);
  si_json_set_int (summary, "strangers", tally->unknown_samples);
  si_json_set_int (summary, "wrong_texts", tally->wrong_texts);
  si_json_set_int (summary, "bad_spans", tally->bad_spans);
  si_json_set_int (summary, "too_stale", tally->too_stale);
  si_json_set_int (summary, "wrong_staleness", tally->wrong_staleness);
  si_json_set_int (summary, "retries", tally->retries);
  si_json_set_int (summary, "reposts", tally->reposts);
  si_json_set_int (summary, "staleness_max", tally->staleness_max);
  json_object_object_add (summary, "staleness_mean", json_object_new_double (mean));
  json_object_object_add (summary, "tokens_by_version", token_counts_by_version_to_json (tally));
  si_json_set_int (summary, "idle_ms", tally->idle_time / LB_MSEC);
  si_json_set_int (summary, "total_ms", tally->total_time / LB_MSEC);
  si_json_set_int (summary, "worst_step_ms", tally->longest_step / LB_MSEC);
  puts (json_object_to_json_string_ext (summary, JSON_C_TO_STRING_SPACED));
  json_object_put (summary);
}

static int
run_standin_trainer (const Settings *settings)
{
  Trainer trainer = { .settings = settings, .version = settings->first_version };
  LbTime start = lb_clock_monotonic ();

  signal (SIGPIPE, SIG_IGN);
  si_client_init (&trainer.client);
  for (int64_t i = 0; i < settings->steps; i++)
    {
      trainer.step = settings->first_step + i;
      if (settings->steps_per_version > 0 && i > 0 && i % settings->steps_per_version == 0)
        trainer.version++;
      run_training_step (&trainer);
    }
  trainer.tally.total_time = lb_clock_monotonic () - start;
  print_trainer_summary (&trainer);
  si_client_clear (&trainer.client);
  return has_no_sample_errors (&trainer.tally) ? 0 : 1;
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
set_default_options (Options *options)
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
get_trainer_settings (const Options *options)
{
  Settings settings = {
    .subscription = options->subscription->sval[0],
    .first_step = options->first_step->ival[0],
    .steps = options->steps->ival[0],
    .groups = options->groups->ival[0],
    .samples_per_group = options->samples->ival[0],
    .max_tokens = options->max_tokens->ival[0],
    .first_version = options->version->ival[0],
    .steps_per_version = options->version_every->ival[0],
    .max_lag = options->max_lag->ival[0],
    .max_pull_samples = options->chunk->ival[0],
    .train_time = options->train_us->ival[0],
    .step_timeout = options->timeout_s->ival[0] * LB_SEC,
    .idle_timeout = options->silence_ms->ival[0] * LB_MSEC,
    .sends_no_cursor = options->strict->count > 0,
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
    .address = arg_strn (NULL, "address", "IP:PORT", 1, MAX_ADDRESSES,
                         "address of an instance; may be repeated"),
    .subscription = arg_str0 (NULL, "subscription", "NAME",
                              "subscription that receives the steps and returns the samples"),
    .first_step = arg_int0 (NULL, "step", "N", "number of the first step"),
    .steps = arg_int0 (NULL, "steps", "N", "number of steps"),
    .groups = arg_int0 (NULL, "groups", "N", "groups per step"),
    .samples = arg_int0 (NULL, "samples", "N", "samples per group"),
    .max_tokens = arg_int0 (NULL, "max-tokens", "N", "maximum number of tokens per sample"),
    .version = arg_int0 (NULL, "version", "N", "trainer's weight version at the first step"),
    .version_every
    = arg_int0 (NULL, "version-every", "N",
                "number of steps between increments of the weight version; 0: never"),
    .max_lag
    = arg_int0 (NULL, "max-lag", "N", "maximum staleness of a sample in versions; -1: unlimited"),
    .chunk = arg_int0 (NULL, "chunk", "N", "maximum number of samples per pull"),
    .train_us
    = arg_int0 (NULL, "train-us", "N", "simulated training time per sample in microseconds"),
    .timeout_s = arg_int0 (NULL, "timeout-s", "N", "timeout of a step in seconds"),
    .silence_ms = arg_int0 (NULL, "silence-ms", "N", "idle timeout of a call in milliseconds"),
    .strict = arg_lit0 (NULL, "strict", "send the number of the last chunk in place of a cursor"),
    .vary = arg_lit0 (NULL, "vary-length", "set if the engines run with --vary-length"),
    .help = arg_lit0 (NULL, "help", "show this help"),
    .end = arg_end (4),
  };
  void **table = (void **)&options;
  int exit_code;

  set_default_options (&options);
  if (si_arguments_parse (argc, argv, table, sizeof options / sizeof (void *), "standin-trainer",
                          &exit_code))
    {
      const Settings settings = get_trainer_settings (&options);
      exit_code = run_standin_trainer (&settings);
    }
  arg_freetable (table, sizeof options / sizeof (void *));
  return exit_code;
}
