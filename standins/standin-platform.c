#include "si-arguments.h"
#include "si-platform.h"

#include <argtable2.h>
#include <stdio.h>

static int
serve (int port, double rate, int lag_ms)
{
  SiPlatform platform;

  if (!si_platform_init_program (&platform, port))
    return 1;
  platform.max_calls_per_second = rate;
  platform.instances_lag = lag_ms * LB_MSEC;
  si_server_announce (&platform.server, "platform");
  event_base_dispatch (platform.server.base);
  si_platform_clear (&platform);
  return 0;
}

int
main (int argc, char **argv)
{
  struct arg_int *port = arg_int0 (NULL, "port", "N", "port on 127.0.0.1; 0: any free one");
  struct arg_dbl *rate = arg_dbl0 (NULL, "rate", "N", "calls a second; 0: any");
  struct arg_int *lag = arg_int0 (NULL, "lag-ms", "N", "of the list of instances");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this");
  struct arg_end *end = arg_end (4);
  void *table[] = { port, rate, lag, help, end };
  int status;

  port->ival[0] = 0;
  rate->dval[0] = 0;
  lag->ival[0] = 0;
  if (si_arguments_parse (argc, argv, table, sizeof table / sizeof table[0], "standin-platform",
                          &status))
    status = serve (port->ival[0], rate->dval[0], lag->ival[0]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
