#ifndef LN_DIALECT_H
#define LN_DIALECT_H

#include "lc-batch.h"
#include "lc-desired.h"
#include "lc-roster.h"
#include "ln-exchange.h"

/* How a deployment's callers, endpoints and store spell what this product means: names, formats and
 * calls, and nothing that decides. With a dialect the node runs on a shared platform; without one
 * it speaks its own interface (docs/API.md). All functions are pure translations. */

struct LhFetch;
struct evbuffer;

typedef enum
{
  LN_INBOUND_RESOLVE,      /* which instances a caller shall connect to */
  LN_INBOUND_READINESS,    /* whether this instance may be sent callers */
  LN_INBOUND_RESULTS,      /* the results of a batch */
  LN_INBOUND_ITEM,         /* the body of a batch's item */
  LN_INBOUND_DELETE_BATCH, /* ends a batch */
  LN_INBOUND_ROUTED        /* a request for the service of its route */
} LnInboundKind;

/* What a caller's request asks for. Pointers are valid as long as the exchange. */
typedef struct
{
  LnInboundKind kind;
  const char *id;   /* of the request, chosen by its caller; NULL: none */
  const char *key;  /* by which its organisation is known; NULL: none */
  size_t n_keys;    /* that it brings */
  const char *host; /* that selects the route; "" when absent */
  LbTime deadline;  /* from now; 0: none was stated */
  const char *model;
  int64_t prompt_tokens;
  int64_t max_tokens;
  LbName batch;     /* RESULTS, ITEM, END */
  const char *item; /* ITEM; NULL: none */
  int64_t position; /* RESULTS: of the first result that is wanted */
  LbTime wait;      /* RESULTS: how long to wait for one */
} LnInbound;

/* One attempt's own words beside what its caller wrote. */
typedef struct
{
  LbTime time_left;         /* 0: nothing is said */
  const char *endpoint;     /* that alone may run it */
  int64_t resume_at;        /* events that came before; 0: from the start */
  const char *organisation; /* whose request it is; NULL or "": nobody's in particular */
  bool is_sample;
} LnAttemptHeaders;

/* What an endpoint's reply says of the request. */
typedef enum
{
  LN_REPLY_ANSWER,        /* the endpoint's own answer, whatever its status */
  LN_REPLY_FAILURE,       /* it ran, or may have, and failed */
  LN_REPLY_UNPROCESSABLE, /* it can never be done */
  LN_REPLY_NOT_RUN,       /* busy, or the time was over */
  LN_REPLY_WRONG_ENDPOINT /* not run: another endpoint lives at this address now */
} LnReplyClass;

typedef const char *(*LnHeaderLookup) (const void *source, const char *name);

/* One event of an engine's stream. */
typedef struct
{
  int64_t number;    /* from 1 on, without gaps */
  LcVersion version; /* as the event says; 0: as the one before */
  const char *data;
  size_t length;
} LnStreamEvent;

typedef struct LnStreamReader LnStreamReader;
typedef void (*LnStreamHandler) (const LnStreamEvent *event, void *user);

/* A load that an endpoint states beside its replies. */
typedef struct
{
  bool is_reported;
  int64_t running;
  int64_t waiting;
} LnReportedLoad;

typedef enum
{
  LN_ORDER_ACCEPTED,
  LN_ORDER_ALREADY_DONE, /* the endpoint already has what was ordered */
  LN_ORDER_BUSY,         /* another order is in progress, or one came in between */
  LN_ORDER_STALE_FENCE,
  LN_ORDER_REFUSED
} LnOrderOutcome;

/* What becomes of the streams that run at an engine while its weights change. */
typedef enum
{
  LN_SWAP_DRAIN,       /* the engine waits for their end */
  LN_SWAP_ABORT,       /* they are cut off */
  LN_SWAP_KEEP_STREAMS /* they go on under the new weights */
} LnSwapMode;

typedef struct
{
  const char *endpoint;
  const char *model;
  LcVersion version;
  const char *holder;
  int64_t fence;
  LnSwapMode mode;
  int64_t orders_before; /* that the endpoint has accepted; another count there refuses this one */
} LnWeightsOrder;

/* Which start of an engine was asked, and of what. */
typedef struct
{
  const char *endpoint;
  const char *model;
} LnEngineStateQuery;

typedef struct
{
  LcVersion version;       /* 0: the engine does not have the model */
  int64_t orders_accepted; /* that it has accepted since its start */
  bool busy;               /* an order is in progress */
} LnEngineState;

/* Calls to the platform that only one instance may make at a time. */
typedef enum
{
  LN_PLATFORM_USAGE, /* reports how much each organisation used */
  LN_PLATFORM_SCALE, /* orders endpoints */
  LN_PLATFORM_OTHER  /* nothing that this product knows */
} LnPlatformDuty;

typedef struct
{
  const char *holder;
  int64_t fence;
} LnDutyHolder;

/* How many endpoints a service shall have in one data centre. */
typedef struct
{
  const char *service;
  const char *data_centre;
  int64_t endpoints;
  bool is_spot; /* of the kind that costs less and may be taken away */
} LnScaleOrder;

typedef enum
{
  LN_DUTY_DONE,
  LN_DUTY_NO_ANSWER, /* it may have been carried out, or be later */
  LN_DUTY_BUSY,      /* too many calls, or the platform is not well */
  LN_DUTY_REFUSED    /* a younger holder was there, or what is asked for can't be had */
} LnDutyOutcome;

/* What a row of the operators' table holds. */
typedef enum
{
  LN_ROW_OTHER,
  LN_ROW_DESIRED,
  LN_ROW_VERSION
} LnOperatorRowKind;

typedef struct LnDialect
{
  /* callers */
  void (*read_inbound) (const LnExchange *exchange, LnInbound *inbound);
  bool (*read_batch) (
      const char *body, size_t length, const char *id, LcBatchSpec *spec, LbError *error);
  /* The results as they come, as many as the reader may be given at once. */
  char *(*write_results) (int64_t total,
                          int64_t position,
                          const LcBatchResult *results,
                          size_t n_results,
                          size_t *length);
  char *(*write_resolve_reply) (const char *const *addresses, size_t n_addresses, LbTime ttl);

  /* endpoints */
  /* Set anew for each attempt, of one connection, or meant for this system alone. */
  bool (*is_own_header) (const char *name);
  void (*write_attempt_headers) (const LnAttemptHeaders *words, LcOutgoing *outgoing);
  LnReplyClass (*classify_reply) (int status, LnHeaderLookup header, const void *source);
  /* Whether the reply names this request; one that names another belongs to that one. */
  bool (*is_reply_to) (const char *id, LnHeaderLookup header, const void *source);
  void (*read_load) (LnHeaderLookup header, const void *source, LnReportedLoad *load);
  const char *(*read_score) (LnHeaderLookup header, const void *source);
  LcVersion (*read_first_version) (LnHeaderLookup header, const void *source);
  LnStreamReader *(*stream_new) (LnStreamHandler handler, void *user);
  bool (*stream_feed) (LnStreamReader *reader, const char *bytes, size_t length);
  void (*stream_free) (LnStreamReader *reader);
  void (*write_order) (const LnWeightsOrder *order, LcOutgoing *outgoing);
  LnOrderOutcome (*classify_order_reply) (int status);
  /* What an engine states of a model when asked at engine_state_path. */
  const char *engine_state_path;
  bool (*read_engine_state) (const LnEngineStateQuery *question,
                             const char *text,
                             size_t length,
                             LnEngineState *state,
                             LbError *error);

  /* the platform beside its store */
  LnPlatformDuty (*parse_duty_name) (const char *name);
  /* counts: JSON, requests by organisation. */
  void (*write_usage) (const LnDutyHolder *words,
                       int64_t window,
                       const char *counts,
                       LcOutgoing *outgoing);
  void (*write_scale) (const LnDutyHolder *words, const LnScaleOrder *order, LcOutgoing *outgoing);
  LnDutyOutcome (*classify_duty_reply) (int status);

  /* the store */
  const char *operator_table;
  const char *operator_key_prefix; /* what the keys of that table's rows begin with */
  const char *endpoint_key_prefix; /* what the keys of endpoints begin with */
  LnOperatorRowKind (*classify_operator_row) (const char *key);
  LcDesired *(*read_desired) (const char *text, LbError *error);
  bool (*read_version) (const char *text, LbName model, LcVersion *version, LbError *error);
  bool (*parse_registration) (const char *key,
                              const char *text,
                              LcRegistration *listed,
                              LbError *error);
  const char *registration_counter_prefix; /* before the number in it that counts its writes */
} LnDialect;

#endif
