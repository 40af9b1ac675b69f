#include "lx-queue.h"
#include "lx-text.h"

#include <criterion/criterion.h>
#include <stdlib.h>

typedef struct
{
  int order[4];
  size_t n;
} Seen;

static void
see (void *owner, void *argument)
{
  Seen *seen = owner;

  seen->order[seen->n++] = (int)(intptr_t)argument;
}

Test (queue, runs_by_time_then_by_order_of_adding)
{
  LxQueue *queue = lx_queue_new ();
  Seen seen = { 0 };

  lx_queue_add (queue, 30 * LB_SEC, see, &seen, (void *)3, NULL);
  lx_queue_add (queue, 10 * LB_SEC, see, &seen, (void *)1, NULL);
  lx_queue_add (queue, 10 * LB_SEC, see, &seen, (void *)2, NULL);
  while (lx_queue_run_next (queue, 20 * LB_SEC))
    continue;
  cr_assert_eq (seen.n, 2);
  cr_assert_eq (seen.order[0], 1);
  cr_assert_eq (seen.order[1], 2);
  cr_assert_eq (lx_queue_now (queue), 10 * LB_SEC);
  lx_queue_free (queue);
}

Test (text, cut_and_rendered_text_is_read_back)
{
  LxText text = { 0 };
  LxText back = { 0 };

  lx_text_append (&text, 7, 0, 32);
  lx_text_append (&text, 7, 32, 8);
  lx_text_append (&text, 9, 40, 10);
  lx_text_truncate (&text, 45);
  char *rendered = lx_text_render (&text);
  cr_assert_str_eq (rendered, "7:0:40;9:40:5;");
  cr_assert (lx_text_parse (&back, rendered));
  cr_assert_eq (lx_text_count_tokens (&back), 45);
  cr_assert (lx_text_is_contiguous (&back, 0));
  cr_assert_not (lx_text_is_contiguous (&back, 1));
  free (rendered);
  lx_text_clear (&text);
  lx_text_clear (&back);
}
