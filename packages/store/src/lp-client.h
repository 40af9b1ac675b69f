#ifndef LP_CLIENT_H
#define LP_CLIENT_H

#include "lp-platform.h"

/* HTTP client of the platform. Each call has a priority for the client's rate limit, a deadline and
 * retries; a circuit breaker stops calls while the platform fails. */
typedef struct LpClient LpClient;

typedef struct
{
  const char *method;
  const char *path;
  const char *body; /* NULL: no body */
  size_t body_length;
  LpPriority priority;
  /* The call changes data. It must be idempotent: it has a token, or a repeat has no effect. */
  bool is_write;
  void (*free_user) (void *user); /* frees user if the client is freed before the call ends */
} LpClientCall;

/* error LB_OK: the response's status is below 500. STORE_AWAY: no answer, and not applied.
 * STORE_UNKNOWN: a write that may have been applied. STORE_BUSY: over a rate limit, not applied. */
typedef void (*LpClientDone) (
    LbErrorCode error, int status, const char *body, size_t length, void *user);

LpClient *lp_client_new (struct event_base *base, const LpHttpSettings *settings);
void lp_client_free (LpClient *client);
void
lp_client_start_call (LpClient *client, const LpClientCall *call, LpClientDone done, void *user);

#endif
