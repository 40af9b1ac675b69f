#include "ln-recorder.h"

#include "ln-exchange.h"

#include "lb-alloc.h"
#include "lb-list.h"
#include "lb-log.h"
#include "lb-settings.h"

#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_RECORDED_EVENTS 100000
/* Largest values that `lentilspindle replay` accepts in a trace. */
#define MAX_RECORDED_TRAINERS 10
#define MAX_CALL_TOKENS 4000
#define MAX_GROUPS_PER_STEP 512
#define MAX_SAMPLES_PER_GROUP 64
#define MIN_SAMPLE_TOKENS_LIMIT 400
/* Number of tokens to record for a call without max_tokens. */
#define DEFAULT_CALL_TOKENS 16
/* Extra time for each completion in a replay. A replay has other engines and latencies, so it must
 * complete the same requests but may take longer. */
#define COMPLETION_MARGIN_MS 60000

typedef enum
{
  RECORD_CALL,
  RECORD_SERVICE,
  RECORD_STEP
} RecordType;

typedef struct
{
  LbLink link;
  RecordType type;
  uint64_t exchange_id;
  int64_t at_ms;        /* time of the request since the start of the recording */
  int64_t completed_ms; /* time of completion since the start of the recording; -1: not completed */
  int64_t max_tokens;
  int64_t deadline_ms; /* caller's deadline; 0: the default deadline */
  bool is_repeatable;
  int trainer;         /* index in LnRecorder.trainers */
  int64_t step;        /* step number that the trainer assigned */
  int64_t replay_step; /* step number in the trace: index among the trainer's accepted steps */
  bool is_accepted;
} Record;

struct LnRecorder
{
  char path[256];
  const char *site;
  uint64_t seed;
  LbTime started_at;
  LbList records; /* recorded requests, of type Record */
  LbName trainers[MAX_RECORDED_TRAINERS];
  int64_t n_steps[MAX_RECORDED_TRAINERS]; /* number of accepted steps of each trainer */
  int n_trainers;
  int64_t groups_per_step;
  int64_t samples_per_group;
  int64_t min_sample_tokens;
};

static const char *
find_site_of_data_centre (const char *data_centre)
{
  return strncmp (data_centre, "hall-", 5) == 0 || strcmp (data_centre, "local") == 0 ? "kurunegala"
                                                                                      : "hoa-sen";
}

LnRecorder *
ln_recorder_new (const char *path, const char *data_centre, uint64_t seed, LbTime now)
{
  LnRecorder *recorder = LB_NEW (LnRecorder);

  LB_COPY (recorder->path, path);
  recorder->site = find_site_of_data_centre (data_centre);
  recorder->seed = seed % 1000000000000000U;
  recorder->started_at = now;
  recorder->groups_per_step = 8;
  recorder->samples_per_group = 4;
  recorder->min_sample_tokens = 20;
  lb_list_init (&recorder->records);
  return recorder;
}

static int64_t
clamp_from_1_to_max (int64_t value, int64_t max)
{
  if (value < 1)
    return 1;
  return value < max ? value : max;
}

static int64_t
compute_ms_since_recording_start (const LnRecorder *recorder, LbTime now)
{
  return (now - recorder->started_at) / LB_MSEC;
}

static Record *
add_trace_record (LnRecorder *recorder, RecordType type, const LnExchange *exchange, LbTime now)
{
  Record *record;

  if (recorder->records.length >= MAX_RECORDED_EVENTS)
    return NULL;
  record = LB_NEW (Record);
  record->type = type;
  record->exchange_id = ln_exchange_id (exchange);
  record->at_ms = compute_ms_since_recording_start (recorder, now);
  record->completed_ms = -1;
  lb_list_append (&recorder->records, &record->link);
  return record;
}

static struct json_object *
parse_json_body (const LnExchange *exchange)
{
  size_t length;
  const char *body = ln_exchange_body (exchange, &length);
  struct json_object *object = lb_settings_parse (body, length, "body", NULL);

  if (json_object_is_type (object, json_type_object))
    return object;
  json_object_put (object);
  return NULL;
}

/* Unlike lb_json_int, accepts an integer in the form 7.0, which some trainers send. */
static int64_t
read_integer_or_default (struct json_object *object, const char *key, int64_t default_value)
{
  struct json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_int64 (value)
                                                         : default_value;
}

static int64_t
read_deadline_ms (const LnExchange *exchange)
{
  const char *text = ln_exchange_header (exchange, "x-deadline-ms");

  return text ? strtoll (text, NULL, 10) : 0;
}

static void
record_engine_call (LnRecorder *recorder, const LnExchange *exchange, LbTime now)
{
  struct json_object *body = parse_json_body (exchange);
  Record *record = body ? add_trace_record (recorder, RECORD_CALL, exchange, now) : NULL;

  if (record)
    {
      record->max_tokens
          = clamp_from_1_to_max (read_integer_or_default (body, "max_tokens", DEFAULT_CALL_TOKENS),
                                 MAX_CALL_TOKENS);
      record->deadline_ms = read_deadline_ms (exchange);
    }
  json_object_put (body);
}

static void
record_service_call (LnRecorder *recorder, const LnExchange *exchange, LbTime now)
{
  Record *record = add_trace_record (recorder, RECORD_SERVICE, exchange, now);

  if (!record)
    return;
  record->is_repeatable = strcmp (ln_exchange_method (exchange), "POST") != 0;
  record->deadline_ms = read_deadline_ms (exchange);
}

/* Returns the index of the trainer that the path names, and adds a new trainer. Returns -1 when
 * there are already MAX_RECORDED_TRAINERS trainers. */
static int
find_or_add_trainer (LnRecorder *recorder, const char *path)
{
  LbName name = "";
  const char *begin = path + strlen ("/v1/subscriptions/");
  size_t length = strcspn (begin, "/");

  if (length < sizeof name)
    memcpy (name, begin, length);
  for (int i = 0; i < recorder->n_trainers; i++)
    if (strcmp (recorder->trainers[i], name) == 0)
      return i;
  if (recorder->n_trainers == MAX_RECORDED_TRAINERS)
    return -1;
  LB_COPY (recorder->trainers[recorder->n_trainers], name);
  return recorder->n_trainers++;
}

static Record *
find_recorded_step (LnRecorder *recorder, int trainer, int64_t step)
{
  LB_LIST_FOREACH (&recorder->records, Record, link, record)
  {
    if (record->type == RECORD_STEP && record->trainer == trainer && record->step == step)
      return record;
  }
  return NULL;
}

/* Sets the numbers of groups, samples and tokens in a step. A trace has the same numbers for all
 * steps, so the first step determines them. */
static void
record_group_and_sample_counts (LnRecorder *recorder, struct json_object *body)
{
  struct json_object *groups = NULL;

  if (!json_object_object_get_ex (body, "groups", &groups)
      || !json_object_is_type (groups, json_type_array) || json_object_array_length (groups) == 0)
    return;
  struct json_object *first = json_object_array_get_idx (groups, 0);
  recorder->groups_per_step
      = clamp_from_1_to_max ((int64_t)json_object_array_length (groups), MAX_GROUPS_PER_STEP);
  recorder->samples_per_group
      = clamp_from_1_to_max (read_integer_or_default (first, "samples", 1), MAX_SAMPLES_PER_GROUP);
  recorder->min_sample_tokens
      = clamp_from_1_to_max (read_integer_or_default (first, "max_tokens", 60) / 3,
                             MIN_SAMPLE_TOKENS_LIMIT);
}

static void
record_submitted_step (LnRecorder *recorder, const LnExchange *exchange, LbTime now)
{
  struct json_object *body = parse_json_body (exchange);
  int trainer = body ? find_or_add_trainer (recorder, ln_exchange_path (exchange)) : -1;
  int64_t step = body ? read_integer_or_default (body, "step", 0) : 0;

  /* A trainer repeats the request for a step after a lost reply; the repetition is not recorded. */
  if (trainer >= 0 && !find_recorded_step (recorder, trainer, step))
    {
      Record *record = add_trace_record (recorder, RECORD_STEP, exchange, now);
      if (record)
        {
          record->trainer = trainer;
          record->step = step;
        }
      if (recorder->n_trainers == 1 && recorder->n_steps[0] == 0)
        record_group_and_sample_counts (recorder, body);
    }
  json_object_put (body);
}

static bool
has_suffix (const char *text, const char *suffix)
{
  size_t length = strlen (text);
  size_t suffix_length = strlen (suffix);

  return length >= suffix_length && strcmp (text + length - suffix_length, suffix) == 0;
}

static bool
has_prefix (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

void
ln_recorder_add_request (LnRecorder *recorder, const LnExchange *exchange, LbTime now)
{
  const char *path = ln_exchange_path (exchange);

  if (strcmp (path, "/v1/completions") == 0 || strcmp (path, "/v1/chat/completions") == 0)
    record_engine_call (recorder, exchange, now);
  else if (has_prefix (path, "/services/"))
    record_service_call (recorder, exchange, now);
  else if (has_prefix (path, "/v1/subscriptions/") && has_suffix (path, "/steps"))
    record_submitted_step (recorder, exchange, now);
}

static Record *
find_record_of_exchange (LnRecorder *recorder, uint64_t exchange_id)
{
  /* Searches from the newest record, since most replies follow soon after their request. */
  for (LbLink *link = recorder->records.head.prev; link != &recorder->records.head;
       link = link->prev)
    {
      Record *record = LB_CONTAINER (link, Record, link);
      if (record->exchange_id == exchange_id)
        return record;
    }
  return NULL;
}

static void
record_accepted_step (LnRecorder *recorder, const LnExchange *exchange)
{
  Record *record = find_record_of_exchange (recorder, ln_exchange_id (exchange));

  if (!record || record->is_accepted)
    return;
  record->is_accepted = true;
  record->replay_step = recorder->n_steps[record->trainer]++;
}

static void
record_completed_step (LnRecorder *recorder,
                       const LnExchange *exchange,
                       struct json_object *reply,
                       LbTime now)
{
  struct json_object *done = NULL;
  int trainer = find_or_add_trainer (recorder, ln_exchange_path (exchange));
  Record *record
      = find_recorded_step (recorder, trainer, read_integer_or_default (reply, "step", -1));

  if (!record || !json_object_object_get_ex (reply, "done", &done)
      || !json_object_get_boolean (done))
    return;
  record->completed_ms = compute_ms_since_recording_start (recorder, now);
}

void
ln_recorder_add_reply (LnRecorder *recorder,
                       const LnExchange *exchange,
                       int status,
                       struct json_object *reply,
                       LbTime now)
{
  const char *path = ln_exchange_path (exchange);

  if (!has_prefix (path, "/v1/subscriptions/"))
    return;
  if (status == 202 && has_suffix (path, "/steps"))
    record_accepted_step (recorder, exchange);
  else if (status == 200 && has_suffix (path, "/pull"))
    record_completed_step (recorder, exchange, reply, now);
}

void
ln_recorder_add_completion (LnRecorder *recorder, const LnExchange *exchange, LbTime now)
{
  Record *record = find_record_of_exchange (recorder, ln_exchange_id (exchange));

  if (record && record->type != RECORD_STEP)
    record->completed_ms = compute_ms_since_recording_start (recorder, now);
}

static void
write_request_event (FILE *out, const Record *record)
{
  const char *name = record->type == RECORD_CALL ? "call" : "service";

  if (record->type == RECORD_STEP)
    {
      if (record->is_accepted)
        fprintf (out,
                 "{ \"at_ms\": %" PRId64 ", \"event\": \"steps\", \"trainer\": \"trainer-%d\", "
                 "\"count\": 1 }\n",
                 record->at_ms, record->trainer + 1);
      return;
    }
  fprintf (out, "{ \"at_ms\": %" PRId64 ", \"event\": \"%s\", \"call\": \"c%" PRIu64 "\"",
           record->at_ms, name, record->exchange_id);
  if (record->type == RECORD_CALL)
    fprintf (out, ", \"tokens\": %" PRId64, record->max_tokens);
  else
    fprintf (out, ", \"repeatable\": %s", record->is_repeatable ? "true" : "false");
  if (record->deadline_ms > 0)
    fprintf (out, ", \"deadline_ms\": %" PRId64, record->deadline_ms);
  fputs (" }\n", out);
}

static void
write_expected_completion (FILE *out, const Record *record)
{
  if (record->completed_ms < 0)
    return;
  if (record->type == RECORD_STEP)
    fprintf (out,
             "{ \"expect\": \"step-done\", \"trainer\": \"trainer-%d\", \"step\": %" PRId64
             ", \"by_ms\": %" PRId64 " }\n",
             record->trainer + 1, record->replay_step, record->completed_ms + COMPLETION_MARGIN_MS);
  else
    fprintf (out, "{ \"expect\": \"whole\", \"call\": \"c%" PRIu64 "\", \"by_ms\": %" PRId64 " }\n",
             record->exchange_id, record->completed_ms + COMPLETION_MARGIN_MS);
}

static void
write_trace (const LnRecorder *recorder, FILE *out)
{
  fprintf (out,
           "{ \"format\": 1, \"site\": \"%s\", \"seed\": %" PRIu64
           ", \"about\": \"recorded by lentilspindled\", \"trainers\": %d, \"groups\": %" PRId64
           ", \"samples\": %" PRId64 ", \"shortest\": %" PRId64 ", \"train_ms\": 0 }\n",
           recorder->site, recorder->seed, recorder->n_trainers, recorder->groups_per_step,
           recorder->samples_per_group, recorder->min_sample_tokens);
  LB_LIST_FOREACH (&recorder->records, Record, link, event)
  {
    write_request_event (out, event);
  }
  LB_LIST_FOREACH (&recorder->records, Record, link, expectation)
  {
    write_expected_completion (out, expectation);
  }
}

static void
write_trace_file (const LnRecorder *recorder)
{
  FILE *out = fopen (recorder->path, "w");
  bool ok = out != NULL;

  if (out)
    {
      write_trace (recorder, out);
      ok = ferror (out) == 0;
      ok = fclose (out) == 0 && ok;
    }
  if (ok)
    lb_log (LB_LOG_INFO, "trace_written", LB_TEXT ("path", recorder->path),
            LB_INT ("events", recorder->records.length),
            LB_BOOL ("cut", recorder->records.length == MAX_RECORDED_EVENTS));
  else
    lb_log (LB_LOG_ERROR, "trace_not_written", LB_TEXT ("path", recorder->path),
            LB_TEXT ("error", lb_error_name (LB_ERROR_IO)), LB_TEXT ("detail", strerror (errno)));
}

void
ln_recorder_free (LnRecorder *recorder)
{
  if (!recorder)
    return;
  write_trace_file (recorder);
  LB_LIST_FOREACH (&recorder->records, Record, link, record)
  {
    free (record);
  }
  free (recorder);
}
