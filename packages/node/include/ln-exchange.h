#ifndef LN_EXCHANGE_H
#define LN_EXCHANGE_H

#include "ln-task.h"

struct json_object;

/* One HTTP request of a caller, trainer or operator, and its reply. The front task reads the
 * request whole, checks sizes and times, and posts LN_EXCHANGE to the task whose route matched;
 * that task owns it until it has replied. When the caller goes away first, LN_CALLER_DISCONNECTED
 * is posted to the owner; the exchange stays valid until the owner calls ln_exchange_end or a reply
 * function. */
typedef struct LnExchange LnExchange;

typedef struct
{
  const char *method; /* NULL: any */
  const char *prefix; /* longest match wins */
  const char *task;   /* name of the task that answers */
} LnRoute;

uint64_t ln_exchange_id (const LnExchange *exchange);
const char *ln_exchange_method (const LnExchange *exchange);
const char *ln_exchange_path (const LnExchange *exchange);                   /* without the query */
const char *ln_exchange_query (const LnExchange *exchange, const char *key); /* NULL when absent */
const char *ln_exchange_header (const LnExchange *exchange, const char *name);
/* How often the request has the header. */
size_t ln_exchange_count_header (const LnExchange *exchange, const char *name);
const char *ln_exchange_body (const LnExchange *exchange, size_t *length); /* ended by NUL */
const char *ln_exchange_caller_ip (const LnExchange *exchange);            /* IP of the caller */
void ln_exchange_set_owner (LnExchange *exchange, LnTask *owner);
void ln_exchange_set_header (LnExchange *exchange, const char *name, const char *value);

/* Final replies; the exchange is gone after them. The object is taken over. */
void ln_exchange_reply_json (LnExchange *exchange, int status, struct json_object *object);
void ln_exchange_reply_text (
    LnExchange *exchange, int status, const char *type, const char *text, size_t length);
/* {"error":{"type","message","where","not_run"}} with Retry-After and x-not-run. */
void ln_exchange_reply_error (LnExchange *exchange, const LbError *error, LbTime retry_after);

/* A reply in pieces. After stream_start come pieces, then end. */
void ln_exchange_start_stream (LnExchange *exchange, int status, const char *type);
void ln_exchange_write_stream (LnExchange *exchange, const char *bytes, size_t length);
void ln_exchange_end (LnExchange *exchange);

#endif
