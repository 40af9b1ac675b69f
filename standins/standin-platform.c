#include "si-arguments.h"
#include "si-platform.h"

#include <argtable2.h>
#include <stdio.h>

static int
run_standin_platform (int port, double calls_per_second, int lag_ms)
{
  SiPlatform platform;

  if (!si_platform_init_standalone (&platform, port))
    return 1;
  platform.max_calls_per_second = calls_per_second;
  platform.instances_lag = lag_ms * LB_MSEC;
  si_server_print_address (&platform.server, "platform");
  event_base_dispatch (platform.server.base);
  si_platform_clear (&platform);
  return 0;
}

int
main (int argc, char **argv)
{
  struct arg_int *port = arg_int0 (NULL, "port", "N", "port on 127.0.0.1; 0: any free port");
  struct arg_dbl *calls_per_second
      = arg_dbl0 (NULL, "rate", "N", "maximum number of calls per second; 0: unlimited");
  struct arg_int *lag = arg_int0 (NULL, "lag-ms", "N",
                                  "milliseconds until a changed list of instances becomes visible");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  struct arg_end *end = arg_end (4);
  void *table[] = { port, calls_per_second, lag, help, end };
  int exit_code;

  port->ival[0] = 0;
  calls_per_second->dval[0] = 0;
  lag->ival[0] = 0;
  if (si_arguments_parse (argc, argv, table, sizeof table / sizeof table[0], "standin-platform",
                          &exit_code))
    exit_code = run_standin_platform (port->ival[0], calls_per_second->dval[0], lag->ival[0]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return exit_code;
}
