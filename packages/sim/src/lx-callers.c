#include "lx-callers.h"

#include "lx-world.h"

#include "lb-alloc.h"

#include <gsl/gsl_randist.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX_FAMILIES 40
#define N_CALLERS 50
#define SHARED_BLOCKS 3
#define PROMPT_TOKENS 256
#define DEADLINE (60 * LB_SEC)
#define PATIENCE (20 * LB_SEC)

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
  lb_list_init (&callers->open);
}

static void
free_call (LxCallers *callers, LxCall *call)
{
  lb_list_remove (&callers->open, &call->link);
  lx_text_clear (&call->text);
  free (call);
}

void
lx_callers_clear (LxCallers *callers)
{
  LB_LIST_FOREACH (&callers->open, LxCall, link, call)
  {
    free_call (callers, call);
  }
  gsl_rng_free (callers->random);
  free (callers->latencies);
  free (callers->first_pieces);
}

static void
record (double **values, size_t *n, LbTime took)
{
  if ((*n & (*n - 1)) == 0)
    *values = lb_realloc (*values, (*n ? 2 * *n : 1) * sizeof (double));
  (*values)[(*n)++] = (double)took / LB_MSEC;
}

static void
take_answer (LxCallers *callers, LxCall *call)
{
  LxWorld *world = callers->world;
  LbTime now = lx_world_now (world);

  callers->answered++;
  if (!lx_text_is_contiguous (&call->text, 0) || lx_text_count_tokens (&call->text) != call->length)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_NOT_WHOLE, now,
                               lx_world_event_number (world),
                               "call of job %" PRIu64 " has %" PRId64 " of %" PRId64 " tokens",
                               call->job, lx_text_count_tokens (&call->text), call->length);
  if (call->kind != LC_KIND_LIVE)
    return;
  record (&callers->latencies, &callers->n_latencies, now - call->asked);
  record (&callers->first_pieces, &callers->n_first_pieces, call->first_piece - call->asked);
}

static void
on_answer (void *owner, void *argument)
{
  LxCallers *callers = owner;
  Answer *answer = argument;
  LxCall *call = answer->call;

  if (!answer->is_end)
    {
      if (call->first_piece == 0)
        call->first_piece = lx_world_now (callers->world);
      lx_text_append (&call->text, answer->stream, answer->piece.offset, answer->piece.tokens);
      goto out;
    }
  if (call->result)
    {
      call->result->ended = lx_world_now (callers->world);
      call->result->error = answer->error;
    }
  if (answer->error == LB_OK)
    take_answer (callers, call);
  else if (lb_error_is_not_run (answer->error))
    callers->refused++;
  else
    callers->failed++;
  free_call (callers, call);
out:
  free (answer);
}

static void
send_answer (LxCallers *callers, const Answer *answer)
{
  lx_world_schedule (callers->world, callers->world->options.site->to_clients, on_answer, callers,
                     lb_memdup (answer, sizeof *answer), free);
}

/* A piece leaves the instance for its caller. */
void
lx_callers_send_piece (LxCallers *callers, LxCall *call, uint64_t stream, const LcPiece *piece)
{
  send_answer (callers, &(Answer){ .call = call, .stream = stream, .piece = *piece });
}

/* The final answer leaves the instance; the call must not be used after it. */
void
lx_callers_send_result (LxCallers *callers, LxCall *call, LbErrorCode error)
{
  send_answer (callers, &(Answer){ .call = call, .is_end = true, .error = error });
}

static void
fill_model_call (LxCallers *callers, LcRequestSpec *spec)
{
  /* Popularity falls with the rank, as among shops or sorting offices. */
  double position = gsl_rng_uniform (callers->random);
  uint64_t family = (uint64_t)(PREFIX_FAMILIES * position * position);

  spec->kind = LC_KIND_LIVE;
  spec->delivery = LC_DELIVER_STREAM;
  spec->repeatable = true;
  spec->resumable = true;
  spec->prompt_tokens = PROMPT_TOKENS;
  spec->expected_tokens = 64;
  spec->n_prefix_hashes = SHARED_BLOCKS + 1;
  for (size_t i = 0; i < SHARED_BLOCKS; i++)
    spec->prefix_hashes[i] = (family + 1) * 1000003 + i;
  spec->prefix_hashes[SHARED_BLOCKS] = ((uint64_t)1 << 40) + callers->n_calls;
  LB_COPY (spec->pool, callers->world->options.site->pool);
}

static void
fill_service_call (LxCallers *callers, LcRequestSpec *spec)
{
  spec->kind = LC_KIND_SERVICE;
  spec->delivery = LC_DELIVER_BUFFERED;
  spec->repeatable = gsl_rng_uniform (callers->random) < 0.5;
  spec->expected_tokens = 1;
  LB_COPY (spec->pool, callers->world->options.site->service);
}

typedef struct
{
  LxCall *call;
  LcRequestSpec spec;
  LbName instance;
} Asking;

static LxInstance *
any_instance (LxCallers *callers)
{
  LxWorld *world = callers->world;

  return lx_world_choose_instance (world,
                                   gsl_rng_uniform_int (callers->random, world->n_instances));
}

static void
on_asked (void *owner, void *argument)
{
  LxCallers *callers = owner;
  Asking *asking = argument;
  LxWorld *world = callers->world;
  LxInstance *instance = asking->instance[0] ? lx_world_find_instance (world, asking->instance)
                                             : any_instance (callers);
  LbError error = { 0 };

  if (!instance || !instance->alive)
    lx_callers_send_result (callers, asking->call, LB_ERROR_NOT_READY);
  else if (!lx_instance_submit_call (instance, &asking->spec, asking->call->job, asking->call,
                                     &error))
    lx_callers_send_result (callers, asking->call, error.code);
  free (asking);
}

static Asking *
prepare (LxCallers *callers, bool of_service)
{
  Asking *asking = LB_NEW (Asking);
  LxCall *call = LB_NEW (LxCall);

  callers->n_calls++;
  if (of_service)
    fill_service_call (callers, &asking->spec);
  else
    fill_model_call (callers, &asking->spec);
  asking->spec.deadline = lx_world_now (callers->world) + DEADLINE;
  snprintf (asking->spec.caller, LB_NAME_MAX, "caller-%lu",
            gsl_rng_uniform_int (callers->random, N_CALLERS));
  call->kind = asking->spec.kind;
  call->length = of_service ? 1 : 32 + (int64_t)gsl_rng_uniform_int (callers->random, 64);
  call->asked = lx_world_now (callers->world);
  lb_list_append (&callers->open, &call->link);
  asking->call = call;
  return asking;
}

static void
ask (LxCallers *callers, Asking *asking)
{
  LxWorld *world = callers->world;
  LxCall *call = asking->call;

  call->job = lx_audit_add_job (&world->audit, &(LxJob){ .kind = call->kind,
                                                         .repeatable = asking->spec.repeatable,
                                                         .length = call->length });
  lx_world_schedule (world, world->options.site->to_clients, on_asked, callers, asking, free);
}

void
lx_callers_submit (LxCallers *callers, const LxCallSpec *order)
{
  Asking *asking = prepare (callers, order->of_service);

  asking->spec.repeatable = order->repeatable;
  asking->spec.deadline = lx_world_now (callers->world) + order->deadline;
  LB_COPY (asking->instance, order->instance);
  if (!order->of_service)
    asking->call->length = order->tokens;
  asking->call->result = order->result;
  ask (callers, asking);
  order->result->job = asking->call->job;
}

static LbTime
pause_before_next (LxCallers *callers, double rate)
{
  return (LbTime)gsl_ran_exponential (callers->random, (double)LB_SEC / rate);
}

static void
on_model_call (void *owner, void *argument)
{
  LxCallers *callers = owner;

  (void)argument;
  ask (callers, prepare (callers, false));
  lx_world_schedule (callers->world,
                     pause_before_next (callers, callers->world->options.calls_per_second),
                     on_model_call, callers, NULL, NULL);
}

static void
on_service_call (void *owner, void *argument)
{
  LxCallers *callers = owner;

  (void)argument;
  ask (callers, prepare (callers, true));
  lx_world_schedule (callers->world,
                     pause_before_next (callers, callers->world->options.service_calls_per_second),
                     on_service_call, callers, NULL, NULL);
}

/* Every call has a final answer soon after its deadline, whatever happens. */
static void
on_check (void *owner, void *argument)
{
  LxCallers *callers = owner;
  LxWorld *world = callers->world;
  LbTime now = lx_world_now (world);

  (void)argument;
  LB_LIST_FOREACH (&callers->open, LxCall, link, call)
  {
    if (call->reported || call->asked + DEADLINE + PATIENCE > now)
      continue;
    call->reported = true;
    lx_audit_report_violation (&world->audit, LX_VIOLATION_STUCK, now,
                               lx_world_event_number (world),
                               "call of job %" PRIu64 " has no answer", call->job);
  }
  lx_world_schedule (world, 10 * LB_SEC, on_check, callers, NULL, NULL);
}

void
lx_callers_start (LxCallers *callers)
{
  lx_world_schedule (callers->world, LB_SEC, on_check, callers, NULL, NULL);
  lx_world_schedule (callers->world, LB_SEC, on_model_call, callers, NULL, NULL);
  lx_world_schedule (callers->world, LB_SEC, on_service_call, callers, NULL, NULL);
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

double
lx_callers_latency_percentile_ms (LxCallers *callers, double share)
{
  if (callers->n_latencies == 0)
    return 0;
  qsort (callers->latencies, callers->n_latencies, sizeof (double), compare);
  return callers->latencies[(size_t)(share * (double)(callers->n_latencies - 1))];
}
