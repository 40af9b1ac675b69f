#include "lt-command.h"

int
main (int argc, char **argv)
{
  return lt_main (argc, argv);
}
