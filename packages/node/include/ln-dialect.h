#ifndef LN_DIALECT_H
#define LN_DIALECT_H

#include "lc-batch.h"
#include "lc-desired.h"
#include "lc-roster.h"
#include "ln-exchange.h"

/* Codec between the node's types and the wire formats of a shared platform: formats for callers,
 * endpoints and the store. Without a dialect the node serves its own API (docs/API.md). The
 * functions only translate; they keep no state between calls and make no decisions. */

struct LhFetch;
struct evbuffer;

typedef enum
{
  LN_INBOUND_RESOLVE,      /* asks for addresses of instances to connect to */
  LN_INBOUND_READINESS,    /* asks whether this instance accepts callers */
  LN_INBOUND_RESULTS,      /* reads results of a batch */
  LN_INBOUND_ITEM,         /* reads the request body of a batch item */
  LN_INBOUND_DELETE_BATCH, /* ends a batch that its caller no longer needs */
  LN_INBOUND_ROUTED        /* any other request; the platform's route selects the service */
} LnInboundKind;

/* A parsed request of a caller. The pointers are valid until the exchange is freed. */
typedef struct
{
  LnInboundKind kind;
  const char *id;   /* request id set by the caller; NULL: none */
  const char *key;  /* API key, identifies the organisation; NULL: none */
  size_t n_keys;    /* number of API key headers in the request */
  const char *host; /* host name that selects the route; "": none */
  LbTime deadline;  /* time left until the deadline; 0: no deadline */
  const char *model;
  int64_t prompt_tokens;
  int64_t max_tokens;
  LbName batch;     /* id of the batch; set only for RESULTS, ITEM and DELETE_BATCH requests */
  const char *item; /* id of the batch item that an ITEM request reads; NULL: none */
  int64_t position; /* index of the first result that a RESULTS request reads */
  LbTime wait;      /* how long a RESULTS request waits if there is no result yet */
} LnInbound;

/* Values that the node sends to an endpoint as headers of one attempt, in addition to the caller's
 * headers. */
typedef struct
{
  LbTime time_left;         /* time until the deadline; 0: not sent */
  const char *endpoint;     /* name of the only endpoint that may run the request */
  int64_t resume_at;        /* number of stream events already received; 0: not resumed */
  const char *organisation; /* the caller's organisation; NULL or "": unknown */
  bool is_sample;           /* the request generates or scores text; if so, its id is sent */
} LnAttemptHeaders;

/* What an endpoint's reply says about the request. */
typedef enum
{
  LN_REPLY_ANSWER,        /* final answer, forwarded to the caller whatever its status */
  LN_REPLY_FAILURE,       /* the request failed and may have run */
  LN_REPLY_UNPROCESSABLE, /* the request is invalid for every endpoint */
  LN_REPLY_NOT_RUN,       /* not run: the endpoint is busy, or the deadline has passed */
  /* not run: another endpoint uses the address now, or a condition of the caller is not met */
  LN_REPLY_WRONG_ENDPOINT
} LnReplyClass;

/* Returns the value of the named header of a reply, or NULL if the reply does not have it. */
typedef const char *(*LnHeaderLookup) (const void *source, const char *name);

/* One event of an engine's response stream. */
typedef struct
{
  int64_t number;    /* consecutive number in the stream, from 1 on */
  LcVersion version; /* weight version; 0: the previous event's version */
  const char *data;
  size_t length;
} LnStreamEvent;

typedef struct LnStreamReader LnStreamReader;
typedef void (*LnStreamHandler) (const LnStreamEvent *event, void *user);

/* Load of an endpoint, read from a header of its reply. */
typedef struct
{
  bool is_reported; /* the reply states valid numbers of running and waiting requests */
  int64_t running;  /* number of requests that the endpoint processes */
  int64_t waiting;  /* number of requests in the endpoint's queue */
  int64_t slots;    /* number of requests that the endpoint can process at once; 0: not reported */
  /* present duration of work, in percent of the usual duration; 0: not reported */
  int64_t work_time_percent;
  int n_invalid_figures; /* number of figures that are missing, unreadable or out of range */
} LnReportedLoad;

/* Outcome of an order to an engine to load a weight version. */
typedef enum
{
  LN_ORDER_ACCEPTED,
  LN_ORDER_ALREADY_DONE, /* the engine already has the weight version */
  LN_ORDER_BUSY, /* the engine is executing another order, or its order count is not orders_before
                  */
  LN_ORDER_STALE_FENCE, /* the engine has seen a higher fencing number */
  LN_ORDER_REFUSED      /* the engine refused the order for another reason */
} LnOrderOutcome;

/* What an engine does with its running streams when it loads new weights. */
typedef enum
{
  LN_SWAP_DRAIN,       /* waits until the running streams have ended */
  LN_SWAP_ABORT,       /* truncates the running streams */
  LN_SWAP_KEEP_STREAMS /* continues the running streams with the new weights */
} LnSwapMode;

/* Order to an engine to load a weight version. */
typedef struct
{
  const char *endpoint;
  const char *model;
  LcVersion version;
  const char *holder; /* instance that holds the lease for weight orders */
  int64_t fence;      /* fencing token of the holder's lease */
  LnSwapMode mode;
  /* Expected number of orders that the engine has accepted. The engine refuses this order if the
   * engine's own count differs. */
  int64_t orders_before;
} LnWeightsOrder;

/* Selects the engine process and the model whose state is read. */
typedef struct
{
  const char *endpoint;
  const char *model;
} LnEngineStateQuery;

/* An engine's reply to a query of its state. */
typedef struct
{
  LcVersion version;       /* weight version of the model; 0: the engine does not have the model */
  int64_t orders_accepted; /* number of orders accepted since the engine started */
  bool busy;               /* the engine is carrying out an order */
} LnEngineState;

/* Kinds of calls to the platform's API for all instances together (duties). Only one instance at a
 * time makes the calls of each kind. */
typedef enum
{
  LN_PLATFORM_USAGE, /* reports the number of requests of each organisation */
  LN_PLATFORM_SCALE, /* sets the number of endpoints of services */
  LN_PLATFORM_OTHER  /* any other duty that the platform names; this node makes no calls for it */
} LnPlatformDuty;

/* Identifies the only instance that may make the calls of a duty now, the holder of the duty's
 * lease. Sent with each of these calls. */
typedef struct
{
  const char *holder; /* name of the instance */
  int64_t fence;      /* fencing token of the lease */
} LnDutyHolder;

/* Target number of endpoints of a service in one data centre. */
typedef struct
{
  const char *service;
  const char *data_centre;
  int64_t endpoints;
  bool is_spot; /* the endpoints are preemptible and cost less */
} LnScaleOrder;

/* Outcome of a duty's call to the platform. */
typedef enum
{
  LN_DUTY_DONE,
  LN_DUTY_NO_ANSWER, /* the call may have taken effect, or may still do so */
  LN_DUTY_BUSY,      /* rejected by a rate limit, or the platform failed */
  LN_DUTY_REFUSED    /* the fencing token is outdated, or the call is not available */
} LnDutyOutcome;

/* What a row of the operators' table contains. */
typedef enum
{
  LN_ROW_OTHER,
  LN_ROW_DESIRED, /* the routes and services that the operators want (the desired state) */
  LN_ROW_VERSION  /* the newest weight version of one model */
} LnOperatorRowKind;

typedef struct LnDialect
{
  /* Functions for requests of callers. */
  void (*read_inbound) (const LnExchange *exchange, LnInbound *inbound);
  bool (*read_batch) (
      const char *body, size_t length, const char *id, LcBatchSpec *spec, LbError *error);
  /* Returns a page with as many of the results as fit into its size limit, at least one. total:
   * number of items in the batch; position: index of results[0] in the batch. */
  char *(*write_results) (int64_t total,
                          int64_t position,
                          const LcBatchResult *results,
                          size_t n_results,
                          size_t *length);
  char *(*write_resolve_reply) (const char *const *addresses, size_t n_addresses, LbTime ttl);

  /* Functions for requests to endpoints and their replies. */
  /* Whether the node sets or removes the header itself instead of forwarding the caller's value. */
  bool (*is_own_header) (const char *name);
  /* Whether the caller set a condition, such as a weight version, under which an endpoint refuses
   * the request like one that is meant for another endpoint. */
  bool (*is_conditional_request) (const LcOutgoingRequest *outgoing);
  void (*write_attempt_headers) (const LnAttemptHeaders *headers, LcOutgoingRequest *outgoing);
  LnReplyClass (*classify_reply) (int status, LnHeaderLookup find_header, const void *source);
  /* Whether a reply may answer the request `id`: false when the reply contains the id of another
   * request. */
  bool (*is_reply_to) (const char *id, LnHeaderLookup find_header, const void *source);
  void (*read_load) (LnHeaderLookup find_header, const void *source, LnReportedLoad *load);
  const char *(*read_score) (LnHeaderLookup find_header, const void *source);
  LcVersion (*read_first_version) (LnHeaderLookup find_header, const void *source);
  LnStreamReader *(*stream_new) (LnStreamHandler handler, void *user);
  bool (*stream_feed) (LnStreamReader *reader, const char *bytes, size_t length);
  /* Whether the bytes so far end inside an event, so that the stream broke off if no more come. */
  bool (*stream_is_inside_event) (const LnStreamReader *reader);
  void (*stream_free) (LnStreamReader *reader);
  void (*write_order) (const LnWeightsOrder *order, LcOutgoingRequest *outgoing);
  LnOrderOutcome (*classify_order_reply) (int status);
  const char *engine_state_path; /* path of the GET request for an engine's state */
  bool (*read_engine_state) (const LnEngineStateQuery *query,
                             const char *text,
                             size_t length,
                             LnEngineState *state,
                             LbError *error);

  /* Functions for the platform's duty API. */
  LnPlatformDuty (*parse_duty_name) (const char *name);
  /* window: index of the reported time window; counts: JSON object with the number of requests of
   * each organisation. */
  void (*write_usage) (const LnDutyHolder *duty,
                       int64_t window,
                       const char *counts,
                       LcOutgoingRequest *outgoing);
  void (*write_scale) (const LnDutyHolder *duty,
                       const LnScaleOrder *order,
                       LcOutgoingRequest *outgoing);
  LnDutyOutcome (*classify_duty_reply) (int status);

  /* Names and functions for rows of the platform's store. */
  const char *operator_table;
  const char *operator_key_prefix; /* prefix of the row keys in operator_table */
  const char *endpoint_key_prefix; /* prefix of the row keys of endpoints */
  LnOperatorRowKind (*classify_operator_row) (const char *key);
  LcDesired *(*read_desired) (const char *text, LbError *error);
  bool (*read_version) (const char *text, LbName model, LcVersion *version, LbError *error);
  bool (*parse_registration) (const char *key,
                              const char *text,
                              LcRegistration *registration,
                              LbError *error);
  const char *registration_counter_prefix; /* text before the write counter in an endpoint's row */
} LnDialect;

#endif
