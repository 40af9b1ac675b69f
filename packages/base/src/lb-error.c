#include "lb-error.h"

#include "lb-alloc.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  const char *name;
  int http_status;
  bool proves_not_run;
} ErrorTypeInfo;

static const ErrorTypeInfo error_types[LB_N_ERRORS] = {
  [LB_OK] = { "ok", 200, false },
  [LB_ERROR_BAD_REQUEST] = { "bad_request", 400, true },
  [LB_ERROR_BAD_JSON] = { "bad_json", 400, true },
  [LB_ERROR_BAD_VALUE] = { "bad_value", 400, true },
  [LB_ERROR_UNKNOWN_KEY] = { "unknown_key", 400, true },
  [LB_ERROR_MISSING_KEY] = { "missing_key", 400, true },
  [LB_ERROR_OUT_OF_RANGE] = { "out_of_range", 400, true },
  [LB_ERROR_BODY_TOO_LARGE] = { "body_too_large", 413, true },
  [LB_ERROR_HEADER_TOO_LARGE] = { "header_too_large", 431, true },
  [LB_ERROR_TOO_SLOW] = { "too_slow", 408, true },
  [LB_ERROR_UNKNOWN_PATH] = { "unknown_path", 404, true },
  [LB_ERROR_UNKNOWN_POOL] = { "unknown_pool", 404, true },
  [LB_ERROR_UNKNOWN_SUBSCRIPTION] = { "unknown_subscription", 404, true },
  [LB_ERROR_UNKNOWN_SERVICE] = { "unknown_service", 404, true },
  [LB_ERROR_UNKNOWN_RESOURCE] = { "unknown_resource", 404, true },
  [LB_ERROR_UNKNOWN_STEP] = { "unknown_step", 404, true },
  [LB_ERROR_UNKNOWN_TICKET] = { "unknown_ticket", 404, true },
  [LB_ERROR_BAD_CURSOR] = { "bad_cursor", 409, true },
  [LB_ERROR_BAD_REFERENCE] = { "bad_reference", 400, true },
  [LB_ERROR_UNAUTHORIZED] = { "unauthorized", 401, true },
  [LB_ERROR_CONFLICT] = { "conflict", 409, true },
  [LB_ERROR_OVERLOADED] = { "overloaded", 503, true },
  [LB_ERROR_RATE_LIMITED] = { "rate_limited", 429, true },
  [LB_ERROR_NO_ENDPOINT] = { "no_endpoint", 503, true },
  [LB_ERROR_DRAINING] = { "draining", 503, true },
  [LB_ERROR_NOT_READY] = { "not_ready", 503, true },
  [LB_ERROR_DEADLINE_BEFORE_START] = { "deadline_before_start", 504, true },
  [LB_ERROR_ENDPOINT_REFUSED] = { "endpoint_refused", 503, true },
  [LB_ERROR_QUARANTINED] = { "quarantined", 503, true },
  [LB_ERROR_CANCELLED_BEFORE_START] = { "cancelled_before_start", 499, true },
  [LB_ERROR_OUTCOME_UNKNOWN] = { "outcome_unknown", 502, false },
  [LB_ERROR_STREAM_BROKEN] = { "stream_broken", 502, false },
  [LB_ERROR_DEADLINE] = { "deadline", 504, false },
  [LB_ERROR_ENDPOINT_FAILED] = { "endpoint_failed", 502, false },
  [LB_ERROR_REJECTED] = { "rejected", 422, false },
  [LB_ERROR_UNLABELLED] = { "unlabelled", 502, false },
  [LB_ERROR_STORE_AWAY] = { "store_away", 503, false },
  [LB_ERROR_STORE_UNKNOWN] = { "store_outcome_unknown", 503, false },
  [LB_ERROR_STORE_BUSY] = { "store_busy", 503, false },
  [LB_ERROR_CONDITION_FAILED] = { "condition_failed", 409, false },
  [LB_ERROR_NOT_FOUND] = { "not_found", 404, false },
  [LB_ERROR_STALE_FENCE] = { "stale_fence", 409, false },
  [LB_ERROR_STALE_SESSION] = { "stale_session", 409, false },
  [LB_ERROR_LEASE_HELD] = { "lease_held", 409, false },
  [LB_ERROR_FRAME_TOO_LARGE] = { "frame_too_large", 400, false },
  [LB_ERROR_FRAME_GARBLED] = { "frame_garbled", 400, false },
  [LB_ERROR_FRAME_VERSION] = { "frame_version", 400, false },
  [LB_ERROR_WRONG_KEY] = { "wrong_key", 401, false },
  [LB_ERROR_CLOSED] = { "closed", 502, false },
  [LB_ERROR_TIMEOUT] = { "timeout", 504, false },
  [LB_ERROR_IO] = { "io", 500, false },
  [LB_ERROR_INVARIANT] = { "invariant", 500, false },
  [LB_ERROR_INTERNAL] = { "internal", 500, false },
};

static const ErrorTypeInfo *
get_error_type_info (LbErrorCode code)
{
  return &error_types[(unsigned)code < LB_N_ERRORS ? code : LB_ERROR_INTERNAL];
}

/* Returns the name of the error type in replies, logs and metrics; the name never changes. */
const char *
lb_error_name (LbErrorCode code)
{
  return get_error_type_info (code)->name;
}

/* Returns the error type with this name, as given by lb_error_name; LB_ERROR_INTERNAL if there is
 * none. */
LbErrorCode
lb_error_from_name (const char *name)
{
  for (int code = 0; code < LB_N_ERRORS; code++)
    if (strcmp (error_types[code].name, name) == 0)
      return (LbErrorCode)code;
  return LB_ERROR_INTERNAL;
}

int
lb_error_http_status (LbErrorCode code)
{
  return get_error_type_info (code)->http_status;
}

/* Whether an error of this type proves that no byte of the request reached an endpoint, so that the
 * request did not run. */
bool
lb_error_proves_request_not_run (LbErrorCode code)
{
  return get_error_type_info (code)->proves_not_run;
}

bool
lb_error_set (LbError *error, LbErrorCode code, const char *where, const char *format, ...)
{
  va_list args;

  if (!error)
    return false;
  error->code = code;
  LB_COPY (error->where, where ? where : "");
  va_start (args, format);
  vsnprintf (error->detail, sizeof error->detail, format, args);
  va_end (args);
  return false;
}
