#ifndef SI_ENDPOINT_H
#define SI_ENDPOINT_H

#include "si-row-store.h"

#define SI_MAX_STREAM_RECORDS 256

/* Progress of one event stream that the endpoint started or resumed. */
typedef struct
{
  LbName attempt_id;
  int64_t resumed_after; /* id of the last event that the caller already has; 0: a new stream */
  int64_t sent_events;
  bool is_complete; /* set once all events are sent */
} SiStreamRecord;

typedef struct SiEndpoint SiEndpoint;

/* Callbacks for tests; each may be NULL. `id` is the request's header Attempt-Id. */
typedef struct
{
  /* A call has arrived at an endpoint without a model. */
  void (*on_call) (SiEndpoint *endpoint, const char *id, void *user);
  /* A new or resumed stream is about to start. */
  void (*on_stream) (SiEndpoint *endpoint, const char *id, void *user);
  /* A request whose body equals fatal_body has started. If this callback is set, it must crash the
   * endpoint: the endpoint then starts no crash timer. */
  void (*on_fatal_request) (SiEndpoint *endpoint, const char *id, void *user);
  /* An order to load weights has arrived; `accepted` is set if the reply is 202. */
  void (*on_order) (
      SiEndpoint *endpoint, const char *holder, int64_t fence, bool accepted, void *user);
} SiEndpointListener;

/* An endpoint of the shared platform that registers itself in the platform's store. With a model it
 * streams events and accepts orders to load weights; without a model it sends one reply per call.
 */
struct SiEndpoint
{
  SiServer server;
  SiRowStore *store;
  LbName name; /* id of the endpoint; changes after a crash */
  LbName service;
  LbName model; /* empty: the endpoint has no model */
  int64_t version;
  int64_t loading_version; /* weight version being loaded; 0: no load in progress */
  int64_t accepted_orders;
  int64_t start_ms;       /* Unix time of the last start in milliseconds; changes at a restart */
  int64_t entry_sequence; /* sequence number of the last registration in the store */
  int64_t last_fence;
  bool draining;
  int n_events;           /* number of events in each stream */
  int event_padding_size; /* number of spaces that pad each event */
  LbTime event_interval;  /* usual time between two events of a stream */
  /* present duration of work in percent of the usual duration; multiplies event_interval and
   * call_duration */
  int64_t work_time_percent;
  bool reports_work_time;  /* set: Server-Load has work_time_percent as its fourth figure */
  int64_t slots;           /* number of slots in Server-Load and in the registration */
  const char *load_header; /* value of Server-Load; NULL: the endpoint's true figures */
  LbTime load_time;        /* time from accepting a weight order to serving the new version */
  struct event *register_timer;
  struct event *load_timer;
  LbList streams;
  LbList running_calls; /* calls whose reply is delayed, at an endpoint without a model */
  SiStreamRecord stream_records[SI_MAX_STREAM_RECORDS];
  size_t n_stream_records;
  int refused_requests;     /* number of requests refused during weight loads */
  int misdirected_requests; /* number of requests whose header Expect-Instance has another id */
  /* Concatenated values of all Tenant headers in the last request. */
  LbName organisation;
  int leaked_keys;           /* number of Api-Key headers received; none may be forwarded */
  int n_calls;               /* number of calls received by an endpoint without a model */
  int cancelled_streams;     /* number of streams whose caller disconnected */
  bool reports_version;      /* set: each event contains its weight version */
  LbName advertised_address; /* address in the registration; empty: the server's address */
  LbTime call_duration;      /* delay of the reply at an endpoint without a model */
  const char *fatal_body;    /* a request with this body crashes the endpoint; NULL: none */
  LbTime restart_delay;      /* time from a crash to the restart under a new id */
  int fatal_requests;        /* number of started requests whose body is fatal_body */
  int crashes;
  struct event *crash_timer;
  struct event *restart_timer;
  const SiEndpointListener *listener; /* NULL: none */
  void *user;
};

bool si_endpoint_init (SiEndpoint *endpoint,
                       struct event_base *base,
                       SiRowStore *store,
                       const char *name,
                       const char *service,
                       const char *model);
void si_endpoint_clear (SiEndpoint *endpoint);
/* Writes the endpoint's registration to the store at once and then periodically. */
void si_endpoint_register (SiEndpoint *endpoint);
/* Removes the registration from the store and stops the periodic writes until si_endpoint_register.
 */
void si_endpoint_unregister (SiEndpoint *endpoint);
/* Simulates a restart of the process with the same id, address and weights: closes all streams and
 * resets the order count and the fencing token. */
void si_endpoint_restart (SiEndpoint *endpoint);
/* Closes the connections of all streams, as the exit of the process would. */
void si_endpoint_close_stream_connections (SiEndpoint *endpoint);

#endif
