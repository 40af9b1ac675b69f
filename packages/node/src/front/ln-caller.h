#ifndef LN_CALLER_H
#define LN_CALLER_H

#include "ln-request-scanner.h"

#include "lb-error.h"
#include "lb-list.h"

#include <evhtp/evhtp.h>

#define LN_CALLER_IDLE_TIMEOUT (60 * LB_SEC)

typedef struct LnExchange LnExchange;
typedef struct LnCaller LnCaller;

/* Limits and state shared by all connections of callers; owned by the front task. */
typedef struct
{
  struct event_base *base;
  LbList connections; /* of LnCaller */
  LbList lingers;     /* of LnLinger: connections that are closed after a flush */
  LbList exchanges;   /* of LnExchange: requests without a complete reply */
  size_t max_connections;
  size_t max_body_bytes;
  size_t max_header_bytes;
  LbTime read_timeout;         /* limit for receiving a complete request */
  LbTime idle_timeout;         /* limit between two requests of a connection */
  struct LnRecorder *recorder; /* NULL: no trace is recorded */
  bool has_exact_retry_after;  /* Retry-After is sent with fractions of a second */
  bool is_draining;            /* connections are closed after their next reply */
} LnCallers;

/* One connection of a caller: enforces the limits and closes the connection. */
struct LnCaller
{
  LbLink link;
  LnCallers *callers;
  evhtp_connection_t *connection;
  LnExchange *exchange; /* the request in progress; NULL: none */
  struct event *timer;
  size_t header_bytes;
  size_t body_bytes;
  LbErrorCode refusal;        /* error reply to send before the connection closes */
  bool is_closed_after_reply; /* to the request in progress */
  bool is_flushed_at_close;   /* pending output is sent before the connection closes */
  char ip[64];
  char *raw_query;           /* of the request being read; NULL: none */
  LnRequestScanner scanner;  /* has scanned all bytes received */
  uint64_t n_headers_parsed; /* requests whose headers the HTTP library has passed on */
  struct evbuffer_cb_entry *input_callback;
  bool is_read_timer_started; /* for a partial request line that the parser has not got yet */
  /* Replied to, but not resumed until the next request line is complete; NULL: none. */
  evhtp_request_t *held_request;
};

void ln_callers_init (LnCallers *callers, struct event_base *base);
void ln_callers_clear (LnCallers *callers);
/* Callback of evhtp for each new connection. */
evhtp_res ln_caller_accept (evhtp_connection_t *connection, void *callers);
LnCaller *ln_caller_from_connection (const evhtp_connection_t *connection);
/* Whether a request is being received or processed, or output is pending. */
bool ln_caller_is_busy (const LnCaller *caller);
/* Detects a disconnect of the caller while its request is processed. */
void ln_caller_watch_disconnect (LnCaller *caller);
/* To be called when the reply was passed to evhtp: accepts the next request or closes. */
void ln_caller_finish_reply (LnCaller *caller, evhtp_request_t *request);
/* Closes the connection after its pending output was sent. */
void ln_caller_close (LnCaller *caller);

#endif
