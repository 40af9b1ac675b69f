#include "ln-fetch-outgoing.h"

#include "lb-alloc.h"

#include <stdlib.h>

LhFetch *
ln_fetch_start_outgoing (const LnContext *context,
                         const LcOutgoingRequest *outgoing,
                         const LhRequest *request,
                         const LhHandlers *handlers,
                         void *user,
                         LbError *error)
{
  LhHeader *headers = LB_NEW_ARRAY (LhHeader, outgoing->n_headers + 1);
  LhRequest merged = *request;
  LhFetch *fetch = NULL;

  for (size_t i = 0; i < outgoing->n_headers; i++)
    headers[i] = (LhHeader){ outgoing->headers[i].name, outgoing->headers[i].value };
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
