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
  SiCheckedCallSpec spec; /* what all calls share */
  const char *addresses[MAX_ADDRESSES];
  size_t n_addresses;
  const char *name;
  int64_t count;
  int64_t concurrency;
  double rate;     /* calls a second; 0: as fast as the concurrency lets */
  int64_t callers; /* names in turn */
  int64_t retries;
  LbTime limit;        /* no call is started after it */
  bool keys;           /* each call with an idempotency key of its own */
  LbTime entry_period; /* how long entry addresses are kept; 0: never asked for */
} Settings;

typedef struct
{
  Settings settings;
  struct event_base *base;
  LhPool *pool;
  SiEntry entry;
  struct event *starter;
  SiTally tally;
  int64_t started;
  int64_t running;
  LbTime begin;
} Load;

/* One call, over the addresses at which it was tried. */
typedef struct
{
  Load *load;
  char *prompt;
  LbName name;
  size_t address;
  int64_t tries;
} Caller;

static void start_due (Load *load);

static void
caller_end (Caller *caller, const SiCheckedCallResult *result)
{
  Load *load = caller->load;

  si_tally_add (&load->tally, result, caller->prompt);
  load->running--;
  free (caller->prompt);
  free (caller);
  start_due (load);
}

static void try_call (Caller *caller);

static void
on_retry_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  try_call (user);
}

/* Only a call that surely did not run is made again, at the next address, no sooner than told. */
static void
on_result (const SiCheckedCallResult *result, void *user)
{
  Caller *caller = user;
  Load *load = caller->load;

  if (result->outcome != SI_CALL_NOT_RUN || caller->tries > load->settings.retries)
    {
      caller_end (caller, result);
      return;
    }
  LbTime wait = result->retry_after > RETRY_PAUSE ? result->retry_after : RETRY_PAUSE;
  const struct timeval at = lb_time_to_timeval (wait);
  load->tally.retries++;
  caller->address++;
  event_base_once (load->base, -1, EV_TIMEOUT, on_retry_due, caller, &at);
}

static void
try_call (Caller *caller)
{
  Load *load = caller->load;
  SiCheckedCallSpec spec = load->settings.spec;

  spec.address = si_entry_address (&load->entry, caller->address);
  spec.prompt = caller->prompt;
  spec.caller = caller->name;
  if (spec.kind == SI_CHECKED_CALL_SERVICE)
    spec.order = caller->prompt;
  if (load->settings.keys)
    spec.idempotency_key = caller->prompt;
  caller->tries++;
  si_checked_call_start (load->pool, &spec, on_result, caller);
}

static void
start_one (Load *load)
{
  Caller *caller = LB_NEW (Caller);

  caller->load = load;
  caller->prompt
      = lb_asprintf ("%s asks for the %lldth time", load->settings.name, (long long)load->started);
  snprintf (caller->name, sizeof caller->name, "%s-%lld", load->settings.name,
            (long long)(load->started % load->settings.callers));
  caller->address = (size_t)load->started;
  load->started++;
  load->running++;
  try_call (caller);
}

static bool
may_start (const Load *load, LbTime now)
{
  return load->started < load->settings.count && now - load->begin < load->settings.limit;
}

/* When the next call is due by the rate. */
static LbTime
next_due (const Load *load)
{
  if (load->settings.rate <= 0)
    return load->begin;
  return load->begin + (LbTime)((double)load->started / load->settings.rate * (double)LB_SEC);
}

static void
start_due (Load *load)
{
  LbTime now = lb_clock_monotonic ();

  while (may_start (load, now) && load->running < load->settings.concurrency
         && next_due (load) <= now)
    start_one (load);
  if (!may_start (load, now) && load->running == 0)
    {
      event_base_loopbreak (load->base);
      return;
    }
  LbTime wait = next_due (load) > now ? next_due (load) - now : 10 * LB_MSEC;
  const struct timeval at = lb_time_to_timeval (wait);
  event_add (load->starter, &at);
}

static void
on_starter (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  start_due (user);
}

static void
print_summary (Load *load)
{
  struct json_object *summary = si_tally_to_json (&load->tally);
  double seconds = (double)(lb_clock_monotonic () - load->begin) / (double)LB_SEC;

  json_object_object_add (summary, "seconds", json_object_new_double (seconds));
  json_object_object_add (summary, "rate",
                          json_object_new_double ((double)load->tally.n_calls / seconds));
  puts (json_object_to_json_string_ext (summary, JSON_C_TO_STRING_SPACED));
  json_object_put (summary);
}

static int
run (const Settings *settings, bool expect_all)
{
  Load load = { .settings = *settings };

  signal (SIGPIPE, SIG_IGN);
  load.base = si_precise_base_new ();
  load.pool = lh_pool_new (load.base);
  si_entry_init (&load.entry, load.base, load.pool, settings->addresses, settings->n_addresses);
  if (settings->entry_period > 0)
    si_entry_start_refresh (&load.entry, settings->name, settings->entry_period);
  load.starter = evtimer_new (load.base, on_starter, &load);
  si_tally_init (&load.tally);
  load.begin = lb_clock_monotonic ();
  start_due (&load);
  event_base_dispatch (load.base);
  print_summary (&load);
  bool all = load.tally.outcomes[SI_CALL_COMPLETE] == load.tally.n_calls;
  bool right = si_tally_has_no_wrong_answers (&load.tally) && (all || !expect_all);
  si_tally_clear (&load.tally);
  event_free (load.starter);
  si_entry_clear (&load.entry);
  lh_pool_free (load.pool);
  event_base_free (load.base);
  return right ? 0 : 1;
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
read_kind (const char *name, SiCheckedCallKind *kind)
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
settings_from (const Options *options)
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
    .rate = options->rate->dval[0],
    .callers = options->callers->ival[0] > 0 ? options->callers->ival[0] : 1,
    .retries = options->retries->ival[0],
    .limit = options->seconds->ival[0] * LB_SEC,
    .keys = options->keys->count > 0,
    .entry_period = options->entry_ms->ival[0] * LB_MSEC,
  };

  for (int i = 0; i < options->address->count; i++)
    settings.addresses[settings.n_addresses++] = options->address->sval[i];
  return settings;
}

static int
run_options (const Options *options)
{
  Settings settings = settings_from (options);

  if (read_kind (options->kind->sval[0], &settings.spec.kind))
    return run (&settings, options->expect_all->count > 0);
  fprintf (stderr, "standin-load: --kind: expected completion, chat or service\n");
  return 2;
}

int
main (int argc, char **argv)
{
  Options options = {
    .address = arg_strn (NULL, "address", "IP:PORT", 1, MAX_ADDRESSES, "where to call"),
    .kind = arg_str0 (NULL, "kind", "KIND", "completion, chat or service"),
    .model = arg_str0 (NULL, "model", "NAME", "pool, or the path of a service"),
    .name = arg_str0 (NULL, "name", "NAME", "name of the caller, part of each prompt"),
    .count = arg_int0 (NULL, "count", "N", "calls in all"),
    .concurrency = arg_int0 (NULL, "concurrency", "N", "calls at once at most"),
    .rate = arg_dbl0 (NULL, "rate", "N", "calls a second; 0: as fast as can be"),
    .seconds = arg_int0 (NULL, "seconds", "N", "start no call after so long"),
    .max_tokens = arg_int0 (NULL, "max-tokens", "N", "of an answer"),
    .callers = arg_int0 (NULL, "callers", "N", "names of callers in turn"),
    .retries = arg_int0 (NULL, "retries", "N", "tries more of a call that surely did not run"),
    .deadline_ms = arg_str0 (NULL, "deadline-ms", "N", "x-deadline-ms of each call"),
    .silence_s = arg_int0 (NULL, "silence-s", "N", "longest silence of an answer"),
    .entry_ms = arg_int0 (NULL, "entry-ms", "N", "ask for entry addresses so often; 0: never"),
    .keys = arg_lit0 (NULL, "keys", "an idempotency key for each call"),
    .stream = arg_lit0 (NULL, "stream", "ask for streams"),
    .vary = arg_lit0 (NULL, "vary-length", "engines run with --vary-length"),
    .expect_all = arg_lit0 (NULL, "expect-all", "fail unless every answer is whole"),
    .help = arg_lit0 (NULL, "help", "show this"),
    .end = arg_end (4),
  };
  void **table = (void **)&options;
  int status;

  set_defaults (&options);
  if (si_arguments_parse (argc, argv, table, sizeof options / sizeof (void *), "standin-load",
                          &status))
    status = run_options (&options);
  arg_freetable (table, sizeof options / sizeof (void *));
  return status;
}
