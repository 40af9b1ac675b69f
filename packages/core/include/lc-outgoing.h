#ifndef LC_OUTGOING_H
#define LC_OUTGOING_H

#include "lc-types.h"

/* A header of an HTTP message; both strings are owned. */
typedef struct
{
  char *name;
  char *value;
} LcHeader;

/* A request that is forwarded as its caller sent it; all strings are owned. */
typedef struct
{
  LbName id; /* id of the request, chosen by its caller */
  char *method;
  char *host;
  char *path; /* including the query */
  LcHeader *headers;
  size_t n_headers;
  char *body;
  size_t body_length;
} LcOutgoingRequest;

void
lc_outgoing_request_add_header (LcOutgoingRequest *outgoing, const char *name, const char *value);
const char *lc_outgoing_request_find_header (const LcOutgoingRequest *outgoing, const char *name);
void lc_outgoing_request_copy (LcOutgoingRequest *target, const LcOutgoingRequest *source);
void lc_outgoing_request_clear (LcOutgoingRequest *outgoing);

#endif
