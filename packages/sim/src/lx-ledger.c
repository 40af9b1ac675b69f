#include "lx-ledger.h"

#include "lb-alloc.h"
#include "lc-label.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const breach_names[LX_N_BREACHES]
    = { "lost",          "doubled",           "stale",        "mislabelled",
        "not-whole",     "ran-after-not-run", "ran-twice",    "sent-to-leaving",
        "cut-by-drain",  "reverted",          "not-in-force", "stuck",
        "core-invariant" };

void
lx_ledger_init (LxLedger *ledger)
{
  memset (ledger, 0, sizeof *ledger);
}

void
lx_ledger_clear (LxLedger *ledger)
{
  free (ledger->jobs);
  free (ledger->truths);
  free (ledger->steps);
}

void
lx_ledger_breach (
    LxLedger *ledger, LxBreach breach, LbTime now, uint64_t event, const char *format, ...)
{
  ledger->breaches[breach]++;
  if (ledger->first[0])
    return;

  int length = snprintf (ledger->first, sizeof ledger->first,
                         "%s at %.6f s, event %llu: ", breach_names[breach], (double)now / LB_SEC,
                         (unsigned long long)event);
  va_list arguments;
  va_start (arguments, format);
  vsnprintf (ledger->first + length, sizeof ledger->first - (size_t)length, format, arguments);
  va_end (arguments);
  ledger->first_event = event;
}

/* Room for one more element: capacities are powers of two. */
static void *
grow (void *array, size_t n, size_t size)
{
  if (n > 0 && (n & (n - 1)) != 0)
    return array;
  return lb_realloc (array, (n > 0 ? 2 * n : 1) * size);
}

uint64_t
lx_ledger_add_job (LxLedger *ledger, const LxJob *job)
{
  ledger->jobs = grow (ledger->jobs, ledger->n_jobs, sizeof (LxJob));
  ledger->jobs[ledger->n_jobs++] = *job;
  return ledger->n_jobs;
}

uint64_t
lx_ledger_add_stream (LxLedger *ledger, uint64_t job, LbTime now)
{
  ledger->truths = grow (ledger->truths, ledger->n_truths, sizeof (LxTruth));
  ledger->truths[ledger->n_truths++] = (LxTruth){ .job = job, .begun = now };
  return ledger->n_truths;
}

/* The step of this number, made at its first use. */
LxStepTokens *
lx_ledger_step (LxLedger *ledger, uint64_t step)
{
  while (ledger->n_steps <= step)
    {
      ledger->steps = grow (ledger->steps, ledger->n_steps, sizeof (LxStepTokens));
      ledger->steps[ledger->n_steps++] = (LxStepTokens){ 0 };
    }
  return &ledger->steps[step];
}

void
lx_ledger_made (LxLedger *ledger,
                uint64_t stream,
                int64_t offset,
                int64_t tokens,
                LcVersion version,
                LbTime now)
{
  LxTruth *truth = &ledger->truths[stream - 1];
  LcSpan *last = truth->n_spans > 0 ? &truth->spans[truth->n_spans - 1] : NULL;

  truth->ended = now;
  if (last && last->version == version)
    {
      last->count += tokens;
      return;
    }
  if (truth->n_spans == LX_TRUTH_SPANS)
    abort ();
  truth->spans[truth->n_spans++] = (LcSpan){ .version = version, .first = offset, .count = tokens };
}

LxJob *
lx_ledger_job (LxLedger *ledger, uint64_t job)
{
  return &ledger->jobs[job - 1];
}

int64_t
lx_ledger_total (const LxLedger *ledger)
{
  int64_t total = 0;

  for (size_t i = 0; i < LX_N_BREACHES; i++)
    total += ledger->breaches[i];
  return total;
}

static void
add_part (LcLabel *label, const LcSpan *span, const LxSegment *segment)
{
  int64_t first = span->first > segment->first ? span->first : segment->first;
  int64_t span_end = span->first + span->count;
  int64_t segment_end = segment->first + segment->count;
  int64_t end = span_end < segment_end ? span_end : segment_end;

  if (end > first)
    lc_label_add_tokens (label, first, end - first, span->version);
}

void
lx_ledger_label (const LxLedger *ledger, const LxText *text, LcLabel *label)
{
  lc_label_init (label);
  for (size_t i = 0; i < text->n_segments; i++)
    {
      const LxTruth *truth = &ledger->truths[text->segments[i].stream - 1];
      for (size_t j = 0; j < truth->n_spans; j++)
        add_part (label, &truth->spans[j], &text->segments[i]);
    }
}

/* Tokens made for samples of finished steps that no trainer got, over all made for them. */
double
lx_ledger_wasted_ratio (const LxLedger *ledger)
{
  int64_t generated = 0;
  int64_t delivered = 0;

  for (size_t i = 0; i < ledger->n_steps; i++)
    if (ledger->steps[i].done)
      {
        generated += ledger->steps[i].generated;
        delivered += ledger->steps[i].delivered;
      }
  return generated > 0 ? (double)(generated - delivered) / (double)generated : 0;
}
