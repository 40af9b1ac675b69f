#include "ln-admission.h"

#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

static LbMetric refused
    = LB_COUNTER_INIT ("lentilspindle_calls_without_key_total",
                       NULL,
                       "Calls refused for the key that they brought, or did not");

void
ln_admission_state_update (LnAdmissionState *belief, const LnDesiredMessage *message)
{
  lc_desired_unref (belief->desired);
  belief->desired = lc_desired_ref (message->desired);
  belief->confirmed_at = lb_clock_monotonic ();
}

void
ln_admission_check (const LnContext *context,
                    const LnAdmissionState *belief,
                    bool is_public,
                    const LnInbound *in,
                    LcAdmission *admission)
{
  const LnSettings *settings = context->settings;
  const LcAdmissionRules rules
      = { .refuse_unconfirmed = settings->keys.refuse_unconfirmed,
          .max_unconfirmed_age = settings->keys.longest_unconfirmed_ms * LB_MSEC };
  const LcAdmissionView known
      = { .organisations = belief->desired->organisations, .confirmed_at = belief->confirmed_at };
  const LcAdmissionCall call = { .key = in->key, .n_keys = in->n_keys, .is_public = is_public };

  lc_admission_decide (&rules, &known, &call, lb_clock_monotonic (), admission);
}

void
ln_admission_refuse (LnExchange *exchange,
                     const LnAdmissionState *belief,
                     const LnInbound *in,
                     const LcAdmission *admission)
{
  LbTime age = lb_clock_monotonic () - belief->confirmed_at;
  char mark[LC_KEY_LOG_ID_SIZE] = "";
  LbError error = { 0 };

  if (admission->has_digest)
    lc_key_format_log_id (&admission->digest, mark);
  lb_metric_add (&refused, 1);
  lb_log (LB_LOG_INFO, "call_not_admitted", LB_TEXT ("id", in->id), LB_TEXT ("batch", in->batch),
          LB_TEXT ("path", ln_exchange_path (exchange)), LB_TEXT ("key", mark),
          LB_TEXT ("error", lb_error_name (admission->error)),
          LB_TEXT ("reason", admission->reason), LB_INT ("desired", belief->desired->version),
          LB_INT ("desired_age_ms", age / LB_MSEC));
  lb_error_set (&error, admission->error, "", "%s", admission->reason);
  ln_exchange_reply_error (exchange, &error, admission->retry_after);
}
