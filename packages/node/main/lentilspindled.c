#include <stdio.h>

int
main (void)
{
  fputs ("lentilspindled: not built yet\n", stderr);
  return 1;
}
