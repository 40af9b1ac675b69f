#include "lx-queue.h"
#include "lx-text.h"

#include <criterion/criterion.h>
#include <stdlib.h>

typedef struct
{
  int order[4];
  size_t n_events;
} EventLog;

static void
append_event_to_log (void *owner, void *argument)
{
  EventLog *log = owner;

  log->order[log->n_events++] = (int)(intptr_t)argument;
}

Test (queue, events_run_by_time_then_by_insertion_order)
{
  LxQueue *queue = lx_queue_new ();
  EventLog log = { 0 };

  lx_queue_add_event (queue, 30 * LB_SEC, append_event_to_log, &log, (void *)3, NULL);
  lx_queue_add_event (queue, 10 * LB_SEC, append_event_to_log, &log, (void *)1, NULL);
  lx_queue_add_event (queue, 10 * LB_SEC, append_event_to_log, &log, (void *)2, NULL);
  while (lx_queue_run_next_event (queue, 20 * LB_SEC))
    continue;
  cr_assert_eq (log.n_events, 2);
  cr_assert_eq (log.order[0], 1);
  cr_assert_eq (log.order[1], 2);
  cr_assert_eq (lx_queue_now (queue), 10 * LB_SEC);
  lx_queue_free (queue);
}

Test (text, truncated_text_survives_rendering_and_parsing)
{
  LxText text = { 0 };
  LxText parsed = { 0 };

  lx_text_append (&text, 7, 0, 32);
  lx_text_append (&text, 7, 32, 8);
  lx_text_append (&text, 9, 40, 10);
  lx_text_truncate (&text, 45);
  char *rendered = lx_text_render (&text);
  cr_assert_str_eq (rendered, "7:0:40;9:40:5;");
  cr_assert (lx_text_parse (&parsed, rendered));
  cr_assert_eq (lx_text_count_tokens (&parsed), 45);
  cr_assert (lx_text_is_contiguous_from (&parsed, 0));
  cr_assert_not (lx_text_is_contiguous_from (&parsed, 1));
  free (rendered);
  lx_text_clear (&text);
  lx_text_clear (&parsed);
}
