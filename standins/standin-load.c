#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-time.h"
#include "si-arguments.h"
#include "si-entry.h"
#include "si-server.h"
#include "si-tally.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ADDRESSES 16
#define RETRY_PAUSE (20 * LB_MSEC)

typedef struct
{
  SiCheckedCallSpec spec; /* of all calls; address, prompt and caller differ */
  const char *addresses[MAX_ADDRESSES];
  size_t n_addresses;
  const char *name;
  int64_t count;
  int64_t concurrency;
  double calls_per_second; /* 0: limited by the concurrency only */
  int64_t n_callers;       /* caller names, used in turn */
  int64_t max_retries;
  LbTime start_limit;  /* no call starts after this time */
  bool sends_keys;     /* each call has its own idempotency key */
  LbTime entry_period; /* between refreshes of the entry addresses; 0: none */
} Settings;

typedef struct
{
  Settings settings;
  struct event_base *base;
  LhPool *pool;
  SiEntry entry;
  struct event *start_timer;
  SiTally tally;
  int64_t started;
  int64_t running;
  LbTime start_time;
} Load;

/* One call with its retries at further addresses. */
typedef struct
{
  Load *load;
  char *prompt;
  LbName name;
  size_t address; /* index */
  int64_t attempts;
} Call;

static void start_due_calls (Load *load);

static void
finish_call (Call *call, const SiCheckedCallResult *result)
{
  Load *load = call->load;

  si_tally_add (&load->tally, result, call->prompt);
  load->running--;
  free (call->prompt);
  free (call);
  start_due_calls (load);
}

static void send_call (Call *call);

static void
on_retry_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  send_call (user);
}

/* Retries a call at the next address, after retry_after, only if it provably did not run. */
static void
on_result (const SiCheckedCallResult *result, void *user)
{
  Call *call = user;
  Load *load = call->load;

  if (result->outcome != SI_CALL_NOT_RUN || call->attempts > load->settings.max_retries)
    {
      finish_call (call, result);
      return;
    }
  LbTime wait = result->retry_after > RETRY_PAUSE ? result->retry_after : RETRY_PAUSE;
  const struct timeval at = lb_time_to_timeval (wait);
  load->tally.retries++;
  call->address++;
  event_base_once (load->base, -1, EV_TIMEOUT, on_retry_due, call, &at);
}

static void
send_call (Call *call)
{
  Load *load = call->load;
  SiCheckedCallSpec spec = load->settings.spec;

  spec.address = si_entry_address (&load->entry, call->address);
  spec.prompt = call->prompt;
  spec.caller = call->name;
  if (spec.kind == SI_CHECKED_CALL_SERVICE)
    spec.order = call->prompt;
  if (load->settings.sends_keys)
    spec.idempotency_key = call->prompt;
  call->attempts++;
  si_checked_call_start (load->pool, &spec, on_result, call);
}

static void
start_call (Load *load)
{
  Call *call = LB_NEW (Call);

  call->load = load;
  call->prompt
      = lb_asprintf ("%s asks for the %lldth time", load->settings.name, (long long)load->started);
  snprintf (call->name, sizeof call->name, "%s-%lld", load->settings.name,
            (long long)(load->started % load->settings.n_callers));
  call->address = (size_t)load->started;
  load->started++;
  load->running++;
  send_call (call);
}

static bool
can_start_call (const Load *load, LbTime now)
{
  return load->started < load->settings.count
         && now - load->start_time < load->settings.start_limit;
}

/* Earliest time at which the configured rate allows the next call. */
static LbTime
get_next_start_time (const Load *load)
{
  if (load->settings.calls_per_second <= 0)
    return load->start_time;
  return load->start_time
         + (LbTime)((double)load->started / load->settings.calls_per_second * (double)LB_SEC);
}

static void
start_due_calls (Load *load)
{
  LbTime now = lb_clock_monotonic ();

  while (can_start_call (load, now) && load->running < load->settings.concurrency
         && get_next_start_time (load) <= now)
    start_call (load);
  if (!can_start_call (load, now) && load->running == 0)
    {
      event_base_loopbreak (load->base);
      return;
    }
  LbTime wait = get_next_start_time (load) > now ? get_next_start_time (load) - now : 10 * LB_MSEC;
  const struct timeval at = lb_time_to_timeval (wait);
  event_add (load->start_timer, &at);
}

static void
on_start_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  start_due_calls (user);
}

static void
print_summary (Load *load)
{
  struct json_object *summary = si_tally_to_json (&load->tally);
  double seconds = (double)(lb_clock_monotonic () - load->start_time) / (double)LB_SEC;

  json_object_object_add (summary, "seconds", json_object_new_double (seconds));
  json_object_object_add (summary, "rate",
                          json_object_new_double ((double)load->tally.n_calls / seconds));
  puts (json_object_to_json_string_ext (summary, JSON_C_TO_STRING_SPACED));
  json_object_put (summary);
}

static int
run_load (const Settings *settings, bool expect_all)
{
  Load load = { .settings = *settings };

  signal (SIGPIPE, SIG_IGN);
  load.base = si_precise_event_base_new ();
  load.pool = lh_pool_new (load.base);
  si_entry_init (&load.entry, load.base, load.pool, settings->addresses, settings->n_addresses);
  if (settings->entry_period > 0)
    si_entry_start_refresh (&load.entry, settings->name, settings->entry_period);
  load.start_timer = evtimer_new (load.base, on_start_timer, &load);
  si_tally_init (&load.tally);
  load.start_time = lb_clock_monotonic ();
  start_due_calls (&load);
  event_base_dispatch (load.base);
  print_summary (&load);
  bool all_complete = load.tally.outcomes[SI_CALL_COMPLETE] == load.tally.n_calls;
  bool is_ok = si_tally_has_no_wrong_answers (&load.tally) && (all_complete || !expect_all);
  si_tally_clear (&load.tally);
  event_free (load.start_timer);
  si_entry_clear (&load.entry);
  lh_pool_free (load.pool);
  event_base_free (load.base);
  return is_ok ? 0 : 1;
}

typedef struct
{
  struct arg_str *address;
  struct arg_str *kind;
  struct arg_str *model;
  struct arg_str *name;
  struct arg_int *count;
  struct arg_int *concurrency;
  struct arg_dbl *rate;
  struct arg_int *seconds;
  struct arg_int *max_tokens;
  struct arg_int *callers;
  struct arg_int *retries;
  struct arg_str *deadline_ms;
  struct arg_int *silence_s;
  struct arg_int *entry_ms;
  struct arg_lit *keys;
  struct arg_lit *stream;
  struct arg_lit *vary;
  struct arg_lit *expect_all;
  struct arg_lit *help;
  struct arg_end *end;
} Options;

static void
set_defaults (Options *options)
{
  options->kind->sval[0] = "completion";
  options->model->sval[0] = "reader";
  options->name->sval[0] = "clerk";
  options->count->ival[0] = 100;
  options->concurrency->ival[0] = 10;
  options->rate->dval[0] = 0;
  options->seconds->ival[0] = 60;
  options->max_tokens->ival[0] = 16;
  options->callers->ival[0] = 1;
  options->retries->ival[0] = 0;
  options->silence_s->ival[0] = 20;
  options->entry_ms->ival[0] = 0;
}

static bool
parse_kind (const char *name, SiCheckedCallKind *kind)
{
  static const char *const names[] = { "completion", "chat", "service" };

  for (int i = 0; i < 3; i++)
    if (strcmp (names[i], name) == 0)
      {
        *kind = (SiCheckedCallKind)i;
        return true;
      }
  return false;
}

static Settings
get_settings (const Options *options)
{
  Settings settings = {
    .spec = { .model = options->model->sval[0],
              .max_tokens = options->max_tokens->ival[0],
              .stream = options->stream->count > 0,
              .vary_length = options->vary->count > 0,
              .deadline_ms = options->deadline_ms->count > 0 ? options->deadline_ms->sval[0] : NULL,
              .idle_timeout = options->silence_s->ival[0] * LB_SEC },
    .name = options->name->sval[0],
    .count = options->count->ival[0],
    .concurrency = options->concurrency->ival[0],
    .calls_per_second = options->rate->dval[0],
    .n_callers = options->callers->ival[0] > 0 ? options->callers->ival[0] : 1,
    .max_retries = options->retries->ival[0],
    .start_limit = options->seconds->ival[0] * LB_SEC,
    .sends_keys = options->keys->count > 0,
    .entry_period = options->entry_ms->ival[0] * LB_MSEC,
  };

  for (int i = 0; i < options->address->count; i++)
    settings.addresses[settings.n_addresses++] = options->address->sval[i];
  return settings;
}

static int
run_with_options (const Options *options)
{
  Settings settings = get_settings (options);

  if (parse_kind (options->kind->sval[0], &settings.spec.kind))
    return run_load (&settings, options->expect_all->count > 0);
  fprintf (stderr, "standin-load: --kind: expected completion, chat or service\n");
  return 2;
}

int
main (int argc, char **argv)
{
  Options options = {
    .address
    = arg_strn (NULL, "address", "IP:PORT", 1, MAX_ADDRESSES, "address to call; may be repeated"),
    .kind = arg_str0 (NULL, "kind", "KIND", "completion, chat or service"),
    .model = arg_str0 (NULL, "model", "NAME", "pool, or path of a service"),
    .name = arg_str0 (NULL, "name", "NAME", "name of the caller and part of each prompt"),
    .count = arg_int0 (NULL, "count", "N", "total number of calls"),
    .concurrency = arg_int0 (NULL, "concurrency", "N", "most concurrent calls"),
    .rate = arg_dbl0 (NULL, "rate", "N", "calls per second; 0: no limit"),
    .seconds = arg_int0 (NULL, "seconds", "N", "start no call after this time"),
    .max_tokens = arg_int0 (NULL, "max-tokens", "N", "most tokens of an answer"),
    .callers = arg_int0 (NULL, "callers", "N", "number of caller names, used in turn"),
    .retries = arg_int0 (NULL, "retries", "N", "most retries of a call that did not run"),
    .deadline_ms = arg_str0 (NULL, "deadline-ms", "N", "header x-deadline-ms of each call"),
    .silence_s = arg_int0 (NULL, "silence-s", "N", "idle timeout of a call"),
    .entry_ms = arg_int0 (NULL, "entry-ms", "N", "refresh entry addresses this often; 0: never"),
    .keys = arg_lit0 (NULL, "keys", "send an idempotency key with each call"),
    .stream = arg_lit0 (NULL, "stream", "request streams"),
    .vary = arg_lit0 (NULL, "vary-length", "engines run with --vary-length"),
    .expect_all = arg_lit0 (NULL, "expect-all", "fail unless every answer is complete"),
    .help = arg_lit0 (NULL, "help", "show this help"),
    .end = arg_end (4),
  };
  void **table = (void **)&options;
  int exit_code;

  set_defaults (&options);
  if (si_arguments_parse (argc, argv, table, sizeof options / sizeof (void *), "standin-load",
                          &exit_code))
    exit_code = run_with_options (&options);
  arg_freetable (table, sizeof options / sizeof (void *));
  return exit_code;
}
