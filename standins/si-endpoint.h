#ifndef SI_ENDPOINT_H
#define SI_ENDPOINT_H

#include "si-row-store.h"

#define SI_MAX_STREAM_RECORDS 256

/* One stream that the endpoint started, new or resumed. */
typedef struct
{
  LbName attempt_id;
  int64_t resumed_after; /* last event id the caller already has; 0: a new stream */
  int64_t sent_events;
  bool is_complete; /* all events were sent */
} SiStreamRecord;

typedef struct SiEndpoint SiEndpoint;

/* Callbacks for tests; each may be NULL. id is the attempt's. */
typedef struct
{
  void (*on_call) (SiEndpoint *endpoint, const char *id, void *user); /* call to a plain service */
  void (*on_stream) (SiEndpoint *endpoint, const char *id, void *user); /* new or resumed stream */
  /* A request with fatal_body has started. If set, the callback must crash the endpoint, which
   * then does not crash by itself. */
  void (*on_fatal_request) (SiEndpoint *endpoint, const char *id, void *user);
  /* accepted: the reply is 202 */
  void (*on_order) (
      SiEndpoint *endpoint, const char *holder, int64_t fence, bool accepted, void *user);
} SiEndpointListener;

/* An engine or a plain service of a shared platform. It registers itself in the platform's store;
 * an engine streams events and accepts orders to load weights, a service answers plain calls. */
struct SiEndpoint
{
  SiServer server;
  SiRowStore *store;
  LbName name; /* id; changes after a crash */
  LbName service;
  LbName model; /* empty: a plain service */
  int64_t version;
  int64_t loading_version; /* 0: none is being loaded */
  int64_t accepted_orders;
  int64_t start_ms;       /* Unix time of the last start; identifies the incarnation */
  int64_t entry_sequence; /* number of the last entry written to the store */
  int64_t last_fence;
  bool draining;
  int n_events;           /* of each stream */
  int event_padding_size; /* extra bytes in each event */
  LbTime event_interval;  /* between two events of a stream */
  LbTime load_time;       /* of weights */
  struct event *register_timer;
  struct event *load_timer;
  LbList streams;
  LbList running_calls; /* of a plain service */
  SiStreamRecord stream_records[SI_MAX_STREAM_RECORDS];
  size_t n_stream_records;
  int refused_requests;     /* requests refused while loading weights */
  int misdirected_requests; /* requests addressed to another endpoint */
  /* Values of the last request's tenant headers, concatenated. */
  LbName organisation;
  int leaked_keys;           /* requests that carried a caller's Api-Key header */
  int n_calls;               /* received by a plain service */
  int cancelled_streams;     /* streams whose caller disconnected */
  bool reports_version;      /* events name their weight version */
  LbName advertised_address; /* address in the store's entry; empty: the server's own */
  LbTime call_duration;      /* of a call to a plain service */
  const char *fatal_body;    /* a request with this body crashes the endpoint; NULL: none */
  LbTime restart_delay;      /* from a crash to the restart under a new id */
  int fatal_requests;        /* requests with fatal_body that were started */
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
/* Writes the endpoint's current entry to the store and repeats that periodically. */
void si_endpoint_register (SiEndpoint *endpoint);
/* Removes the entry from the store and stops writing it, until si_endpoint_register. */
void si_endpoint_unregister (SiEndpoint *endpoint);
/* Simulates a new process with the same id, address and weights: streams break, and the count of
 * orders and the fencing number are reset. */
void si_endpoint_restart (SiEndpoint *endpoint);
/* Closes the connections of all streams, as when the process ends. */
void si_endpoint_break_streams (SiEndpoint *endpoint);

#endif
