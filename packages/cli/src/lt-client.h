#ifndef LT_CLIENT_H
#define LT_CLIENT_H

#include "lb-error.h"

struct json_object;

/* Synchronous HTTP client for operator calls. Each call runs the event loop until it completes. */
typedef struct LtClient LtClient;

typedef struct
{
  int status;               /* HTTP status; 0: no reply */
  int64_t revision;         /* from the ETag header; -1: no ETag */
  struct json_object *body; /* NULL if the body is not JSON */
} LtReply;

typedef struct
{
  const char *method;
  const char *path;
  const char *if_match;        /* NULL: no such header */
  const char *idempotency_key; /* NULL: no such header */
  struct json_object *body;
  LbTime idle_timeout;
} LtCall;

LtClient *lt_client_new (const char *address, const char *token);
void lt_client_free (LtClient *client);

/* Returns false with an error if no reply came or its status is not 2xx. For another status the
 * error is read from the reply's body, and reply->status and reply->revision are set. The caller
 * clears the reply in every case. */
bool lt_client_call (LtClient *client, const LtCall *call, LtReply *reply, LbError *error);
void lt_reply_clear (LtReply *reply);

#endif
