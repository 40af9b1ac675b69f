#ifndef LP_CLIENT_H
#define LP_CLIENT_H

#include "lp-platform.h"

/* Calls to the platform's HTTP interface: own rate with priorities, deadline, retry, breaker. */
typedef struct LpClient LpClient;

typedef struct
{
  const char *method;
  const char *path;
  const char *body; /* NULL: none */
  size_t body_length;
  LpPriority priority;
  /* The call changes something. It must be safe to repeat: by its token, or by its nature. */
  bool is_write;
  void (*drop) (void *user); /* frees user when the client is freed before the answer */
} LpClientCall;

/* error LB_OK: a reply with a status under 500 came, and is the outcome. STORE_AWAY: surely not
 * applied. STORE_UNKNOWN: a write that may be applied. STORE_BUSY: over a rate, not applied. */
typedef void (*LpClientDone) (
    LbErrorCode error, int status, const char *body, size_t length, void *user);

LpClient *lp_client_new (struct event_base *base, const LpHttpSettings *settings);
void lp_client_free (LpClient *client);
void lp_client_call (LpClient *client, const LpClientCall *call, LpClientDone done, void *user);

#endif
