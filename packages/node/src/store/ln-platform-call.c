#include "ln-platform-call.h"

#include "ln-fetch-outgoing.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lh-fetch.h"

#include <stdlib.h>

/* A call to the platform without a response for this time counts as lost; 10 times the duration of
 * a call on a slow platform. */
#define RESPONSE_TIMEOUT (2 * LB_SEC)
#define CONNECT_TIMEOUT (500 * LB_MSEC)

typedef struct
{
  LbLink link;
  LbList *calls; /* the caller's list of calls in progress, which contains this call */
  const LnContext *context;
  LhFetch *fetch;
  LnPlatformCallDone done;
  void *user;
  LbTime sent_at;
  LbName path; /* path of the request, for log lines */
} Call;

static void
finish_platform_call (Call *call, LnDutyOutcome outcome)
{
  lb_list_remove (call->calls, &call->link);
  call->done (outcome, call->user);
  free (call);
}

static LnDutyOutcome
classify_platform_call_result (const Call *call, const LhResult *result)
{
  if (result->failure == LB_OK)
    return call->context->dialect->classify_duty_reply (result->status);
  return result->bytes_handed ? LN_DUTY_NO_ANSWER : LN_DUTY_BUSY;
}

static void
on_platform_call_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Call *call = user;

  lb_log (result->failure == LB_OK && result->status == 200 ? LB_LOG_INFO : LB_LOG_WARNING,
          "platform_called", LB_TEXT ("path", call->path), LB_INT ("status", result->status),
          LB_TEXT ("error", lb_error_name (result->failure)),
          LB_INT ("took_us", lb_clock_monotonic () - call->sent_at));
  finish_platform_call (call, classify_platform_call_result (call, result));
}

/* Opens a new connection for each call: calls are seconds apart, and a connection that was idle for
 * seconds may have failed unnoticed. */
void
ln_platform_call_start (const LnContext *context,
                        LbList *calls,
                        const LcOutgoingRequest *outgoing,
                        LnPlatformCallDone done,
                        void *user)
{
  const LhHandlers handlers = { .on_done = on_platform_call_done };
  const LhRequest request = { .address = context->settings->duties.address,
                              .connect_timeout = CONNECT_TIMEOUT,
                              .idle_timeout = RESPONSE_TIMEOUT,
                              .max_duration = CONNECT_TIMEOUT + RESPONSE_TIMEOUT,
                              .fresh_connection = true };
  Call *call = LB_NEW (Call);
  LbError error = { 0 };

  *call = (Call){
    .calls = calls, .context = context, .done = done, .user = user, .sent_at = lb_clock_monotonic ()
  };
  LB_COPY (call->path, outgoing->path);
  lb_list_append (calls, &call->link);
  call->fetch = ln_fetch_start_outgoing (context, outgoing, &request, &handlers, call, &error);
  if (call->fetch)
    return;
  lb_log_error (LB_LOG_WARNING, "platform_not_called", &error);
  finish_platform_call (call, LN_DUTY_BUSY);
}

void
ln_platform_calls_cancel (LbList *calls)
{
  LB_LIST_FOREACH (calls, Call, link, call)
  {
    lh_fetch_cancel (call->fetch);
    finish_platform_call (call, LN_DUTY_NO_ANSWER);
  }
}
