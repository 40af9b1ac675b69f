#ifndef SI_CLIENT_H
#define SI_CLIENT_H

#include "lh-fetch.h"
#include "si-json.h"

/* A blocking HTTP client for tests and programs that make one call at a time. */
typedef struct
{
  struct event_base *base;
  LhPool *pool;
} SiClient;

typedef struct
{
  LbErrorCode failure; /* transport error; LB_OK if a complete reply arrived */
  int status;
  char *body; /* reply body, NUL-terminated */
  size_t length;
  bool not_run;       /* set if the reply has header x-not-run: the call did not start */
  LbTime retry_after; /* value of header x-retry-after-ms; 0: absent */
  LbTime duration;
  LbName error; /* filled by si_response_get_error_type */
} SiResponse;

typedef struct
{
  const char *method;
  const char *address;
  const char *path;
  const LhHeader *headers;
  size_t n_headers;
  const char *body;
  LbTime idle_timeout; /* longest time without traffic; 0: 30 s */
} SiCall;

void si_client_init (SiClient *client);
void si_client_clear (SiClient *client);
void si_client_call (SiClient *client, const SiCall *call, SiResponse *response);
/* Sends a POST with a JSON body, or a GET if body is NULL. Returns the reply's JSON, which the
 * caller owns; NULL if the status is not 2xx or the body is not JSON. */
struct json_object *
si_client_call_json (SiClient *client, const char *address, const char *path, const char *body);
/* Runs the event loop for the given time without sending a call. */
void si_client_pause (SiClient *client, LbTime time);

void si_response_clear (SiResponse *response);
bool si_response_is_ok (const SiResponse *response);
/* Returns the name of the transport error or, if there is none, the error type in the reply body.
 * The string is valid until si_response_clear. */
const char *si_response_get_error_type (SiResponse *response);

#endif
