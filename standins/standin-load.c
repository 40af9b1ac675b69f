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
#define RETRY_DELAY (20 * LB_MSEC)

typedef struct
{
  SiCheckedCallSpec spec; /* copied for each call; address, prompt and caller are set in the copy */
  const char *addresses[MAX_ADDRESSES];
  size_t n_addresses;
  const char *name;
  int64_t count;
  int64_t concurrency;
  double calls_per_second; /* maximum rate; 0: limited by the concurrency only */
  int64_t n_callers;       /* number of caller names, used in rotation */
  int64_t max_retries;
  LbTime call_start_period; /* time after the start of the test at which new calls stop */
  bool sends_keys;          /* set: each call has its own idempotency key */
  LbTime entry_period;      /* time between refreshes of the address list; 0: no refresh */
} Settings;

typedef struct
{
  Settings settings;
  struct event_base *base;
  LhPool *pool;
  SiEntryAddresses entry;
  struct event *start_timer;
  SiTally tally;
  int64_t n_started_calls;
  int64_t n_running_calls;
  LbTime start_time;
} LoadTest;

/* One call of the load test; each retry goes to the next address. */
typedef struct
{
  LoadTest *test;
  char *prompt;
  LbName name;
  size_t address_index; /* index of the address for the current attempt */
  int64_t attempts;
} Call;

static void start_due_load_test_calls (LoadTest *test);

static void
finish_checked_call (Call *call, const SiCheckedCallResult *result)
{
  LoadTest *test = call->test;

  si_tally_add_result (&test->tally, result, call->prompt);
  test->n_running_calls--;
  free (call->prompt);
  free (call);
  start_due_load_test_calls (test);
}

static void send_checked_call_attempt (Call *call);

static void
on_call_retry_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  send_checked_call_attempt (user);
}

/* Retries a call only if it certainly did not run. The retry waits for retry_after and goes to the
 * next address. */
static void
on_checked_call_result (const SiCheckedCallResult *result, void *user)
{
  Call *call = user;
  LoadTest *test = call->test;

  if (result->outcome != SI_CALL_NOT_RUN || call->attempts > test->settings.max_retries)
    {
      finish_checked_call (call, result);
      return;
    }
  LbTime wait = result->retry_after > RETRY_DELAY ? result->retry_after : RETRY_DELAY;
  const struct timeval at = lb_time_to_timeval (wait);
  test->tally.retries++;
  call->address_index++;
  event_base_once (test->base, -1, EV_TIMEOUT, on_call_retry_due, call, &at);
}

static void
send_checked_call_attempt (Call *call)
{
  LoadTest *test = call->test;
  SiCheckedCallSpec spec = test->settings.spec;

  spec.address = si_entry_addresses_get (&test->entry, call->address_index);
  spec.prompt = call->prompt;
  spec.caller = call->name;
  if (spec.kind == SI_CHECKED_CALL_SERVICE)
    spec.order = call->prompt;
  if (test->settings.sends_keys)
    spec.idempotency_key = call->prompt;
  call->attempts++;
  si_checked_call_start (test->pool, &spec, on_checked_call_result, call);
}

static void
start_load_test_call (LoadTest *test)
{
  Call *call = LB_NEW (Call);

  call->test = test;
  call->prompt = lb_asprintf ("%s asks for the %lldth time", test->settings.name,
                              (long long)test->n_started_calls);
  snprintf (call->name, sizeof call->name, "%s-%lld", test->settings.name,
            (long long)(test->n_started_calls % test->settings.n_callers));
  call->address_index = (size_t)test->n_started_calls;
  test->n_started_calls++;
  test->n_running_calls++;
  send_checked_call_attempt (call);
}

static bool
may_start_more_calls (const LoadTest *test, LbTime now)
{
  return test->n_started_calls < test->settings.count
         && now - test->start_time < test->settings.call_start_period;
}

/* Returns the earliest time at which the configured rate allows the next call to start. */
static LbTime
get_next_call_start_time (const LoadTest *test)
{
  if (test->settings.calls_per_second <= 0)
    return test->start_time;
  return test->start_time
         + (LbTime)((double)test->n_started_calls / test->settings.calls_per_second
                    * (double)LB_SEC);
}

static void
start_due_load_test_calls (LoadTest *test)
{
  LbTime now = lb_clock_monotonic ();

  while (may_start_more_calls (test, now) && test->n_running_calls < test->settings.concurrency
         && get_next_call_start_time (test) <= now)
    start_load_test_call (test);
  if (!may_start_more_calls (test, now) && test->n_running_calls == 0)
    {
      event_base_loopbreak (test->base);
      return;
    }
  LbTime wait = get_next_call_start_time (test) > now ? get_next_call_start_time (test) - now
                                                      : 10 * LB_MSEC;
  const struct timeval at = lb_time_to_timeval (wait);
  event_add (test->start_timer, &at);
}

static void
on_next_call_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  start_due_load_test_calls (user);
}

static void
print_load_test_summary (LoadTest *test)
{
  struct json_object *summary = si_tally_to_json (&test->tally);
  double seconds = (double)(lb_clock_monotonic () - test->start_time) / (double)LB_SEC;

  json_object_object_add (summary, "seconds", json_object_new_double (seconds));
  json_object_object_add (summary, "rate",
                          json_object_new_double ((double)test->tally.n_calls / seconds));
  puts (json_object_to_json_string_ext (summary, JSON_C_TO_STRING_SPACED));
  json_object_put (summary);
}

static int
run_load_test (const Settings *settings, bool expect_all)
{
  LoadTest test = { .settings = *settings };

  signal (SIGPIPE, SIG_IGN);
  test.base = si_precise_event_base_new ();
  test.pool = lh_pool_new (test.base);
  si_entry_addresses_init (&test.entry, test.base, test.pool, settings->addresses,
                           settings->n_addresses);
  if (settings->entry_period > 0)
    si_entry_addresses_start_refresh (&test.entry, settings->name, settings->entry_period);
  test.start_timer = evtimer_new (test.base, on_next_call_due, &test);
  si_tally_init (&test.tally);
  test.start_time = lb_clock_monotonic ();
  start_due_load_test_calls (&test);
  event_base_dispatch (test.base);
  print_load_test_summary (&test);
  bool all_complete = test.tally.outcomes[SI_CALL_COMPLETE] == test.tally.n_calls;
  bool is_ok
      = si_tally_has_no_wrong_or_truncated_answers (&test.tally) && (all_complete || !expect_all);
  si_tally_clear (&test.tally);
  event_free (test.start_timer);
  si_entry_addresses_clear (&test.entry);
  lh_pool_free (test.pool);
  event_base_free (test.base);
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
set_default_options (Options *options)
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
parse_call_kind (const char *name, SiCheckedCallKind *kind)
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
get_load_settings (const Options *options)
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
    .call_start_period = options->seconds->ival[0] * LB_SEC,
    .sends_keys = options->keys->count > 0,
    .entry_period = options->entry_ms->ival[0] * LB_MSEC,
  };

  for (int i = 0; i < options->address->count; i++)
    settings.addresses[settings.n_addresses++] = options->address->sval[i];
  return settings;
}

static int
parse_settings_and_run_load_test (const Options *options)
{
  Settings settings = get_load_settings (options);

  if (parse_call_kind (options->kind->sval[0], &settings.spec.kind))
    return run_load_test (&settings, options->expect_all->count > 0);
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
    .model = arg_str0 (NULL, "model", "NAME", "pool of the model, or request path of a service"),
    .name = arg_str0 (NULL, "name", "NAME", "name of the caller and part of each prompt"),
    .count = arg_int0 (NULL, "count", "N", "total number of calls"),
    .concurrency = arg_int0 (NULL, "concurrency", "N", "maximum number of concurrent calls"),
    .rate = arg_dbl0 (NULL, "rate", "N", "maximum number of calls per second; 0: unlimited"),
    .seconds = arg_int0 (NULL, "seconds", "N", "start no call after this number of seconds"),
    .max_tokens = arg_int0 (NULL, "max-tokens", "N", "maximum number of tokens per answer"),
    .callers = arg_int0 (NULL, "callers", "N", "number of caller names, used in rotation"),
    .retries
    = arg_int0 (NULL, "retries", "N", "maximum number of retries of a call that did not run"),
    .deadline_ms
    = arg_str0 (NULL, "deadline-ms", "N", "value of header x-deadline-ms in each call"),
    .silence_s = arg_int0 (NULL, "silence-s", "N", "idle timeout of a call in seconds"),
    .entry_ms = arg_int0 (NULL, "entry-ms", "N",
                          "milliseconds between refreshes of the address list; 0: never"),
    .keys = arg_lit0 (NULL, "keys", "send an idempotency key with each call"),
    .stream = arg_lit0 (NULL, "stream", "request streamed answers"),
    .vary = arg_lit0 (NULL, "vary-length", "set if the engines run with --vary-length"),
    .expect_all
    = arg_lit0 (NULL, "expect-all", "exit with status 1 unless every answer is complete"),
    .help = arg_lit0 (NULL, "help", "show this help"),
    .end = arg_end (4),
  };
  void **table = (void **)&options;
  int exit_code;

  set_default_options (&options);
  if (si_arguments_parse (argc, argv, table, sizeof options / sizeof (void *), "standin-load",
                          &exit_code))
    exit_code = parse_settings_and_run_load_test (&options);
  arg_freetable (table, sizeof options / sizeof (void *));
  return exit_code;
}
