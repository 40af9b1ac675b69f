#ifndef LN_CALLER_H
#define LN_CALLER_H

#include "lb-error.h"
#include "lb-list.h"
#include "lh-message-scanner.h"

#include <evhtp/evhtp.h>

/* Time limit between two requests of a connection, unless the platform's limit is longer. */
#define LN_CALLER_IDLE_TIMEOUT (60 * LB_SEC)

typedef struct LnExchange LnExchange;
typedef struct LnCaller LnCaller;

/* Limits and state that all callers' connections share; owned by the front task. */
typedef struct
{
  struct event_base *base;
  LbList connections; /* open connections, of type LnCaller */
  LbList lingers;     /* connections to close once flushed, of type LnLinger */
  LbList exchanges;   /* requests without a complete reply, of type LnExchange */
  size_t max_connections;
  size_t max_body_bytes;
  size_t max_header_bytes;
  size_t max_bytes_in_progress; /* limit for the bodies of all requests read or processed */
  size_t n_bytes_in_progress;
  LbTime read_timeout; /* time limit for receiving a complete request */
  /* Returns the time limit for receiving the request, with its body, that its route has; 0: the
   * route is not known or has none. NULL: no route has one. */
  LbTime (*get_route_timeout) (void *user, const char *host, const char *path);
  void *user;
  LbTime idle_timeout;         /* time limit between two requests of a connection */
  struct LnRecorder *recorder; /* records a trace of the requests; NULL: none is recorded */
  bool has_exact_retry_after;  /* Retry-After headers contain fractions of a second */
  bool is_draining;            /* each connection is closed after its next reply */
  bool has_stopped_accepting;  /* the drain time is over: new requests are refused */
} LnCallers;

/* A caller's connection. Enforces the limits in LnCallers and closes the connection. */
struct LnCaller
{
  LbLink link;
  LnCallers *callers;
  evhtp_connection_t *connection;
  LnExchange *exchange; /* request that is being processed; NULL: none */
  struct event *timer;
  size_t header_bytes;
  size_t body_bytes;
  size_t n_bytes_in_progress; /* of the request being read, counted in LnCallers */
  LbErrorCode refusal;        /* error to reply with before closing the connection; LB_OK: none */
  bool is_closed_after_reply; /* the connection is closed after the reply to the current request */
  bool is_flushed_at_close;   /* the connection is closed only after sending pending output */
  char ip[64];
  char *raw_query;           /* query string of the request being read; NULL: none */
  LhMessageScanner scanner;  /* scanner that has seen all bytes received */
  uint64_t n_received;       /* number of bytes received */
  uint64_t n_headers_parsed; /* number of requests whose headers evhtp has parsed */
  uint64_t n_parsed;         /* number of requests that evhtp has parsed */
  struct evbuffer_cb_entry *input_callback;
  LbTime request_started_at;  /* when the first bytes of the current request arrived */
  bool is_read_timer_started; /* a partial request line has already started the read timeout */
  /* Request already replied to, resumed when the next request line is complete; NULL: none. */
  evhtp_request_t *held_request;
};

void ln_callers_init (LnCallers *callers, struct event_base *base);
void ln_callers_clear (LnCallers *callers);
/* Called once the drain time is over. Closes idle connections; each of the others is closed after
 * the reply to its current request. */
void ln_callers_stop_accepting (LnCallers *callers);
/* Replies "draining", which means "not run", on a connection that evhtp has not accepted, and
 * closes it once the caller has the reply. Takes ownership of fd, a non-blocking socket. */
void ln_callers_refuse_connection (LnCallers *callers, int fd);
/* Callback of evhtp for a new connection. callers: the LnCallers to add the connection to. Refuses
 * the connection when max_connections are open. */
evhtp_res ln_caller_accept (evhtp_connection_t *connection, void *callers);
/* Returns the caller that ln_caller_accept created for the connection. */
LnCaller *ln_caller_from_connection (const evhtp_connection_t *connection);
/* True while a request is being received or processed, or output is pending. */
bool ln_caller_is_busy (const LnCaller *caller);
/* Counts a request that evhtp has read. Returns the error with which the request must be refused,
 * as its end differs from the end that the scanner found; LB_OK: none. */
LbErrorCode ln_caller_count_parsed_request (LnCaller *caller);
/* Ends the counting of the bytes of a request's body, which ended or is freed. */
void ln_callers_release_bytes (LnCallers *callers, size_t n_bytes);
/* Starts detecting a disconnect of the caller while the caller's request is processed. */
void ln_caller_watch_disconnect (LnCaller *caller);
/* Call after passing the complete reply to evhtp. Closes the connection, or accepts the next
 * request if the connection is kept alive. */
void ln_caller_finish_reply (LnCaller *caller, evhtp_request_t *request);
/* Closes the connection after sending pending output. */
void ln_caller_close (LnCaller *caller);

#endif
