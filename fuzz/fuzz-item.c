#include "fz-sender.h"

#include "lb-alloc.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define MAX_FIELDS 24
/* Separates the fields of an input: method, path, host, body, then names and values of headers. */
#define FIELD_SEPARATOR 0xff

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Splits the input into C strings; a NUL ends a field, as it ends a string of JSON that is read. */
static size_t
split_fields (const uint8_t *data, size_t size, char *fields[MAX_FIELDS])
{
  size_t n = 0;

  while (n < MAX_FIELDS)
    {
      const uint8_t *end = size > 0 ? memchr (data, FIELD_SEPARATOR, size) : NULL;
      size_t length = end ? (size_t)(end - data) : size;
      fields[n++] = lb_strndup ((const char *)data, length);
      if (!end)
        break;
      data += length + 1;
      size -= length + 1;
    }
  for (size_t i = n; i < MAX_FIELDS; i++)
    fields[i] = lb_strdup ("");
  return n;
}

/* Sends the request that the input's fields describe, as a live call does. Aborts unless the
 * endpoint receives exactly this one request, or nothing because it is refused. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  LhHeader headers[MAX_FIELDS / 2];
  char *fields[MAX_FIELDS];
  size_t n_fields = split_fields (data, size, fields);
  LhRequest request = { .method = fields[0],
                        .path = fields[1],
                        .host = fields[2],
                        .headers = headers,
                        .body = fields[3],
                        .body_length = strlen (fields[3]) };

  for (size_t i = 4; i + 1 < n_fields; i += 2)
    headers[request.n_headers++] = (LhHeader){ fields[i], fields[i + 1] };
  fz_send_request (&request);
  for (size_t i = 0; i < MAX_FIELDS; i++)
    free (fields[i]);
  return 0;
}
