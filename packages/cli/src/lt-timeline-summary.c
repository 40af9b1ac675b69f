#include "lt-timeline-summary.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <string.h>

#define MICROSECONDS_PER_SECOND 1e6
#define FIRST_OWNER_EPOCH 1
/* Reason printed for calls that were refused after they had waited. */
#define REFUSED_WHILE_WAITING "while waiting"

static void
count_reason (LtReasonCounts *counts, const char *reason)
{
  size_t i = 0;

  counts->n_lines++;
  while (i < counts->n_items && strcmp (counts->items[i].name, reason) != 0)
    i++;
  if (i == LT_MAX_SUMMARY_REASONS)
    return;
  if (i == counts->n_items)
    {
      counts->n_items++;
      LB_COPY (counts->items[i].name, reason);
    }
  counts->items[i].count++;
}

static void
add_route (LtTimelineSummary *summary, struct json_object *line)
{
  int64_t waited_us = lb_json_int (line, "waited_us", 0);

  summary->n_attempts++;
  summary->waited_us += waited_us;
  if (waited_us > summary->max_waited_us)
    summary->max_waited_us = waited_us;
}

static void
add_failure (LtTimelineSummary *summary, struct json_object *line)
{
  count_reason (&summary->failures, lb_json_text (line, "error", "unknown"));
  summary->retry_after_us = lb_json_int (line, "retry_after_us", 0);
}

/* reason: why the call was refused; a call that waited has no reason in its line. */
static void
add_refusal (LtTimelineSummary *summary, struct json_object *line, const char *reason)
{
  count_reason (&summary->refusals, reason);
  summary->refusal_retry_after_us = lb_json_int (line, "retry_after_us", 0);
}

/* The first owner of an offered batch takes it over from the instance that accepted it, which is
 * not a hand-over. */
static void
add_takeover (LtTimelineSummary *summary, struct json_object *line)
{
  summary->n_handovers += lb_json_int (line, "epoch", 0) > FIRST_OWNER_EPOCH + 1
                          && strcmp (lb_json_text (line, "outcome", ""), "ok") == 0;
}

void
lt_timeline_summary_add_line (LtTimelineSummary *summary, struct json_object *line)
{
  const char *event = lb_json_text (line, "event", "");

  if (strcmp (event, "route") == 0)
    add_route (summary, line);
  else if (strcmp (event, "item_moved") == 0)
    count_reason (&summary->moves, lb_json_text (line, "reason", "not stated"));
  else if (strcmp (event, "call_refused") == 0)
    add_refusal (summary, line, lb_json_text (line, "reason", "not stated"));
  else if (strcmp (event, "waiting_call_refused") == 0)
    add_refusal (summary, line, REFUSED_WHILE_WAITING);
  else if (strcmp (event, "request_given_up") == 0)
    add_failure (summary, line);
  else if (strcmp (event, "batch_taken_over") == 0)
    add_takeover (summary, line);
}

static void
print_reasons (const LtReasonCounts *counts, FILE *out)
{
  for (size_t i = 0; i < counts->n_items; i++)
    fprintf (out, "%s %s %zu", i > 0 ? "," : ":", counts->items[i].name, counts->items[i].count);
}

/* Prints nothing if there are no failures. retry_after_us: 0: the caller was told no delay. */
static void
print_failures (const char *title, const LtReasonCounts *counts, int64_t retry_after_us, FILE *out)
{
  if (counts->n_lines == 0)
    return;
  fprintf (out, "%s: %zu", title, counts->n_lines);
  print_reasons (counts, out);
  if (retry_after_us > 0)
    fprintf (out, "; the caller was told to retry after %.3f s",
             (double)retry_after_us / MICROSECONDS_PER_SECOND);
  fputc ('\n', out);
}

void
lt_timeline_summary_print (const LtTimelineSummary *summary, FILE *out)
{
  double waited = (double)summary->waited_us / MICROSECONDS_PER_SECOND;

  if (summary->n_attempts > 0)
    fprintf (out, "waited for an endpoint: %.3f s over %zu attempts, %.3f s at most\n", waited,
             summary->n_attempts, (double)summary->max_waited_us / MICROSECONDS_PER_SECOND);
  if (summary->moves.n_lines > 0)
    {
      fprintf (out, "moved to another endpoint: %zu", summary->moves.n_lines);
      print_reasons (&summary->moves, out);
      fputc ('\n', out);
    }
  if (summary->n_handovers > 0)
    fprintf (out, "changes of the batch's owner: %zu\n", summary->n_handovers);
  print_failures ("refused before it ran", &summary->refusals, summary->refusal_retry_after_us,
                  out);
  print_failures ("failed", &summary->failures, summary->retry_after_us, out);
}
