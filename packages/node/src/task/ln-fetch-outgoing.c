#include "ln-fetch-outgoing.h"

#include "lb-alloc.h"
#include "lh-request-check.h"

#include <stdlib.h>
#include <string.h>

/* Returns the request's headers as an array of n_headers entries, which the caller frees. */
static LhHeader *
copy_outgoing_headers (const LcOutgoingRequest *outgoing)
{
  LhHeader *headers = LB_NEW_ARRAY (LhHeader, outgoing->n_headers + 1);

  for (size_t i = 0; i < outgoing->n_headers; i++)
    headers[i] = (LhHeader){ outgoing->headers[i].name, outgoing->headers[i].value };
  return headers;
}

bool
ln_outgoing_request_check (const LcOutgoingRequest *outgoing, LbError *error)
{
  LhHeader *headers = copy_outgoing_headers (outgoing);
  const LhRequest request = { .method = outgoing->method,
                              .path = outgoing->path,
                              .host = outgoing->host,
                              .headers = headers,
                              .n_headers = outgoing->n_headers };
  bool is_valid = lh_is_header_value (outgoing->id, strlen (outgoing->id));

  if (!is_valid)
    lb_error_set (error, LB_ERROR_BAD_VALUE, "id", "expected an id without line breaks");
  is_valid = is_valid && lh_request_check (&request, error);
  free (headers);
  return is_valid;
}

LhFetch *
ln_fetch_start_outgoing (const LnContext *context,
                         const LcOutgoingRequest *outgoing,
                         const LhRequest *request,
                         const LhHandlers *handlers,
                         void *user,
                         LbError *error)
{
  LhHeader *headers = copy_outgoing_headers (outgoing);
  LhRequest merged = *request;
  LhFetch *fetch = NULL;

  merged.method = outgoing->method;
  merged.path = outgoing->path;
  merged.headers = headers;
  merged.n_headers = outgoing->n_headers;
  merged.body = outgoing->body;
  merged.body_length = outgoing->body_length;
  fetch = lh_fetch_start (context->http_pool, &merged, handlers, user, error);
  free (headers);
  return fetch;
}
