#ifndef SI_RAW_ENDPOINT_H
#define SI_RAW_ENDPOINT_H

#include "si-row-store.h"

struct evconnlistener;

/* What a raw endpoint does after its reply. */
typedef enum
{
  SI_RAW_CLOSE,     /* closes the connection, as a process that exits does */
  SI_RAW_KEEP_OPEN, /* waits for the next request */
  SI_RAW_REPEAT,    /* sends `filler` as fast as it can until the caller closes the connection */
  SI_RAW_TRICKLE    /* sends `filler` every 50 ms until the caller closes the connection */
} SiRawEnd;

/* An endpoint that answers each request with given bytes, which need not be HTTP. */
typedef struct
{
  struct event_base *base;
  struct evconnlistener *listener;
  SiRowStore *store;
  LbName name;
  LbName address;
  const char *reply; /* "%ID%" is replaced by the value of the header Attempt-Id */
  SiRawEnd end;
  const char *filler;
  LbList connections;
  int n_requests;
  int64_t bytes_sent; /* bytes written to the kernel in all replies */
} SiRawEndpoint;

/* Listens on 127.0.0.1. Returns false if no address can be bound. */
bool si_raw_endpoint_init (SiRawEndpoint *endpoint,
                           struct event_base *base,
                           SiRowStore *store,
                           const char *name);
void si_raw_endpoint_clear (SiRawEndpoint *endpoint);
/* Writes the endpoint's registration to the store. model: "" for a plain service. */
void si_raw_endpoint_register (SiRawEndpoint *endpoint,
                               const char *service,
                               const char *model,
                               int slots);

#endif
