#include "lx-trace.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Parses the input as a trace file for `lentilspindle replay`. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  LxTrace trace;
  LbError error = { 0 };

  if (lx_trace_parse (&trace, (const char *)data, size, "input", &error))
    lx_trace_clear (&trace);
  return 0;
}
