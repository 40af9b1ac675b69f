#ifndef LN_EXCHANGE_H
#define LN_EXCHANGE_H

#include "ln-task.h"

struct json_object;

/* One HTTP request of a caller, trainer or operator, and its reply. The front task reads the whole
 * request, enforces size and time limits, and posts LN_EXCHANGE to the task of the matching route.
 * That task owns the exchange until it has replied. If the caller disconnects first, the owner gets
 * LN_CALLER_DISCONNECTED; the exchange stays valid until the owner calls ln_exchange_end or a reply
 * function. */
typedef struct LnExchange LnExchange;

typedef struct
{
  const char *method; /* NULL: any method */
  const char *prefix; /* prefix of the path; the route with the longest match wins */
  const char *task;   /* name of the task that handles the request */
} LnRoute;

uint64_t ln_exchange_id (const LnExchange *exchange);
/* Returns when the first bytes of the request arrived. */
LbTime ln_exchange_get_start_time (const LnExchange *exchange);
const char *ln_exchange_method (const LnExchange *exchange);
const char *ln_exchange_path (const LnExchange *exchange); /* path without the query */
const char *ln_exchange_get_query_parameter (const LnExchange *exchange,
                                             const char *key); /* NULL: no such key */
const char *ln_exchange_header (const LnExchange *exchange, const char *name);
/* Number of occurrences of the header in the request. */
size_t ln_exchange_count_request_header (const LnExchange *exchange, const char *name);
/* Returns the body, followed by a NUL that length does not count. */
const char *ln_exchange_body (const LnExchange *exchange, size_t *length);
const char *ln_exchange_caller_ip (const LnExchange *exchange);
void ln_exchange_set_owner (LnExchange *exchange, LnTask *owner);
void ln_exchange_set_reply_header (LnExchange *exchange, const char *name, const char *value);

/* The ln_exchange_reply_ functions send the complete reply and free the exchange.
 * ln_exchange_reply_json takes ownership of object. */
void ln_exchange_reply_json (LnExchange *exchange, int status, struct json_object *object);
void ln_exchange_reply_text (
    LnExchange *exchange, int status, const char *type, const char *text, size_t length);
/* Replies with the body {"error":{"type","message","where","not_run"}}, and with the headers
 * Retry-After and x-not-run where they apply. A reply that already streams ends with an event that
 * has this body. */
void ln_exchange_reply_error (LnExchange *exchange, const LbError *error, LbTime retry_after);

/* A streamed reply consists of ln_exchange_start_stream, any number of ln_exchange_write_stream,
 * and ln_exchange_end, which frees the exchange. */
void ln_exchange_start_stream (LnExchange *exchange, int status, const char *type);
void ln_exchange_write_stream (LnExchange *exchange, const char *bytes, size_t length);
void ln_exchange_end (LnExchange *exchange);

#endif
