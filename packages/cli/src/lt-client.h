#ifndef LT_CLIENT_H
#define LT_CLIENT_H

#include "lb-error.h"

struct json_object;

/* Synchronous HTTP client of an instance's operator API. Each call runs the event loop until the
 * reply is complete. */
typedef struct LtClient LtClient;

typedef struct
{
  int status;               /* HTTP status code; 0: no reply arrived */
  int64_t revision;         /* revision in the ETag header; -1: no ETag header */
  struct json_object *body; /* parsed JSON body; NULL: no body, or not JSON */
} LtReply;

typedef struct
{
  const char *method;
  const char *path;
  const char *if_match;        /* value of the If-Match header; NULL: header not sent */
  const char *idempotency_key; /* value of the Idempotency-Key header; NULL: header not sent */
  struct json_object *body;
  LbTime idle_timeout;
} LtCall;

LtClient *lt_client_new (const char *address, const char *token);
void lt_client_free (LtClient *client);

/* Sends the call and waits for the reply. Returns false with an error if no reply arrives or its
 * status is not 2xx. If the status is not 2xx, the error comes from the reply's body, and
 * reply->status and reply->revision are set. The caller clears the reply in all cases. */
bool lt_client_call (LtClient *client, const LtCall *call, LtReply *reply, LbError *error);
void lt_reply_clear (LtReply *reply);

#endif
