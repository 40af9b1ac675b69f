#include "si-arguments.h"
#include "si-engine.h"

#include <argtable2.h>
#include <stdio.h>

typedef struct
{
  struct arg_int *port;
  struct arg_str *name;
  struct arg_int *version;
  struct arg_dbl *speed;
  struct arg_dbl *batch_cost;
  struct arg_dbl *prefill;
  struct arg_int *concurrency;
  struct arg_int *queue;
  struct arg_int *cache;
  struct arg_int *load_ms;
  struct arg_lit *no_fence;
  struct arg_lit *vary;
  struct arg_int *seed;
  struct arg_lit *help;
  struct arg_end *end;
} Options;

static void
set_defaults (Options *options)
{
  options->port->ival[0] = 0;
  options->name->sval[0] = "engine";
  options->version->ival[0] = 1;
  options->speed->dval[0] = 200;
  options->batch_cost->dval[0] = 0.03;
  options->prefill->dval[0] = 100000;
  options->concurrency->ival[0] = 32;
  options->queue->ival[0] = 64;
  options->cache->ival[0] = 1024;
  options->load_ms->ival[0] = 200;
  options->seed->ival[0] = 0;
}

static SiEngineSettings
settings_from (const Options *options)
{
  return (SiEngineSettings){
    .name = options->name->sval[0],
    .version = options->version->ival[0],
    .tokens_per_second = options->speed->dval[0],
    .batch_cost = options->batch_cost->dval[0],
    .prefill_rate = options->prefill->dval[0],
    .concurrency = options->concurrency->ival[0],
    .queue = options->queue->ival[0],
    .cache_blocks = options->cache->ival[0],
    .load_time = options->load_ms->ival[0] * LB_MSEC,
    .checks_fence = options->no_fence->count == 0,
    .vary_length = options->vary->count > 0,
    .seed = (uint64_t)options->seed->ival[0],
  };
}

static int
serve (const Options *options)
{
  static SiEngine engine;
  const SiEngineSettings settings = settings_from (options);

  if (!si_engine_init (&engine, &settings, options->port->ival[0]))
    return 1;
  si_server_announce (&engine.server, settings.name);
  event_base_dispatch (engine.server.base);
  si_engine_clear (&engine);
  return 0;
}

int
main (int argc, char **argv)
{
  Options options = {
    .port = arg_int0 (NULL, "port", "N", "port on 127.0.0.1; 0: any free one"),
    .name = arg_str0 (NULL, "name", "NAME", "name in the incarnation"),
    .version = arg_int0 (NULL, "version", "N", "weight version at the start"),
    .speed = arg_dbl0 (NULL, "tokens-per-second", "N", "of one request alone"),
    .batch_cost = arg_dbl0 (NULL, "batch-cost", "F", "longer step for each further request"),
    .prefill = arg_dbl0 (NULL, "prefill-rate", "N", "bytes of prompt a second"),
    .concurrency = arg_int0 (NULL, "concurrency", "N", "requests in the batch"),
    .queue = arg_int0 (NULL, "queue", "N", "requests waiting at most"),
    .cache = arg_int0 (NULL, "cache-blocks", "N", "size of the prefix cache"),
    .load_ms = arg_int0 (NULL, "load-ms", "N", "time to load weights"),
    .no_fence = arg_lit0 (NULL, "not-checking-fence", "take orders with any fence"),
    .vary = arg_lit0 (NULL, "vary-length", "answers end after 1 to max_tokens tokens"),
    .seed = arg_int0 (NULL, "seed", "N", "part of the incarnation's name"),
    .help = arg_lit0 (NULL, "help", "show this"),
    .end = arg_end (4),
  };
  void **table = (void **)&options;
  int status;

  set_defaults (&options);
  if (si_arguments_parse (argc, argv, table, sizeof options / sizeof (void *), "standin-engine",
                          &status))
    status = serve (&options);
  arg_freetable (table, sizeof options / sizeof (void *));
  return status;
}
