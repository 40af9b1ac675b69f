#include "pf-dialect.h"

#include "lb-alloc.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define MAX_REQUESTS 1000000
#define MAX_PERCENT 100000

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const char *
find_load_header (const void *source, const char *name)
{
  return strcmp (name, "Server-Load") == 0 ? source : NULL;
}

static bool
is_within (int64_t value, int64_t max)
{
  return value >= 0 && value <= max;
}

/* Parses the input as the untrusted load header of an endpoint's reply. Aborts if a figure is out
 * of range, or if no figure is invalid and the load counts as not reported. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text = lb_strndup ((const char *)data, size);
  LnReportedLoad load;

  pf_get_dialect ()->read_load (find_load_header, text, &load);
  if (!is_within (load.running, MAX_REQUESTS) || !is_within (load.waiting, MAX_REQUESTS)
      || !is_within (load.slots, MAX_REQUESTS) || !is_within (load.work_time_percent, MAX_PERCENT)
      || (load.n_invalid_figures == 0 && (!load.is_reported || load.slots == 0)))
    abort ();
  free (text);
  return 0;
}
