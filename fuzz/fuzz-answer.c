#include "pf-store-answer.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Parses the input as an untrusted reply of the store to a list request. Aborts if the parsed rows
 * hold more bytes than the input can encode. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  PfStoreAnswer answer;
  size_t bytes = 0;

  if (!pf_store_answer_read ((const char *)data, size, &answer))
    return 0;
  for (size_t i = 0; i < answer.n_rows; i++)
    bytes
        += strlen (answer.rows[i].key) + (answer.rows[i].value ? strlen (answer.rows[i].value) : 0);
  if (bytes > size + 3 * answer.n_rows)
    abort ();
  pf_store_answer_clear (&answer);
  return 0;
}
