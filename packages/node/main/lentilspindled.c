#include "ln-stall.h"
#include "ln-ticker.h"
#include "ln-context.h"
#include "ln-dialect.h"
#include "ln-messages.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lb-switch.h"
#include "lh-fetch.h"
#include "lp-platform.h"
#include "pf-dialect.h"
#include "pf-store.h"

#include <argtable2.h>
#include <event2/event.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define EXIT_USAGE 2
#define N_HANDLED_SIGNALS 3

typedef struct
{
  const char *config;
  bool check_only;
  int exit_code; /* exit code of the process; -1: do not exit */
} Options;

typedef struct
{
  LnContext context;
  LnSettings settings;
  struct event *signals[N_HANDLED_SIGNALS];
  const char *config;        /* path of the settings file; NULL: none */
  struct event *drain_timer; /* checks during a drain whether the process can exit */
  LnPeriodicCall log_flush;
  LnStallDetector *stall_detector;
  LbTime min_drain_end; /* earliest time to exit after a drain started */
  bool is_draining;
  bool has_stopped_accepting; /* the drain time is over: no more requests are accepted */
} Daemon;

static void
print_command_line_help (void **table)
{
  puts ("Usage: lentilspindled [OPTIONS]\n\n"
        "One instance of lentilspindle, the rollout service. Runs until SIGTERM or SIGINT, then\n"
        "completes the requests in progress.\n");
  arg_print_glossary (stdout, table, "  %-24s %s\n");
}

static Options
parse_command_line (int argc, char **argv)
{
  struct arg_file *config
      = arg_file0 ("c", "config", "FILE", "settings, JSON with comments (docs/SETTINGS.md)");
  struct arg_lit *check = arg_lit0 (NULL, "check", "validate the settings file and exit");
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help and exit");
  struct arg_lit *version = arg_lit0 ("V", "version", "show the version and exit");
  struct arg_end *end = arg_end (4);
  void *table[] = { config, check, help, version, end };
  Options options = { .exit_code = -1 };
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      print_command_line_help (table);
      options.exit_code = 0;
    }
  else if (version->count > 0)
    {
      puts ("lentilspindled " LS_VERSION);
      options.exit_code = 0;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, end, "lentilspindled");
      options.exit_code = EXIT_USAGE;
    }
  else
    {
      /* The strings point into argv, so they stay valid after the table is freed. */
      options.config = config->count > 0 ? config->filename[0] : NULL;
      options.check_only = check->count > 0;
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return options;
}

static bool
read_settings (LnSettings *settings, const Options *options)
{
  LbError error = { 0 };

  ln_settings_init (settings);
  if (!options->config || ln_settings_read (settings, options->config, &error))
    return true;
  fprintf (stderr, "lentilspindled: %s: %s (%s)\n", error.where, error.detail,
           lb_error_name (error.code));
  return false;
}

static void
set_instance_name_and_incarnation (Daemon *daemon)
{
  LnContext *context = &daemon->context;
  const char *name = daemon->settings.instance.name;

  if (name[0])
    LB_COPY (context->instance, name);
  else
    LB_COPY (context->instance, context->caller_address);
  snprintf (context->incarnation, sizeof context->incarnation, "%llx-%x",
            (unsigned long long)lb_clock_wall_ms (), (unsigned)getpid ());
}

/* Derives the seed of random numbers from the instance's name and incarnation if the settings have
 * no seed. With equal seeds, instances would choose the same endpoints at the same time. */
static void
set_random_seed (Daemon *daemon)
{
  const LnContext *context = &daemon->context;
  char text[sizeof context->instance + sizeof context->incarnation];

  if (daemon->settings.seed != 0)
    return;
  snprintf (text, sizeof text, "%s %s", context->instance, context->incarnation);
  daemon->settings.seed = XXH3_64bits (text, strlen (text));
}

/* Writes a temporary file and renames it, so that readers never see an incomplete address file. */
static bool
write_address_file (const Daemon *daemon, LbError *error)
{
  const char *path = daemon->settings.address_file;
  char *temporary_path = lb_asprintf ("%s.new", path);
  FILE *out = fopen (temporary_path, "w");
  bool ok = out
            && fprintf (out,
                        "{\"caller_address\": \"%s\", \"peer_address\": \"%s\","
                        " \"metrics_address\": \"%s\"}\n",
                        daemon->context.caller_address, daemon->context.peer_address,
                        daemon->context.metrics_address)
                   > 0;

  if (out && fclose (out) != 0)
    ok = false;
  ok = ok && rename (temporary_path, path) == 0;
  free (temporary_path);
  return ok || lb_error_set (error, LB_ERROR_IO, path, "cannot write the address file");
}

/* After the drain time, exits as soon as no request is in progress. Callers may keep this
 * instance's address and call it without a pause, so new requests are refused from then on;
 * otherwise such a moment might never come. */
static void
exit_when_idle (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Daemon *daemon = user;

  if (lb_clock_monotonic () < daemon->min_drain_end)
    return;
  if (!daemon->has_stopped_accepting)
    {
      daemon->has_stopped_accepting = true;
      lb_log (LB_LOG_INFO, "accepting_stopped");
      ln_hub_stop_accepting (daemon->context.hub);
    }
  if (ln_hub_is_idle (daemon->context.hub))
    event_base_loopbreak (daemon->context.base);
}

/* Time before the end of the grace by which all replies are given: the last ones must reach their
 * callers, and the process must exit. */
#define STOP_MARGIN (500 * LB_MSEC)
/* Time between the end of the drain time and the end of the grace, for the requests that came last.
 */
#define TIME_AFTER_DRAIN (2500 * LB_MSEC)

/* Sets when the instance stops serving and when its last reply is due. A drain time that is longer
 * than the grace would have requests accepted until the process is killed. */
static void
set_drain_times (Daemon *daemon, LbTime now)
{
  LbTime grace = (LbTime)(daemon->settings.drain.grace_s * LB_SEC);
  LbTime drain = daemon->settings.drain.drain_ms * LB_MSEC;
  LbTime max_drain = grace > 2 * TIME_AFTER_DRAIN ? grace - TIME_AFTER_DRAIN : grace / 2;

  if (grace > 0)
    {
      drain = drain < max_drain ? drain : max_drain;
      daemon->context.stop_at = now + grace - (STOP_MARGIN < grace / 4 ? STOP_MARGIN : grace / 4);
    }
  daemon->min_drain_end = now + drain;
}

/* The first SIGTERM or SIGINT starts the drain. Later signals are ignored, since they must not
 * interrupt requests in progress. For drain_ms the instance still serves callers that use cached
 * addresses. */
static void
start_drain_on_signal (evutil_socket_t number, short what, void *user)
{
  (void)what;
  Daemon *daemon = user;
  const struct timeval period = { .tv_usec = 20000 };
  LnDrainingMessage message = { .base = LN_MESSAGE (LN_DRAINING) };

  lb_log (LB_LOG_INFO, "signal", LB_INT ("number", number),
          LB_BOOL ("already_draining", daemon->is_draining));
  if (daemon->is_draining)
    return;
  daemon->is_draining = true;
  set_drain_times (daemon, lb_clock_monotonic ());
  ln_hub_drain_tasks (daemon->context.hub);
  LN_POST (daemon->context.hub, NULL, message);
  event_add (daemon->drain_timer, &period);
}

/* Rereads the settings file and applies the log level and the drain settings. Addresses and
 * platform do not change at run time, so that no connection is closed. An invalid file changes
 * nothing. */
static void
reload_settings_on_sighup (evutil_socket_t number, short what, void *user)
{
  (void)number;
  (void)what;
  Daemon *daemon = user;
  LnSettings reloaded;
  LbError error = { 0 };

  ln_settings_init (&reloaded);
  if (daemon->config && !ln_settings_read (&reloaded, daemon->config, &error))
    {
      lb_log_error (LB_LOG_ERROR, "settings_not_reloaded", &error);
      ln_settings_clear (&reloaded);
      return;
    }
  daemon->settings.log.level = reloaded.log.level;
  daemon->settings.drain = reloaded.drain;
  lb_log_init ((LbLogLevel)reloaded.log.level, STDOUT_FILENO, daemon->context.instance);
  lb_log (LB_LOG_INFO, "settings_reloaded", LB_INT ("log_level", reloaded.log.level),
          LB_INT ("drain_ms", reloaded.drain.drain_ms));
  ln_settings_clear (&reloaded);
}

/* Maximum time that log lines are buffered. One write per line would cost more than formatting the
 * line. */
#define LOG_FLUSH_PERIOD (50 * LB_MSEC)

static void
flush_log (void *user)
{
  (void)user;
  lb_log_flush ();
}

static LpPlatform *
create_platform_client (const LnSettings *settings, struct event_base *base)
{
  LpHttpSettings http
      = { .deadline = settings->platform.deadline_ms * LB_MSEC, .rate = settings->platform.rate };

  /* Each process has its own seed for the jitter of its retries. With equal back-off after a
   * failure of the store, all instances would retry at the same time. */
  http.seed = settings->seed ^ (uint64_t)lb_clock_monotonic () ^ (uint64_t)getpid () << 32;

  if (settings->platform.kind == LN_PLATFORM_MEMORY)
    return lp_memory_new (base);
  LB_COPY (http.address, settings->platform.address);
  if (settings->platform.kind == LN_PLATFORM_SHARED)
    return pf_store_new (base, &http);
  return lp_http_new (base, &http);
}

static bool
create_and_add_tasks (Daemon *daemon)
{
  LnContext *context = &daemon->context;
  LnTask *(*const standalone[]) (LnContext *)
      = { ln_front_task_new,    ln_peers_task_new,  ln_calls_task_new,
          ln_rollouts_task_new, ln_config_task_new, NULL };
  LnTask *(*const shared_platform[]) (LnContext *) = { ln_front_task_new,
                                                       ln_fleet_task_new,
                                                       ln_calls_task_new,
                                                       ln_batches_task_new,
                                                       ln_desired_task_new,
                                                       ln_duties_task_new,
                                                       NULL };
  LnTask *(*const *constructors) (LnContext *) = context->dialect ? shared_platform : standalone;

  for (size_t i = 0; constructors[i]; i++)
    {
      LnTask *task = constructors[i](context);
      if (!task)
        return false;
      ln_hub_add_task (context->hub, task);
      /* The front task, the first, binds the caller address, which is the default instance name.
       * The other tasks read the instance name in their constructors. */
      if (i == 0)
        {
          set_instance_name_and_incarnation (daemon);
          set_random_seed (daemon);
        }
    }
  return true;
}

static void
daemon_init (Daemon *daemon)
{
  LnContext *context = &daemon->context;

  context->settings = &daemon->settings;
  for (size_t i = 0; i < daemon->settings.measure.n_off; i++)
    lb_switch_disable_optimisation (daemon->settings.measure.off[i]);
  context->base = event_base_new ();
  context->hub = ln_hub_new (context->base);
  context->http_pool = lh_pool_new (context->base);
  if (daemon->settings.platform.kind == LN_PLATFORM_SHARED)
    context->dialect = pf_get_dialect ();
  context->platform = create_platform_client (&daemon->settings, context->base);
  daemon->signals[0] = evsignal_new (context->base, SIGTERM, start_drain_on_signal, daemon);
  daemon->signals[1] = evsignal_new (context->base, SIGINT, start_drain_on_signal, daemon);
  daemon->signals[2] = evsignal_new (context->base, SIGHUP, reload_settings_on_sighup, daemon);
  daemon->log_flush = (LnPeriodicCall){ .period = LOG_FLUSH_PERIOD, .callback = flush_log };
  ln_ticker_add (ln_context_get_ticker (context), &daemon->log_flush);
  daemon->stall_detector = ln_stall_detector_new (context->base, LN_STALL_CPU_LIMIT);
  daemon->drain_timer = event_new (context->base, -1, EV_PERSIST, exit_when_idle, daemon);
  for (int i = 0; i < N_HANDLED_SIGNALS; i++)
    event_add (daemon->signals[i], NULL);
}

static void
daemon_clear (Daemon *daemon)
{
  LnContext *context = &daemon->context;

  ln_hub_free (context->hub);
  context->platform->klass->free (context->platform);
  lh_pool_free (context->http_pool);
  ln_context_clear (context);
  for (int i = 0; i < N_HANDLED_SIGNALS; i++)
    event_free (daemon->signals[i]);
  event_free (daemon->drain_timer);
  ln_stall_detector_free (daemon->stall_detector);
  /* Deferred callbacks of libevent still refer to the connections freed above. Freeing the event
   * base before they run would leak the connections, so one loop iteration runs the callbacks. */
  event_base_loop (context->base, EVLOOP_NONBLOCK);
  event_base_free (context->base);
}

static int
run_daemon (Daemon *daemon)
{
  LbError error = { 0 };
  int exit_code = EXIT_FAILURE;

  signal (SIGPIPE, SIG_IGN);
  lb_log_enable_buffering ();
  lb_log_init ((LbLogLevel)daemon->settings.log.level, STDOUT_FILENO,
               daemon->settings.instance.name);
  daemon_init (daemon);
  if (!create_and_add_tasks (daemon))
    goto out;
  lb_log_init ((LbLogLevel)daemon->settings.log.level, STDOUT_FILENO, daemon->context.instance);
  if (daemon->settings.address_file[0] && !write_address_file (daemon, &error))
    {
      lb_log_error (LB_LOG_ERROR, "start_failed", &error);
      goto out;
    }
  lb_log (LB_LOG_INFO, "started", LB_TEXT ("caller_address", daemon->context.caller_address),
          LB_TEXT ("peer_address", daemon->context.peer_address),
          LB_TEXT ("incarnation", daemon->context.incarnation), LB_TEXT ("version", LS_VERSION));
  event_base_dispatch (daemon->context.base);
  lb_log (LB_LOG_INFO, "stopped", LB_BOOL ("drained", daemon->is_draining));
  exit_code = EXIT_SUCCESS;
out:
  daemon_clear (daemon);
  lb_log_flush ();
  return exit_code;
}

int
main (int argc, char **argv)
{
  Daemon daemon = { 0 };
  Options options = parse_command_line (argc, argv);
  int exit_code = EXIT_USAGE;

  if (options.exit_code >= 0)
    return options.exit_code;
  if (!read_settings (&daemon.settings, &options))
    goto out;
  daemon.config = options.config;
  exit_code = options.check_only ? EXIT_SUCCESS : run_daemon (&daemon);
out:
  ln_settings_clear (&daemon.settings);
  return exit_code;
}
