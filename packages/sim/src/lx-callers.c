#include "lx-callers.h"

#include "lx-world.h"

#include "lb-alloc.h"

#include <gsl/gsl_randist.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_PREFIX_FAMILIES 40
#define N_CALLER_NAMES 50
#define N_SHARED_PROMPT_BLOCKS 3
#define MODEL_CALL_PROMPT_TOKENS 256
#define CALL_TIMEOUT (60 * LB_SEC)
#define OVERDUE_GRACE_TIME (20 * LB_SEC)
#define OVERDUE_CHECK_INTERVAL (10 * LB_SEC)

/* A piece or the final result of a call, in transit to the caller. */
typedef struct
{
  LxCall *call;
  bool is_end;
  LbErrorCode error;
  uint64_t stream;
  LcPiece piece;
} Answer;

void
lx_callers_init (LxCallers *callers, LxWorld *world)
{
  memset (callers, 0, sizeof *callers);
  callers->world = world;
  callers->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (callers->random, world->options.seed * 31 + 7);
  lb_list_init (&callers->open_calls);
}

static void
remove_and_free_call (LxCallers *callers, LxCall *call)
{
  lb_list_remove (&callers->open_calls, &call->link);
  lx_text_clear (&call->text);
  free (call);
}

void
lx_callers_clear (LxCallers *callers)
{
  LB_LIST_FOREACH (&callers->open_calls, LxCall, link, call)
  {
    remove_and_free_call (callers, call);
  }
  gsl_rng_free (callers->random);
  free (callers->latencies_ms);
  free (callers->first_piece_latencies_ms);
}

static void
append_latency_ms (double **values, size_t *n, LbTime duration)
{
  if ((*n & (*n - 1)) == 0)
    *values = lb_realloc (*values, (*n ? 2 * *n : 1) * sizeof (double));
  (*values)[(*n)++] = (double)duration / LB_MSEC;
}

static void
check_and_record_complete_answer (LxCallers *callers, LxCall *call)
{
  LxWorld *world = callers->world;
  LbTime now = lx_world_now (world);

  callers->answered++;
  if (!lx_text_is_contiguous_from (&call->text, 0)
      || lx_text_count_tokens (&call->text) != call->total_tokens)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_NOT_WHOLE, now,
                               lx_world_get_event_number (world),
                               "answer of job %" PRIu64 " has %" PRId64 " of %" PRId64 " tokens",
                               call->job, lx_text_count_tokens (&call->text), call->total_tokens);
  if (call->kind != LC_KIND_LIVE)
    return;
  append_latency_ms (&callers->latencies_ms, &callers->n_latencies, now - call->sent_at);
  append_latency_ms (&callers->first_piece_latencies_ms, &callers->n_first_piece_latencies,
                     call->first_piece_at - call->sent_at);
}

static void
on_piece_or_result_arrived (void *owner, void *argument)
{
  LxCallers *callers = owner;
  Answer *answer = argument;
  LxCall *call = answer->call;

  if (!answer->is_end)
    {
      if (call->first_piece_at == 0)
        call->first_piece_at = lx_world_now (callers->world);
      lx_text_append (&call->text, answer->stream, answer->piece.offset, answer->piece.tokens);
      goto out;
    }
  if (call->result)
    {
      call->result->ended_at = lx_world_now (callers->world);
      call->result->error = answer->error;
    }
  if (answer->error == LB_OK)
    check_and_record_complete_answer (callers, call);
  else if (lb_error_proves_request_not_run (answer->error))
    callers->refused++;
  else
    callers->failed++;
  remove_and_free_call (callers, call);
out:
  free (answer);
}

static void
schedule_piece_or_result_arrival (LxCallers *callers, const Answer *answer)
{
  lx_world_schedule (callers->world, callers->world->options.site->client_latency,
                     on_piece_or_result_arrived, callers, lb_memdup (answer, sizeof *answer), free);
}

/* Schedules the arrival of a piece of the answer at the caller. */
void
lx_callers_schedule_piece_arrival (LxCallers *callers,
                                   LxCall *call,
                                   uint64_t stream,
                                   const LcPiece *piece)
{
  schedule_piece_or_result_arrival (callers,
                                    &(Answer){ .call = call, .stream = stream, .piece = *piece });
}

/* Schedules the arrival of the final result at the caller. The instance must not use the call
 * afterwards. */
void
lx_callers_schedule_result_arrival (LxCallers *callers, LxCall *call, LbErrorCode error)
{
  schedule_piece_or_result_arrival (callers,
                                    &(Answer){ .call = call, .is_end = true, .error = error });
}

static void
fill_model_request_spec (LxCallers *callers, LcRequestSpec *spec)
{
  /* Squaring makes prefix families with a low number more frequent, because on real sites a few
   * callers (shops, sorting offices) send most calls. */
  double draw = gsl_rng_uniform (callers->random);
  uint64_t family = (uint64_t)(N_PREFIX_FAMILIES * draw * draw);

  spec->kind = LC_KIND_LIVE;
  spec->delivery = LC_DELIVER_STREAM;
  spec->repeatable = true;
  spec->resumable = true;
  spec->prompt_tokens = MODEL_CALL_PROMPT_TOKENS;
  spec->expected_tokens = 64;
  spec->n_prefix_hashes = N_SHARED_PROMPT_BLOCKS + 1;
  for (size_t i = 0; i < N_SHARED_PROMPT_BLOCKS; i++)
    spec->prefix_hashes[i] = (family + 1) * 1000003 + i;
  spec->prefix_hashes[N_SHARED_PROMPT_BLOCKS] = ((uint64_t)1 << 40) + callers->n_calls;
  LB_COPY (spec->pool, callers->world->options.site->pool);
}

static void
fill_service_request_spec (LxCallers *callers, LcRequestSpec *spec)
{
  spec->kind = LC_KIND_SERVICE;
  spec->delivery = LC_DELIVER_BUFFERED;
  spec->repeatable = gsl_rng_uniform (callers->random) < 0.5;
  spec->expected_tokens = 1;
  LB_COPY (spec->pool, callers->world->options.site->service);
}

/* A call in transit to an instance. */
typedef struct
{
  LxCall *call;
  LcRequestSpec spec;
  LbName instance; /* name of the receiving instance; "": any instance */
} Submission;

static LxInstance *
choose_random_serving_instance (LxCallers *callers)
{
  LxWorld *world = callers->world;

  return lx_world_choose_serving_instance (world, gsl_rng_uniform_int (callers->random,
                                                                       world->n_instances));
}

static void
on_call_arrived_at_instance (void *owner, void *argument)
{
  LxCallers *callers = owner;
  Submission *submission = argument;
  LxWorld *world = callers->world;
  LxInstance *instance = submission->instance[0]
                             ? lx_world_find_instance (world, submission->instance)
                             : choose_random_serving_instance (callers);
  LbError error = { 0 };

  if (!instance || !instance->alive)
    lx_callers_schedule_result_arrival (callers, submission->call, LB_ERROR_NOT_READY);
  else if (!lx_instance_submit_call (instance, &submission->spec, submission->call->job,
                                     submission->call, &error))
    lx_callers_schedule_result_arrival (callers, submission->call, error.code);
  free (submission);
}

static Submission *
new_call_submission (LxCallers *callers, bool is_service_call)
{
  Submission *submission = LB_NEW (Submission);
  LxCall *call = LB_NEW (LxCall);

  callers->n_calls++;
  if (is_service_call)
    fill_service_request_spec (callers, &submission->spec);
  else
    fill_model_request_spec (callers, &submission->spec);
  submission->spec.deadline = lx_world_now (callers->world) + CALL_TIMEOUT;
  snprintf (submission->spec.caller, LB_NAME_MAX, "caller-%lu",
            gsl_rng_uniform_int (callers->random, N_CALLER_NAMES));
  call->kind = submission->spec.kind;
  call->total_tokens
      = is_service_call ? 1 : 32 + (int64_t)gsl_rng_uniform_int (callers->random, 64);
  call->sent_at = lx_world_now (callers->world);
  lb_list_append (&callers->open_calls, &call->link);
  submission->call = call;
  return submission;
}

static void
add_job_and_send_call (LxCallers *callers, Submission *submission)
{
  LxWorld *world = callers->world;
  LxCall *call = submission->call;

  call->job = lx_audit_add_job (&world->audit, &(LxJob){ .kind = call->kind,
                                                         .repeatable = submission->spec.repeatable,
                                                         .total_tokens = call->total_tokens });
  lx_world_schedule (world, world->options.site->client_latency, on_call_arrived_at_instance,
                     callers, submission, free);
}

void
lx_callers_submit_call (LxCallers *callers, const LxCallSpec *spec)
{
  Submission *submission = new_call_submission (callers, spec->is_service_call);

  submission->spec.repeatable = spec->repeatable;
  submission->spec.deadline = lx_world_now (callers->world) + spec->timeout;
  LB_COPY (submission->instance, spec->instance);
  if (!spec->is_service_call)
    submission->call->total_tokens = spec->tokens;
  submission->call->result = spec->result;
  add_job_and_send_call (callers, submission);
  spec->result->job = submission->call->job;
}

static LbTime
draw_call_interval (LxCallers *callers, double rate_per_second)
{
  return (LbTime)gsl_ran_exponential (callers->random, (double)LB_SEC / rate_per_second);
}

static void
on_model_call_due (void *owner, void *argument)
{
  LxCallers *callers = owner;

  (void)argument;
  add_job_and_send_call (callers, new_call_submission (callers, false));
  lx_world_schedule (callers->world,
                     draw_call_interval (callers, callers->world->options.calls_per_second),
                     on_model_call_due, callers, NULL, NULL);
}

static void
on_service_call_due (void *owner, void *argument)
{
  LxCallers *callers = owner;

  (void)argument;
  add_job_and_send_call (callers, new_call_submission (callers, true));
  lx_world_schedule (callers->world,
                     draw_call_interval (callers, callers->world->options.service_calls_per_second),
                     on_service_call_due, callers, NULL, NULL);
}

/* Reports calls that have no final answer OVERDUE_GRACE_TIME after their deadline. */
static void
report_calls_unanswered_after_deadline (void *owner, void *argument)
{
  LxCallers *callers = owner;
  LxWorld *world = callers->world;
  LbTime now = lx_world_now (world);

  (void)argument;
  LB_LIST_FOREACH (&callers->open_calls, LxCall, link, call)
  {
    if (call->is_reported_stuck || call->sent_at + CALL_TIMEOUT + OVERDUE_GRACE_TIME > now)
      continue;
    call->is_reported_stuck = true;
    lx_audit_report_violation (&world->audit, LX_VIOLATION_STUCK, now,
                               lx_world_get_event_number (world),
                               "call of job %" PRIu64 " has no answer after its deadline",
                               call->job);
  }
  lx_world_schedule (world, OVERDUE_CHECK_INTERVAL, report_calls_unanswered_after_deadline, callers,
                     NULL, NULL);
}

void
lx_callers_start (LxCallers *callers)
{
  lx_world_schedule (callers->world, LB_SEC, report_calls_unanswered_after_deadline, callers, NULL,
                     NULL);
  lx_world_schedule (callers->world, LB_SEC, on_model_call_due, callers, NULL, NULL);
  lx_world_schedule (callers->world, LB_SEC, on_service_call_due, callers, NULL, NULL);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

double
lx_callers_latency_percentile_ms (LxCallers *callers, double quantile)
{
  if (callers->n_latencies == 0)
    return 0;
  qsort (callers->latencies_ms, callers->n_latencies, sizeof (double), compare_doubles);
  return callers->latencies_ms[(size_t)(quantile * (double)(callers->n_latencies - 1))];
}
