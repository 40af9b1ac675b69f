#ifndef SI_CLIENT_H
#define SI_CLIENT_H

#include "lh-fetch.h"
#include "si-json.h"

/* One call at a time, waited for: for programs and tests that have nothing else to do meanwhile. */
typedef struct
{
  struct event_base *base;
  LhPool *pool;
} SiClient;

typedef struct
{
  LbErrorCode failure; /* of the exchange itself; LB_OK when a whole reply came */
  int status;
  char *body; /* ended by NUL */
  size_t length;
  bool not_run;       /* header x-not-run */
  LbTime retry_after; /* header x-retry-after-ms; 0: absent */
  LbTime duration;
  LbName error;
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
void si_client_call (SiClient *client, const SiCall *call, SiResponse *answer);
/* A POST of JSON text, or a GET when body is NULL; NULL unless the reply is 2xx and JSON. */
struct json_object *
si_client_call_json (SiClient *client, const char *address, const char *path, const char *body);
/* Lets the event loop run for so long: a pause in which nothing is asked. */
void si_client_pause (SiClient *client, LbTime time);

void si_response_clear (SiResponse *answer);
bool si_response_is_ok (const SiResponse *answer);
/* The typed error of the body, or the failure of the exchange. Valid until si_response_clear. */
const char *si_response_error (SiResponse *answer);

#endif
