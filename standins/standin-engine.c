#include "si-arguments.h"
#include "si-engine.h"

#include <argtable2.h>
#include <stdio.h>

typedef struct
{
  struct arg_int *port;
  struct arg_str *name;
  struct arg_int *version;
  struct arg_dbl *tokens_per_second;
  struct arg_dbl *batch_cost;
  struct arg_dbl *prefill_rate;
  struct arg_int *concurrency;
  struct arg_int *max_waiting;
  struct arg_int *cache_blocks;
  struct arg_int *load_ms;
  struct arg_lit *no_fence;
  struct arg_lit *vary_length;
  struct arg_int *seed;
  struct arg_lit *help;
  struct arg_end *end;
} Options;

static void
set_default_options (Options *options)
{
  options->port->ival[0] = 0;
  options->name->sval[0] = "engine";
  options->version->ival[0] = 1;
  options->tokens_per_second->dval[0] = 200;
  options->batch_cost->dval[0] = 0.03;
  options->prefill_rate->dval[0] = 100000;
  options->concurrency->ival[0] = 32;
  options->max_waiting->ival[0] = 64;
  options->cache_blocks->ival[0] = 1024;
  options->load_ms->ival[0] = 200;
  options->seed->ival[0] = 0;
}

static SiEngineSettings
get_engine_settings (const Options *options)
{
  return (SiEngineSettings){
    .name = options->name->sval[0],
    .version = options->version->ival[0],
    .tokens_per_second = options->tokens_per_second->dval[0],
    .batch_cost = options->batch_cost->dval[0],
    .prefill_rate = options->prefill_rate->dval[0],
    .concurrency = options->concurrency->ival[0],
    .max_waiting = options->max_waiting->ival[0],
    .cache_blocks = options->cache_blocks->ival[0],
    .load_time = options->load_ms->ival[0] * LB_MSEC,
    .checks_fence = options->no_fence->count == 0,
    .vary_length = options->vary_length->count > 0,
    .seed = (uint64_t)options->seed->ival[0],
  };
}

static int
run_standin_engine (const Options *options)
{
  static SiEngine engine;
  const SiEngineSettings settings = get_engine_settings (options);

  if (!si_engine_init (&engine, &settings, options->port->ival[0]))
    return 1;
  si_server_print_address (&engine.server, settings.name);
  event_base_dispatch (engine.server.base);
  si_engine_clear (&engine);
  return 0;
}

int
main (int argc, char **argv)
{
  Options options = {
    .port = arg_int0 (NULL, "port", "N", "port on 127.0.0.1; 0: any free port"),
    .name = arg_str0 (NULL, "name", "NAME", "prefix of the incarnation id"),
    .version = arg_int0 (NULL, "version", "N", "initial weight version"),
    .tokens_per_second
    = arg_dbl0 (NULL, "tokens-per-second", "N", "token rate of a request that runs alone"),
    .batch_cost = arg_dbl0 (NULL, "batch-cost", "F",
                            "relative increase of the step time per additional request"),
    .prefill_rate = arg_dbl0 (NULL, "prefill-rate", "N", "prompt bytes processed per second"),
    .concurrency = arg_int0 (NULL, "concurrency", "N", "maximum number of requests in the batch"),
    .max_waiting = arg_int0 (NULL, "queue", "N", "maximum number of waiting requests"),
    .cache_blocks = arg_int0 (NULL, "cache-blocks", "N", "blocks in the prefix cache; 0: no cache"),
    .load_ms = arg_int0 (NULL, "load-ms", "N", "duration of a weight load in milliseconds"),
    .no_fence
    = arg_lit0 (NULL, "not-checking-fence", "accept orders with an outdated fencing token"),
    .vary_length
    = arg_lit0 (NULL, "vary-length", "vary answer lengths from 1 to max_tokens tokens"),
    .seed = arg_int0 (NULL, "seed", "N", "part of the incarnation id"),
    .help = arg_lit0 (NULL, "help", "show this help"),
    .end = arg_end (4),
  };
  void **table = (void **)&options;
  int exit_code;

  set_default_options (&options);
  if (si_arguments_parse (argc, argv, table, sizeof options / sizeof (void *), "standin-engine",
                          &exit_code))
    exit_code = run_standin_engine (&options);
  arg_freetable (table, sizeof options / sizeof (void *));
  return exit_code;
}
