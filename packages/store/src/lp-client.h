#ifndef LP_CLIENT_H
#define LP_CLIENT_H

#include "lp-platform.h"

/* Calls to the platform's HTTP interface with a prioritised rate limit, a deadline, retries and a
 * circuit breaker. */
typedef struct LpClient LpClient;

typedef struct
{
  const char *method;
  const char *path;
  const char *body; /* NULL: none */
  size_t body_length;
  LpPriority priority;
  /* The call changes something. It must be idempotent, by its token or by nature. */
  bool is_write;
  void (*free_user) (void *user); /* called if the client is freed before the answer */
} LpClientCall;

/* error LB_OK: the outcome is a response with a status below 500. STORE_AWAY: not applied.
 * STORE_UNKNOWN: a write that may have been applied. STORE_BUSY: over a rate limit, not applied. */
typedef void (*LpClientDone) (
    LbErrorCode error, int status, const char *body, size_t length, void *user);

LpClient *lp_client_new (struct event_base *base, const LpHttpSettings *settings);
void lp_client_free (LpClient *client);
void lp_client_call (LpClient *client, const LpClientCall *call, LpClientDone done, void *user);

#endif
