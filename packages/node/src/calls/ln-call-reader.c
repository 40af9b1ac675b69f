#include "ln-call-reader.h"

#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lb-settings.h"
#include "lh-request-check.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define PREFIX_BLOCK_BYTES 64
#define ESTIMATED_BYTES_PER_TOKEN 4
#define DEFAULT_MAX_TOKENS_OF_CALL 16
#define MAX_TOKENS_LIMIT 1000000
#define MAX_REQUEST_PRIORITY 10

void
ln_call_hash_prompt (LcRequestSpec *spec, const char *prompt, size_t length)
{
  size_t blocks = length / PREFIX_BLOCK_BYTES;

  if (blocks > LC_MAX_PREFIX_HASHES)
    blocks = LC_MAX_PREFIX_HASHES;
  for (size_t i = 0; i < blocks; i++)
    spec->prefix_hashes[i] = XXH64 (prompt, (i + 1) * PREFIX_BLOCK_BYTES, 0);
  spec->n_prefix_hashes = blocks;
  spec->prompt_tokens = (int64_t)(length / ESTIMATED_BYTES_PER_TOKEN) + 1;
}

static bool
parse_integer_header (const LnExchange *exchange,
                      const char *name,
                      int64_t min,
                      int64_t max,
                      int64_t *value,
                      LbError *error)
{
  const char *text = ln_exchange_header (exchange, name);
  char *end = NULL;

  if (!text)
    return true;
  long long number = strtoll (text, &end, 10);
  if (end == text || *end != '\0')
    return lb_error_set (error, LB_ERROR_BAD_VALUE, name, "expected an integer");
  if (number < min || number > max)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, name, "expected a number from %lld to %lld",
                         (long long)min, (long long)max);
  *value = number;
  return true;
}

static bool
is_flag_header_set (const LnExchange *exchange, const char *name)
{
  const char *value = ln_exchange_header (exchange, name);

  return value && strcmp (value, "1") == 0;
}

static bool
parse_call_headers (
    LcRequestSpec *spec, const LnExchange *exchange, LbTime now, LbTime deadline, LbError *error)
{
  const char *caller = ln_exchange_header (exchange, "x-caller");
  int64_t priority = 0;
  int64_t deadline_ms = deadline / LB_MSEC;

  if (!parse_integer_header (exchange, "x-priority", -MAX_REQUEST_PRIORITY, MAX_REQUEST_PRIORITY,
                             &priority, error)
      || !parse_integer_header (exchange, "x-deadline-ms", 0, 86400000, &deadline_ms, error))
    return false;
  if (caller && strlen (caller) >= sizeof spec->caller)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "x-caller", "expected at most %d bytes",
                         LB_NAME_MAX - 1);
  LB_COPY (spec->caller, caller && *caller ? caller : ln_exchange_caller_ip (exchange));
  spec->priority = (int)priority;
  spec->deadline = now + deadline_ms * LB_MSEC;
  if (is_flag_header_set (exchange, "x-not-repeatable") || ln_exchange_header (exchange, "x-ticket")
      || ln_exchange_header (exchange, "idempotency-key"))
    spec->repeatable = false;
  spec->resumable = spec->resumable && spec->repeatable;
  return true;
}

static bool
parse_model (LnCall *call, struct json_object *body, LbError *error)
{
  struct json_object *model = lb_json_member (body, "model");

  if (!model)
    return lb_error_set (error, LB_ERROR_MISSING_KEY, "model",
                         "expected the name of a pool as a string");
  if (!json_object_is_type (model, json_type_string))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "model",
                         "expected the name of a pool as a string");
  if (json_object_get_string_len (model) >= LB_NAME_MAX)
    return lb_error_set (error, LB_ERROR_UNKNOWN_POOL, "model", "the name is too long for a pool");
  LB_COPY (call->spec.pool, json_object_get_string (model));
  return true;
}

static bool
parse_generation_options (LnCall *call, struct json_object *body, LbError *error)
{
  struct json_object *max_tokens = lb_json_member (body, "max_tokens");
  struct json_object *stream = lb_json_member (body, "stream");
  struct json_object *n = lb_json_member (body, "n");

  call->spec.expected_tokens = DEFAULT_MAX_TOKENS_OF_CALL;
  if (max_tokens)
    {
      if (!json_object_is_type (max_tokens, json_type_int))
        return lb_error_set (error, LB_ERROR_BAD_VALUE, "max_tokens", "expected an integer");
      call->spec.expected_tokens = json_object_get_int64 (max_tokens);
      if (call->spec.expected_tokens < 1 || call->spec.expected_tokens > MAX_TOKENS_LIMIT)
        return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "max_tokens",
                             "expected a number from 1 to %d", MAX_TOKENS_LIMIT);
    }
  if (stream && !json_object_is_type (stream, json_type_boolean))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "stream", "expected true or false");
  call->wants_stream = json_object_get_boolean (stream);
  if (n && json_object_get_int64 (n) != 1)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "n",
                         "expected 1: only one choice is supported");
  return true;
}

static bool
parse_prompt (LnCall *call, struct json_object *body, LbError *error)
{
  struct json_object *prompt = lb_json_member (body, "prompt");

  if (!prompt)
    return lb_error_set (error, LB_ERROR_MISSING_KEY, "prompt", "expected a string");
  if (!json_object_is_type (prompt, json_type_string))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "prompt", "expected a string");
  ln_call_hash_prompt (&call->spec, json_object_get_string (prompt),
                       (size_t)json_object_get_string_len (prompt));
  return true;
}

static bool
validate_chat_message (struct json_object *message, size_t index, LbError *error)
{
  char where[48];

  snprintf (where, sizeof where, "messages[%zu]", index);
  if (!json_object_is_type (message, json_type_object))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where, "expected an object");
  if (!json_object_is_type (lb_json_member (message, "role"), json_type_string))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where, "expected a string as role");
  if (!json_object_is_type (lb_json_member (message, "content"), json_type_string))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where, "expected a string as content");
  return true;
}

static bool
parse_chat_messages (LnCall *call, struct json_object *body, LbError *error)
{
  struct json_object *messages = lb_json_member (body, "messages");

  if (!messages)
    return lb_error_set (error, LB_ERROR_MISSING_KEY, "messages",
                         "expected a non-empty array of messages");
  if (!json_object_is_type (messages, json_type_array) || json_object_array_length (messages) == 0)
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "messages",
                         "expected a non-empty array of messages");
  for (size_t i = 0; i < json_object_array_length (messages); i++)
    if (!validate_chat_message (json_object_array_get_idx (messages, i), i, error))
      return false;
  const char *text = json_object_to_json_string_ext (messages, JSON_C_TO_STRING_PLAIN);
  ln_call_hash_prompt (&call->spec, text, strlen (text));
  return true;
}

static bool
parse_engine_call (LnCall *call, const LnExchange *exchange, LbError *error)
{
  size_t length;
  const char *text = ln_exchange_body (exchange, &length);
  struct json_object *body = lb_settings_parse (text, length, "body", error);

  call->body = body;
  if (!body)
    return false;
  if (!json_object_is_type (body, json_type_object))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "body", "expected an object");
  if (!parse_model (call, body, error) || !parse_generation_options (call, body, error))
    return false;
  if (call->kind == LN_CALL_CHAT)
    return parse_chat_messages (call, body, error);
  return parse_prompt (call, body, error);
}

static void
add_header_to_call (const char *name, const char *value, void *user)
{
  LnCall *call = user;

  if (lh_is_hop_by_hop_header (name))
    return;
  call->headers = lb_realloc (call->headers, (call->n_headers + 1) * sizeof (LhHeader));
  call->headers[call->n_headers++]
      = (LhHeader){ .name = lb_strdup (name), .value = lb_strdup (value) };
}

static bool
is_idempotent_method (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0 || strcmp (method, "PUT") == 0
         || strcmp (method, "DELETE") == 0;
}

static bool
parse_service_call (LnCall *call, const LnExchange *exchange, LbError *error)
{
  const char *name = ln_exchange_path (exchange) + strlen ("/services/");
  const char *slash = strchr (name, '/');
  const char *query = ln_exchange_get_raw_query (exchange);
  size_t name_length = slash ? (size_t)(slash - name) : strlen (name);
  size_t length;

  if (!lh_method_is_supported (ln_exchange_method (exchange)))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "method", "the method is not supported");
  if (name_length == 0 || name_length >= LB_NAME_MAX)
    return lb_error_set (error, LB_ERROR_UNKNOWN_SERVICE, "path", "expected /services/NAME/PATH");
  memcpy (call->spec.pool, name, name_length);
  call->method = lb_strdup (ln_exchange_method (exchange));
  call->path = lb_asprintf ("%s%s%s", slash ? slash : "/", query ? "?" : "", query ? query : "");
  const char *body = ln_exchange_body (exchange, &length);
  call->raw_body = lb_memdup (body, length + 1);
  call->raw_length = length;
  ln_exchange_foreach_request_header (exchange, add_header_to_call, call);
  call->spec.repeatable
      = is_idempotent_method (call->method) || is_flag_header_set (exchange, "x-repeatable");
  call->spec.expected_tokens = 1;
  return true;
}

static LnCallKind
get_call_kind_of_path (const char *path)
{
  if (strncmp (path, "/services/", strlen ("/services/")) == 0)
    return LN_CALL_SERVICE;
  return strcmp (path, "/v1/chat/completions") == 0 ? LN_CALL_CHAT : LN_CALL_COMPLETION;
}

LnCall *
ln_call_parse (const LnExchange *exchange, LbTime now, LbTime deadline, LbError *error)
{
  LnCall *call = ln_call_new (get_call_kind_of_path (ln_exchange_path (exchange)));
  bool is_service = call->kind == LN_CALL_SERVICE;

  call->spec.kind = is_service ? LC_KIND_SERVICE : LC_KIND_LIVE;
  call->spec.repeatable = true;
  call->spec.resumable = !is_service;
  if (!(is_service ? parse_service_call (call, exchange, error)
                   : parse_engine_call (call, exchange, error))
      || !parse_call_headers (&call->spec, exchange, now, deadline, error))
    {
      ln_call_free (call);
      return NULL;
    }
  call->spec.delivery = call->wants_stream ? LC_DELIVER_STREAM : LC_DELIVER_BUFFERED;
  return call;
}
