#include "pf-dialect.h"

#include "lb-alloc.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* A row that an endpoint, or anybody else, wrote about itself: "KEY\nVALUE". */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text = lb_strndup ((const char *)data, size);
  char *value = strchr (text, '\n');
  LcRegistration listed;
  LbError error = { 0 };

  if (value)
    {
      *value++ = '\0';
      if (pf_dialect ()->parse_registration (text, value, &listed, &error)
          && (listed.name[0] == '\0' || listed.slots <= 0 || listed.n_models > LC_MAX_MODELS))
        abort ();
    }
  free (text);
  return 0;
}
