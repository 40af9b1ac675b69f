#ifndef SI_CLIENT_H
#define SI_CLIENT_H

#include "lh-fetch.h"
#include "si-json.h"

/* A blocking client that makes one call at a time, for tests and programs without other work. */
typedef struct
{
  struct event_base *base;
  LhPool *pool;
} SiClient;

typedef struct
{
  LbErrorCode failure; /* of the exchange; LB_OK when a complete reply arrived */
  int status;
  char *body; /* NUL-terminated */
  size_t length;
  bool not_run;       /* header x-not-run is present */
  LbTime retry_after; /* header x-retry-after-ms; 0: absent */
  LbTime duration;
  LbName error; /* buffer for si_response_get_error_type */
} SiResponse;

typedef struct
{
  const char *method;
  const char *address;
  const char *path;
  const LhHeader *headers;
  size_t n_headers;
  const char *body;
  LbTime idle_timeout; /* 0: 30 s */
} SiCall;

void si_client_init (SiClient *client);
void si_client_clear (SiClient *client);
void si_client_call (SiClient *client, const SiCall *call, SiResponse *response);
/* Sends a POST with a JSON body, or a GET when body is NULL. Returns NULL unless the reply is 2xx
 * and JSON. */
struct json_object *
si_client_call_json (SiClient *client, const char *address, const char *path, const char *body);
/* Runs the event loop for this long without making a call. */
void si_client_pause (SiClient *client, LbTime time);

void si_response_clear (SiResponse *response);
bool si_response_is_ok (const SiResponse *response);
/* The error type in the body, or the name of the exchange's failure. Valid until
 * si_response_clear. */
const char *si_response_get_error_type (SiResponse *response);

#endif
