#ifndef LC_OUTGOING_H
#define LC_OUTGOING_H

#include "lc-types.h"

/* A header of an HTTP message; both texts owned. */
typedef struct
{
  char *name;
  char *value;
} LcHeader;

/* A request that is passed on as its caller wrote it; all texts owned. */
typedef struct
{
  LbName id; /* of this request, chosen by its caller */
  char *method;
  char *host;
  char *path; /* with the query */
  LcHeader *headers;
  size_t n_headers;
  char *body;
  size_t body_length;
} LcOutgoing;

void lc_outgoing_add_header (LcOutgoing *outgoing, const char *name, const char *value);
const char *lc_outgoing_find_header (const LcOutgoing *outgoing, const char *name);
void lc_outgoing_copy (LcOutgoing *target, const LcOutgoing *source);
void lc_outgoing_clear (LcOutgoing *outgoing);

#endif
