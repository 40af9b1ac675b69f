#ifndef LB_ERROR_H
#define LB_ERROR_H

#include "lb-types.h"

/* Type of an error. The table in lb-error.c has for each type its name on the wire, its HTTP status
 * and whether it proves that the request did not run. */
typedef enum
{
  LB_OK = 0,
  /* group of errors for invalid input; the request did not run */
  LB_ERROR_BAD_REQUEST,
  LB_ERROR_BAD_JSON,
  LB_ERROR_BAD_VALUE,
  LB_ERROR_UNKNOWN_KEY,
  LB_ERROR_MISSING_KEY,
  LB_ERROR_OUT_OF_RANGE,
  LB_ERROR_BODY_TOO_LARGE,
  LB_ERROR_HEADER_TOO_LARGE,
  LB_ERROR_TOO_SLOW,
  LB_ERROR_UNKNOWN_PATH,
  LB_ERROR_UNKNOWN_POOL,
  LB_ERROR_UNKNOWN_SUBSCRIPTION,
  LB_ERROR_UNKNOWN_SERVICE,
  LB_ERROR_UNKNOWN_RESOURCE,
  LB_ERROR_UNKNOWN_STEP,
  LB_ERROR_UNKNOWN_TICKET,
  LB_ERROR_BAD_CURSOR,
  LB_ERROR_BAD_REFERENCE,
  LB_ERROR_UNAUTHORIZED,
  LB_ERROR_CONFLICT,
  /* rejected before any endpoint started the request; the request did not run */
  LB_ERROR_OVERLOADED,
  LB_ERROR_RATE_LIMITED,
  LB_ERROR_NO_ENDPOINT,
  LB_ERROR_DRAINING,
  LB_ERROR_NOT_READY,
  LB_ERROR_DEADLINE_BEFORE_START,
  LB_ERROR_ENDPOINT_REFUSED,
  LB_ERROR_CANCELLED_BEFORE_START,
  LB_ERROR_QUARANTINED, /* identical requests crashed endpoints before */
  /* failed after the request was sent to an endpoint; the request may have run */
  LB_ERROR_OUTCOME_UNKNOWN,
  LB_ERROR_STREAM_BROKEN,
  LB_ERROR_DEADLINE,
  LB_ERROR_ENDPOINT_FAILED,
  LB_ERROR_REJECTED, /* the endpoint can never serve this request */
  LB_ERROR_UNLABELLED,
  /* errors of the platform's store */
  LB_ERROR_STORE_AWAY,    /* the store is unavailable and did not apply the call */
  LB_ERROR_STORE_UNKNOWN, /* the store may have applied the write, or may still apply it */
  LB_ERROR_STORE_BUSY,    /* the store rejected the call by its rate limit and did not apply it */
  LB_ERROR_CONDITION_FAILED,
  LB_ERROR_NOT_FOUND,
  LB_ERROR_STALE_FENCE,   /* a newer fencing token has been used already */
  LB_ERROR_STALE_SESSION, /* another instance has since taken over the training step */
  LB_ERROR_LEASE_HELD,
  /* errors of message frames between instances, and of connections */
  LB_ERROR_FRAME_TOO_LARGE,
  LB_ERROR_FRAME_GARBLED,
  LB_ERROR_FRAME_VERSION,
  LB_ERROR_WRONG_KEY,
  LB_ERROR_CLOSED,
  LB_ERROR_TIMEOUT,
  /* errors inside this process */
  LB_ERROR_IO,
  LB_ERROR_INVARIANT,
  LB_ERROR_INTERNAL,
  LB_N_ERRORS
} LbErrorCode;

typedef struct
{
  LbErrorCode code;
  char where[192];  /* location of the error: file, line or key path; empty if there is none */
  char detail[192]; /* message that says what was found and what was expected */
} LbError;

const char *lb_error_name (LbErrorCode code);
LbErrorCode lb_error_from_name (const char *name);
int lb_error_http_status (LbErrorCode code);
bool lb_error_proves_request_not_run (LbErrorCode code);

/* Sets *error unless error is NULL. Always returns false, so that a function that reports failure
 * by false can return this call. */
bool lb_error_set (LbError *error, LbErrorCode code, const char *where, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

#endif
