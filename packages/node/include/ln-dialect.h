#ifndef LN_DIALECT_H
#define LN_DIALECT_H

#include "lc-batch.h"
#include "lc-desired.h"
#include "lc-roster.h"
#include "ln-exchange.h"

/* Codec between the node's types and the wire formats of a shared platform: its callers, endpoints
 * and store. Without a dialect the node serves its own interface (docs/API.md). The functions only
 * translate; they have no state and make no decisions. */

struct LhFetch;
struct evbuffer;

typedef enum
{
  LN_INBOUND_RESOLVE,      /* addresses of the instances to connect to */
  LN_INBOUND_READINESS,    /* whether this instance accepts callers */
  LN_INBOUND_RESULTS,      /* the results of a batch */
  LN_INBOUND_ITEM,         /* the request body of a batch item */
  LN_INBOUND_DELETE_BATCH, /* ends a batch */
  LN_INBOUND_ROUTED        /* a request that a route maps to a service */
} LnInboundKind;

/* A parsed request of a caller. Pointers are valid as long as the exchange. */
typedef struct
{
  LnInboundKind kind;
  const char *id;   /* request id set by the caller; NULL: none */
  const char *key;  /* API key, identifies the organisation; NULL: none */
  size_t n_keys;    /* number of API key headers */
  const char *host; /* selects the route; "" when absent */
  LbTime deadline;  /* time left from now; 0: no deadline */
  const char *model;
  int64_t prompt_tokens;
  int64_t max_tokens;
  LbName batch;     /* RESULTS, ITEM, DELETE_BATCH */
  const char *item; /* ITEM: id of the item; NULL: none */
  int64_t position; /* RESULTS: index of the first result to return */
  LbTime wait;      /* RESULTS: longest wait for a result */
} LnInbound;

/* Values that are sent as headers of one attempt, in addition to the caller's headers. */
typedef struct
{
  LbTime time_left;         /* until the deadline; 0: none is sent */
  const char *endpoint;     /* the only one that may run the request */
  int64_t resume_at;        /* number of events already received; 0: from the start */
  const char *organisation; /* of the caller; NULL or "": unknown */
  bool is_sample;
} LnAttemptHeaders;

/* What an endpoint's reply proves about the request. */
typedef enum
{
  LN_REPLY_ANSWER,        /* a final answer, to be passed on with any status */
  LN_REPLY_FAILURE,       /* failed after it ran or may have run */
  LN_REPLY_UNPROCESSABLE, /* no endpoint can process it */
  LN_REPLY_NOT_RUN,       /* endpoint busy, or deadline passed */
  LN_REPLY_WRONG_ENDPOINT /* not run: the address belongs to another endpoint now */
} LnReplyClass;

/* Value of a reply's header; NULL: the reply has no such header. */
typedef const char *(*LnHeaderLookup) (const void *source, const char *name);

/* One event of an engine's response stream. */
typedef struct
{
  int64_t number;    /* from 1 on, without gaps */
  LcVersion version; /* of the weights; 0: same as the event before */
  const char *data;
  size_t length;
} LnStreamEvent;

typedef struct LnStreamReader LnStreamReader;
typedef void (*LnStreamHandler) (const LnStreamEvent *event, void *user);

/* Load that an endpoint reports in a header of its replies. */
typedef struct
{
  bool is_reported; /* the reply has a valid load header */
  int64_t running;  /* number of requests that it processes */
  int64_t waiting;  /* number of requests that it has queued */
} LnReportedLoad;

typedef enum
{
  LN_ORDER_ACCEPTED,
  LN_ORDER_ALREADY_DONE, /* the endpoint already has the version */
  LN_ORDER_BUSY,         /* another order is in progress, or orders_before is outdated */
  LN_ORDER_STALE_FENCE,  /* the endpoint knows a higher fencing number */
  LN_ORDER_REFUSED       /* for any other reason */
} LnOrderOutcome;

/* How an engine treats its running streams when it changes weights. */
typedef enum
{
  LN_SWAP_DRAIN,       /* waits for them to end */
  LN_SWAP_ABORT,       /* truncates them */
  LN_SWAP_KEEP_STREAMS /* continues them with the new weights */
} LnSwapMode;

typedef struct
{
  const char *endpoint;
  const char *model;
  LcVersion version;
  const char *holder;
  int64_t fence;
  LnSwapMode mode;
  /* Number of orders that the endpoint has accepted; it refuses the order if the count differs. */
  int64_t orders_before;
} LnWeightsOrder;

/* A query of an engine's state: which incarnation of the engine, and which model. */
typedef struct
{
  const char *endpoint;
  const char *model;
} LnEngineStateQuery;

typedef struct
{
  LcVersion version;       /* 0: the engine does not have the model */
  int64_t orders_accepted; /* since the engine's start */
  bool busy;               /* an order is in progress */
} LnEngineState;

/* Duties with calls to the platform that only one instance may make at a time. */
typedef enum
{
  LN_PLATFORM_USAGE, /* reports the usage of each organisation */
  LN_PLATFORM_SCALE, /* orders endpoints for services */
  LN_PLATFORM_OTHER  /* unknown duty */
} LnPlatformDuty;

/* Lease holder and its fencing number, sent with each call of a duty. */
typedef struct
{
  const char *holder;
  int64_t fence;
} LnDutyHolder;

/* Target number of endpoints of a service in one data centre. */
typedef struct
{
  const char *service;
  const char *data_centre;
  int64_t endpoints;
  bool is_spot; /* preemptible endpoints at a lower price */
} LnScaleOrder;

typedef enum
{
  LN_DUTY_DONE,
  LN_DUTY_NO_ANSWER, /* the call may have taken effect, or may still do so */
  LN_DUTY_BUSY,      /* rate limit, or failure of the platform */
  LN_DUTY_REFUSED    /* fenced off by a newer holder, or not available */
} LnDutyOutcome;

/* Content of a row of the operators' table. */
typedef enum
{
  LN_ROW_OTHER,
  LN_ROW_DESIRED, /* the desired state: routes and services */
  LN_ROW_VERSION  /* the newest weight version of a model */
} LnOperatorRowKind;

typedef struct LnDialect
{
  /* requests of callers */
  void (*read_inbound) (const LnExchange *exchange, LnInbound *inbound);
  bool (*read_batch) (
      const char *body, size_t length, const char *id, LcBatchSpec *spec, LbError *error);
  /* Writes as many of the results as fit into one page. */
  char *(*write_results) (int64_t total,
                          int64_t position,
                          const LcBatchResult *results,
                          size_t n_results,
                          size_t *length);
  char *(*write_resolve_reply) (const char *const *addresses, size_t n_addresses, LbTime ttl);

  /* endpoints */
  /* Whether the node sets or removes the header, so that the caller's value is not forwarded. */
  bool (*is_own_header) (const char *name);
  void (*write_attempt_headers) (const LnAttemptHeaders *headers, LcOutgoingRequest *outgoing);
  LnReplyClass (*classify_reply) (int status, LnHeaderLookup find_header, const void *source);
  /* Whether the reply is for the request with this id, or names no request. */
  bool (*is_reply_to) (const char *id, LnHeaderLookup find_header, const void *source);
  void (*read_load) (LnHeaderLookup find_header, const void *source, LnReportedLoad *load);
  const char *(*read_score) (LnHeaderLookup find_header, const void *source);
  LcVersion (*read_first_version) (LnHeaderLookup find_header, const void *source);
  LnStreamReader *(*stream_new) (LnStreamHandler handler, void *user);
  bool (*stream_feed) (LnStreamReader *reader, const char *bytes, size_t length);
  void (*stream_free) (LnStreamReader *reader);
  void (*write_order) (const LnWeightsOrder *order, LcOutgoingRequest *outgoing);
  LnOrderOutcome (*classify_order_reply) (int status);
  const char *engine_state_path; /* answers a GET with the engine's state */
  bool (*read_engine_state) (const LnEngineStateQuery *query,
                             const char *text,
                             size_t length,
                             LnEngineState *state,
                             LbError *error);

  /* the platform's API other than its store */
  LnPlatformDuty (*parse_duty_name) (const char *name);
  /* counts: JSON object, number of requests by organisation. */
  void (*write_usage) (const LnDutyHolder *duty,
                       int64_t window,
                       const char *counts,
                       LcOutgoingRequest *outgoing);
  void (*write_scale) (const LnDutyHolder *duty,
                       const LnScaleOrder *order,
                       LcOutgoingRequest *outgoing);
  LnDutyOutcome (*classify_duty_reply) (int status);

  /* the store */
  const char *operator_table;
  const char *operator_key_prefix; /* of the rows of operator_table */
  const char *endpoint_key_prefix; /* of the rows of endpoints */
  LnOperatorRowKind (*classify_operator_row) (const char *key);
  LcDesired *(*read_desired) (const char *text, LbError *error);
  bool (*read_version) (const char *text, LbName model, LcVersion *version, LbError *error);
  bool (*parse_registration) (const char *key,
                              const char *text,
                              LcRegistration *registration,
                              LbError *error);
  const char *registration_counter_prefix; /* text before a row's write counter */
} LnDialect;

#endif
