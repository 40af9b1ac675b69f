#ifndef SI_ENDPOINT_H
#define SI_ENDPOINT_H

#include "si-row-store.h"

#define SI_MAX_STREAM_RECORDS 256

/* A run as the engine saw it. */
typedef struct
{
  LbName attempt_id;
  int64_t resumed_after; /* events that came before it */
  int64_t sent_events;   /* events that it sent */
  bool is_complete;
} SiStreamRecord;

/* What a test wants to hear of an endpoint; any may be NULL. */
typedef struct SiEndpoint SiEndpoint;

typedef struct
{
  void (*on_call) (SiEndpoint *endpoint, const char *id, void *user); /* of a plain service */
  void (*on_stream) (SiEndpoint *endpoint,
                     const char *id,
                     void *user); /* a text begins or goes on */
  /* Such a request begins; who hears of it ends the endpoint, which does not by itself then. */
  void (*on_fatal_request) (SiEndpoint *endpoint, const char *id, void *user);
  /* accepted: 202 was answered */
  void (*on_order) (
      SiEndpoint *endpoint, const char *holder, int64_t fence, bool accepted, void *user);
} SiEndpointListener;

/* An engine, or a plain service, of a shared platform: registers itself in the store, streams
 * texts, takes orders. */
struct SiEndpoint
{
  SiServer server;
  SiRowStore *rows;
  LbName name;
  LbName service;
  LbName model; /* empty: a plain service */
  int64_t version;
  int64_t loading_version; /* being loaded; 0: none */
  int64_t accepted_orders;
  int64_t start_ms;      /* Unix ms of its start; another one for each start */
  int64_t registrations; /* entries that it wrote */
  int64_t last_fence;
  bool draining;
  int n_events;          /* of each text */
  int padding;           /* further bytes in each event */
  LbTime event_interval; /* between two events */
  LbTime load_time;      /* of weights */
  struct event *register_timer;
  struct event *load_timer;
  LbList streams;
  LbList running_calls; /* of a plain service */
  SiStreamRecord stream_records[SI_MAX_STREAM_RECORDS];
  size_t n_stream_records;
  int refused;     /* while it loaded */
  int misdirected; /* requests for another endpoint */
  /* Whose its last request was, as it says; the names that it gives, one after the other. */
  LbName organisation;
  int leaked_keys;           /* requests that gave a caller's key away */
  int n_calls;               /* of a plain service */
  int cancelled;             /* streams whose caller went away */
  bool reports_version;      /* events say with which weights they were made */
  LbName advertised_address; /* where callers are told to connect; empty: the server itself */
  LbTime call_duration;      /* of a plain service's answer */
  const char *fatal_body;    /* a request with this body ends it; NULL: none does */
  LbTime restart_delay;      /* from such an end to its next start, under another id */
  int fatal_requests;        /* requests with that body that it began */
  int crashes;
  struct event *crash_timer;
  struct event *restart_timer;
  const SiEndpointListener *listener; /* NULL: none */
  void *user;
};

bool si_endpoint_init (SiEndpoint *endpoint,
                       struct event_base *base,
                       SiRowStore *rows,
                       const char *name,
                       const char *service,
                       const char *model);
void si_endpoint_clear (SiEndpoint *endpoint);
/* Tells the store what it is now. */
void si_endpoint_register (SiEndpoint *endpoint);
/* Its entry goes and is not written again, as when it is gone; si_endpoint_register brings it back.
 */
void si_endpoint_unregister (SiEndpoint *endpoint);
/* A new process under the same id and at the same address: it holds and knows nothing of before but
 * its weights. */
void si_endpoint_restart (SiEndpoint *endpoint);
/* Breaks all its streams off, as when its process ends. */
void si_endpoint_break_streams (SiEndpoint *endpoint);

#endif
