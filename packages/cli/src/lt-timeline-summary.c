#include "lt-timeline-summary.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <string.h>

#define MICROSECONDS_PER_SECOND 1e6
#define FIRST_OWNER_EPOCH 1

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
  if (summary->failures.n_lines == 0)
    return;
  fprintf (out, "failed: %zu", summary->failures.n_lines);
  print_reasons (&summary->failures, out);
  if (summary->retry_after_us > 0)
    fprintf (out, "; the caller was told to retry after %.3f s",
             (double)summary->retry_after_us / MICROSECONDS_PER_SECOND);
  fputc ('\n', out);
}
