#include "lc-outgoing.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

void
lc_outgoing_request_add_header (LcOutgoingRequest *outgoing, const char *name, const char *value)
{
  size_t size = (outgoing->n_headers + 1) * sizeof *outgoing->headers;

  outgoing->headers = lb_realloc (outgoing->headers, size);
  outgoing->headers[outgoing->n_headers++]
      = (LcHeader){ .name = lb_strdup (name), .value = lb_strdup (value) };
}

/* Returns the value of the first header with the name, ignoring case; NULL if there is none. */
const char *
lc_outgoing_request_find_header (const LcOutgoingRequest *outgoing, const char *name)
{
  for (size_t i = 0; i < outgoing->n_headers; i++)
    if (strcasecmp (outgoing->headers[i].name, name) == 0)
      return outgoing->headers[i].value;
  return NULL;
}

static char *
copy_string (const char *string)
{
  return string ? lb_strdup (string) : NULL;
}

void
lc_outgoing_request_copy (LcOutgoingRequest *target, const LcOutgoingRequest *source)
{
  memset (target, 0, sizeof *target);
  LB_COPY (target->id, source->id);
  target->method = copy_string (source->method);
  target->host = copy_string (source->host);
  target->path = copy_string (source->path);
  for (size_t i = 0; i < source->n_headers; i++)
    lc_outgoing_request_add_header (target, source->headers[i].name, source->headers[i].value);
  target->body = source->body ? lb_memdup (source->body, source->body_length + 1) : NULL;
  target->body_length = source->body_length;
}

void
lc_outgoing_request_clear (LcOutgoingRequest *outgoing)
{
  for (size_t i = 0; i < outgoing->n_headers; i++)
    {
      free (outgoing->headers[i].name);
      free (outgoing->headers[i].value);
    }
  free (outgoing->headers);
  free (outgoing->method);
  free (outgoing->host);
  free (outgoing->path);
  free (outgoing->body);
  memset (outgoing, 0, sizeof *outgoing);
}
