#ifndef LN_CALLER_H
#define LN_CALLER_H

#include "ln-request-bytes.h"

#include "lb-error.h"
#include "lb-list.h"

#include <evhtp/evhtp.h>

#define LN_CALLER_IDLE_TIME (60 * LB_SEC)

typedef struct LnExchange LnExchange;
typedef struct LnCaller LnCaller;

/* What all connections of callers share; owned by the front task. */
typedef struct
{
  struct event_base *base;
  LbList callers;
  LbList lingers;
  LbList exchanges; /* all that are not answered yet */
  size_t max_callers;
  size_t max_body;
  size_t max_header;
  LbTime read_time;            /* a request must be whole within this time */
  LbTime idle_time;            /* between two requests of a connection */
  struct LnRecorder *recorder; /* NULL: nothing is recorded */
  bool exact_retry_after;      /* callers read Retry-After with fractions of a second */
  bool draining;               /* replies ask callers to connect elsewhere */
} LnCallers;

/* One connection of a caller: its limits, and how it ends. */
struct LnCaller
{
  LbLink link;
  LnCallers *callers;
  evhtp_connection_t *connection;
  LnExchange *exchange; /* the request being answered, if any */
  struct event *timer;
  size_t header_bytes;
  size_t body_bytes;
  LbErrorCode refusal; /* sent when the connection ends: why it was given up */
  bool last_reply;     /* the connection ends after the present reply */
  bool flush;          /* what was written goes out before the connection is closed */
  char peer[64];
  char *query;          /* of the request being read, as it came; NULL when there is none */
  LnRequestBytes bytes; /* all that came */
  uint64_t heads;       /* requests whose headers the library has handed over */
  struct evbuffer_cb_entry *on_input;
  bool is_timed; /* since the first piece of its request line; the parser has not seen it yet */
  evhtp_request_t *answered; /* half a request line has come behind it, and waits for the rest */
};

void ln_callers_init (LnCallers *callers, struct event_base *base);
void ln_callers_clear (LnCallers *callers);
/* evhtp calls this for each new connection. */
evhtp_res ln_caller_accept (evhtp_connection_t *connection, void *callers);
LnCaller *ln_caller_of (const evhtp_connection_t *connection);
/* A request is being read or answered, or a reply has not left yet. */
bool ln_caller_is_busy (const LnCaller *caller);
/* While a request is answered: learns when the caller goes away. */
void ln_caller_watch (LnCaller *caller);
/* The reply has been handed over; the next request may come. */
void ln_caller_replied (LnCaller *caller, evhtp_request_t *request);
/* Ends the connection after what was written has left. */
void ln_caller_close (LnCaller *caller);

#endif
