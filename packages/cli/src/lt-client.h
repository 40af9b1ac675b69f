#ifndef LT_CLIENT_H
#define LT_CLIENT_H

#include "lb-error.h"

struct json_object;

/* A synchronous client of operators' calls: one call at a time, each on its own event loop turn. */
typedef struct LtClient LtClient;

typedef struct
{
  int status;               /* 0: no reply came */
  int64_t revision;         /* of the ETag; -1: none */
  struct json_object *body; /* NULL when it is not JSON */
} LtReply;

typedef struct
{
  const char *method;
  const char *path;
  const char *if_match; /* NULL: none */
  const char *token;    /* idempotency-key; NULL: none */
  struct json_object *body;
  LbTime silence;
} LtCall;

LtClient *lt_client_new (const char *address, const char *token);
void lt_client_free (LtClient *client);

/* False with a typed error when no reply came or its status is not 2xx: then the error of the reply
 * is given, and the reply's status and revision. Always clear the reply. */
bool lt_client_call (LtClient *client, const LtCall *call, LtReply *reply, LbError *error);
void lt_reply_clear (LtReply *reply);

#endif
