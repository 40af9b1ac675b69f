#include "ln-admission.h"

#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

static LbMetric calls_refused
    = LB_COUNTER_INIT ("lentilspindle_calls_without_key_total",
                       NULL,
                       "Calls refused because of a missing or invalid key");

void
ln_admission_state_update (LnAdmissionState *state, const LnDesiredMessage *message)
{
  lc_desired_unref (state->desired);
  state->desired = lc_desired_ref (message->desired);
  state->confirmed_at = lb_clock_monotonic ();
}

void
ln_admission_check_request (const LnContext *context,
                            const LnAdmissionState *state,
                            bool is_public,
                            const LnInbound *inbound,
                            LcAdmission *admission)
{
  const LnSettings *settings = context->settings;
  const LcAdmissionRules rules
      = { .refuse_unconfirmed = settings->keys.refuse_unconfirmed,
          .max_unconfirmed_age = settings->keys.longest_unconfirmed_ms * LB_MSEC };
  const LcAdmissionView view
      = { .organisations = state->desired->organisations, .confirmed_at = state->confirmed_at };
  const LcAdmissionCall call
      = { .key = inbound->key, .n_keys = inbound->n_keys, .is_public = is_public };

  lc_admission_decide (&rules, &view, &call, lb_clock_monotonic (), admission);
}

void
ln_admission_refuse_request (LnExchange *exchange,
                             const LnAdmissionState *state,
                             const LnInbound *inbound,
                             const LcAdmission *admission)
{
  LbTime age = lb_clock_monotonic () - state->confirmed_at;
  char key_log_id[LC_KEY_LOG_ID_SIZE] = "";
  LbError error = { 0 };

  if (admission->has_digest)
    lc_key_format_log_id (&admission->digest, key_log_id);
  lb_metric_add (&calls_refused, 1);
  lb_log (LB_LOG_INFO, "call_not_admitted", LB_TEXT ("id", inbound->id),
          LB_TEXT ("batch", inbound->batch), LB_TEXT ("path", ln_exchange_path (exchange)),
          LB_TEXT ("key", key_log_id), LB_TEXT ("error", lb_error_name (admission->error)),
          LB_TEXT ("reason", admission->reason), LB_INT ("desired", state->desired->version),
          LB_INT ("desired_age_ms", age / LB_MSEC));
  lb_error_set (&error, admission->error, "", "%s", admission->reason);
  ln_exchange_reply_error (exchange, &error, admission->retry_after);
}
