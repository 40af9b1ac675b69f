#include "lx-audit.h"

#include "lb-alloc.h"
#include "lc-label.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const violation_names[LX_N_VIOLATIONS]
    = { "lost",          "doubled",           "stale",        "mislabelled",
        "not-whole",     "ran-after-not-run", "ran-twice",    "sent-to-leaving",
        "cut-by-drain",  "reverted",          "not-in-force", "stuck",
        "core-invariant" };

void
lx_audit_init (LxAudit *audit)
{
  memset (audit, 0, sizeof *audit);
}

void
lx_audit_clear (LxAudit *audit)
{
  free (audit->jobs);
  free (audit->streams);
  free (audit->steps);
}

void
lx_audit_report_violation (
    LxAudit *audit, LxViolation violation, LbTime now, uint64_t event, const char *format, ...)
{
  audit->violations[violation]++;
  if (audit->first_violation[0])
    return;

  int length = snprintf (audit->first_violation, sizeof audit->first_violation,
                         "%s at %.6f s, event %llu: ", violation_names[violation],
                         (double)now / LB_SEC, (unsigned long long)event);
  va_list arguments;
  va_start (arguments, format);
  vsnprintf (audit->first_violation + length, sizeof audit->first_violation - (size_t)length,
             format, arguments);
  va_end (arguments);
  audit->first_event = event;
}

/* Makes room for one more element after the first n. The capacity is always a power of two and
 * doubles when n reaches the capacity. */
static void *
grow_array_if_full (void *array, size_t n, size_t element_size)
{
  if (n > 0 && (n & (n - 1)) != 0)
    return array;
  return lb_realloc (array, (n > 0 ? 2 * n : 1) * element_size);
}

uint64_t
lx_audit_add_job (LxAudit *audit, const LxJob *job)
{
  audit->jobs = grow_array_if_full (audit->jobs, audit->n_jobs, sizeof (LxJob));
  audit->jobs[audit->n_jobs++] = *job;
  return audit->n_jobs;
}

uint64_t
lx_audit_add_stream (LxAudit *audit, uint64_t job, LbTime now)
{
  audit->streams = grow_array_if_full (audit->streams, audit->n_streams, sizeof (LxStreamRecord));
  audit->streams[audit->n_streams++] = (LxStreamRecord){ .job = job, .started_at = now };
  return audit->n_streams;
}

LxStepTokens *
lx_audit_get_or_add_step_tokens (LxAudit *audit, uint64_t step)
{
  while (audit->n_steps <= step)
    {
      audit->steps = grow_array_if_full (audit->steps, audit->n_steps, sizeof (LxStepTokens));
      audit->steps[audit->n_steps++] = (LxStepTokens){ 0 };
    }
  return &audit->steps[step];
}

void
lx_audit_add_generated_tokens (
    LxAudit *audit, uint64_t stream, int64_t offset, int64_t tokens, LcVersion version, LbTime now)
{
  LxStreamRecord *record = &audit->streams[stream - 1];
  LcSpan *last = record->n_spans > 0 ? &record->spans[record->n_spans - 1] : NULL;

  record->last_token_at = now;
  if (last && last->version == version)
    {
      last->count += tokens;
      return;
    }
  if (record->n_spans == LX_MAX_STREAM_SPANS)
    abort ();
  record->spans[record->n_spans++]
      = (LcSpan){ .version = version, .first = offset, .count = tokens };
}

LxJob *
lx_audit_get_job (LxAudit *audit, uint64_t job)
{
  return &audit->jobs[job - 1];
}

int64_t
lx_audit_count_violations (const LxAudit *audit)
{
  int64_t total = 0;

  for (size_t i = 0; i < LX_N_VIOLATIONS; i++)
    total += audit->violations[i];
  return total;
}

static void
add_overlap_to_label (LcLabel *label, const LcSpan *span, const LxSegment *segment)
{
  int64_t first = span->first > segment->first ? span->first : segment->first;
  int64_t span_end = span->first + span->count;
  int64_t segment_end = segment->first + segment->count;
  int64_t end = span_end < segment_end ? span_end : segment_end;

  if (end > first)
    lc_label_add_tokens (label, first, end - first, span->version);
}

void
lx_audit_compute_version_label (const LxAudit *audit, const LxText *text, LcLabel *label)
{
  lc_label_init (label);
  for (size_t i = 0; i < text->n_segments; i++)
    {
      const LxStreamRecord *record = &audit->streams[text->segments[i].stream - 1];
      for (size_t j = 0; j < record->n_spans; j++)
        add_overlap_to_label (label, &record->spans[j], &text->segments[i]);
    }
}

double
lx_audit_compute_wasted_token_ratio (const LxAudit *audit)
{
  int64_t generated = 0;
  int64_t delivered = 0;

  for (size_t i = 0; i < audit->n_steps; i++)
    if (audit->steps[i].is_done)
      {
        generated += audit->steps[i].generated;
        delivered += audit->steps[i].delivered;
      }
  return generated > 0 ? (double)(generated - delivered) / (double)generated : 0;
}
