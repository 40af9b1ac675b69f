#ifndef LT_TIMELINE_SUMMARY_H
#define LT_TIMELINE_SUMMARY_H

#include <json-c/json.h>
#include <stdint.h>
#include <stdio.h>

#define LT_MAX_SUMMARY_REASONS 16

/* Number of log lines that give the same reason. */
typedef struct
{
  char name[48];
  size_t count;
} LtReasonCount;

typedef struct
{
  LtReasonCount items[LT_MAX_SUMMARY_REASONS];
  size_t n_items;
  size_t n_lines; /* number of log lines, including those whose reason did not fit into items */
} LtReasonCounts;

/* What happened to a request, a text or the texts of a batch: waits for an endpoint, moves of
 * running texts, changes of the batch's owner, refusals and failures. */
typedef struct
{
  size_t n_attempts; /* number of attempts that were sent to an endpoint */
  int64_t waited_us;
  int64_t max_waited_us;
  LtReasonCounts moves;
  LtReasonCounts refusals;        /* calls refused before they ran; each one is also a failure */
  int64_t refusal_retry_after_us; /* delay that the last refusal told the caller; 0: none */
  LtReasonCounts failures;
  int64_t retry_after_us; /* retry delay in the reply to the last failed request; 0: none */
  size_t n_handovers;     /* number of times that the batch changed its owner */
} LtTimelineSummary;

/* Adds a log line of the request, text or batch that the summary describes. */
void lt_timeline_summary_add_line (LtTimelineSummary *summary, struct json_object *line);
/* Prints one line for each kind of event; nothing if no such event was added. */
void lt_timeline_summary_print (const LtTimelineSummary *summary, FILE *out);

#endif
