#ifndef LC_OUTGOING_H
#define LC_OUTGOING_H

#include "lc-types.h"

/* A header of an HTTP message; owns both strings. */
typedef struct
{
  char *name;
  char *value;
} LcHeader;

/* An HTTP request that is forwarded as its caller sent it; owns all strings. */
typedef struct
{
  LbName id; /* id that the caller gave the request */
  char *method;
  char *host;
  char *path; /* path with the query string */
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
