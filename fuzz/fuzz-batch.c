#include "fz-sender.h"

#include "lb-alloc.h"
#include "ln-fetch-outgoing.h"
#include "pf-dialect.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Aborts if a request that the submission accepts can't be sent. */
static void
send_accepted_request (const LcOutgoingRequest *outgoing)
{
  LhHeader *headers = LB_NEW_ARRAY (LhHeader, outgoing->n_headers + 1);
  const LhRequest request = { .method = outgoing->method,
                              .path = outgoing->path,
                              .host = outgoing->host ? outgoing->host : "h.example",
                              .headers = headers,
                              .n_headers = outgoing->n_headers,
                              .body = outgoing->body,
                              .body_length = outgoing->body_length };
  LbError error;

  for (size_t i = 0; i < outgoing->n_headers; i++)
    headers[i] = (LhHeader){ outgoing->headers[i].name, outgoing->headers[i].value };
  if (ln_outgoing_request_check (outgoing, &error) && !fz_send_request (&request))
    abort ();
  free (headers);
}

/* Reads the input as the body of a batch submission and sends its items and reward calls. Aborts
 * unless the endpoint receives exactly the requests that the submission accepts. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text = lb_strndup ((const char *)data, size);
  LcBatchSpec spec = { 0 };
  LbError error;

  if (pf_get_dialect ()->read_batch (text, strlen (text), "b1", &spec, &error))
    {
      for (size_t i = 0; i < spec.n_items; i++)
        {
          send_accepted_request (&spec.items[i].request);
          if (spec.items[i].has_scorer)
            send_accepted_request (&spec.items[i].scorer);
        }
      lc_batch_spec_clear (&spec);
    }
  free (text);
  return 0;
}
