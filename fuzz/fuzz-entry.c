#include "pf-dialect.h"

#include "lb-alloc.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Parses the input, "KEY\nVALUE", as an endpoint's untrusted registration row in the store. Aborts
 * if an accepted registration has no name, no slots or too many models. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text = lb_strndup ((const char *)data, size);
  char *value = strchr (text, '\n');
  LcRegistration registration;
  LbError error = { 0 };

  if (value)
    {
      *value++ = '\0';
      if (pf_get_dialect ()->parse_registration (text, value, &registration, &error)
          && (registration.name[0] == '\0' || registration.slots <= 0
              || registration.n_models > LC_MAX_MODELS))
        abort ();
    }
  free (text);
  return 0;
}
