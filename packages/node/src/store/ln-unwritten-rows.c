#include "ln-unwritten-rows.h"

#include "lb-alloc.h"
#include "lb-list.h"
#include "lb-log.h"
#include "lp-platform.h"

#include <stdlib.h>

/* While the store is away: one row for each endpoint that ends, of which a site of three hundred
 * loses some ten at once. */
#define MAX_ROWS 64

typedef struct
{
  LbLink link;
  LnUnwrittenRows *owner;
  char *key;
  char *text;  /* NULL: it is removed */
  char *token; /* of this write; with the key, since other writers number theirs alike */
  bool is_sent;
} Row;

struct LnUnwrittenRows
{
  LpPlatform *platform;
  const char *incarnation;
  uint64_t n_added;
  LbList rows;
};

LnUnwrittenRows *
ln_unwritten_rows_new (LpPlatform *platform, const char *incarnation)
{
  LnUnwrittenRows *rows = LB_NEW (LnUnwrittenRows);

  rows->platform = platform;
  rows->incarnation = incarnation;
  lb_list_init (&rows->rows);
  return rows;
}

static void
drop (Row *row)
{
  lb_list_remove (&row->owner->rows, &row->link);
  free (row->key);
  free (row->text);
  free (row->token);
  free (row);
}

void
ln_unwritten_rows_free (LnUnwrittenRows *rows)
{
  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    drop (row);
  }
  free (rows);
}

static void
on_written (LbErrorCode error, const LpRow *answer, void *user)
{
  (void)answer;
  Row *row = user;

  if (error == LB_OK)
    {
      drop (row);
      return;
    }
  lb_log (LB_LOG_INFO, "row_not_written", LB_TEXT ("key", row->key),
          LB_TEXT ("error", lb_error_name (error)));
  row->is_sent = false;
}

static void
send_row (Row *row)
{
  LpPlatform *platform = row->owner->platform;
  const LpPut put = { .key = row->key, .value = row->text };
  const LpTransaction transaction = { .token = row->token, .puts = &put, .n_puts = 1 };

  row->is_sent = true;
  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, on_written, row);
}

/* The oldest that is not on its way: what came later is about the present. */
static void
make_room (LnUnwrittenRows *rows)
{
  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    if (row->is_sent)
      continue;
    lb_log (LB_LOG_WARNING, "row_dropped", LB_TEXT ("key", row->key));
    drop (row);
    return;
  }
}

void
ln_unwritten_rows_write (LnUnwrittenRows *rows, const char *key, char *text)
{
  Row *row = LB_NEW (Row);

  if (rows->rows.length >= MAX_ROWS)
    make_room (rows);
  row->owner = rows;
  row->key = lb_strdup (key);
  row->text = text;
  row->token
      = lb_asprintf ("%s#%s-%llu", key, rows->incarnation, (unsigned long long)++rows->n_added);
  lb_list_append (&rows->rows, &row->link);
  send_row (row);
}

void
ln_unwritten_rows_retry (LnUnwrittenRows *rows)
{
  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    if (!row->is_sent)
      send_row (row);
  }
}
