#include "ln-unwritten-rows.h"

#include "lb-alloc.h"
#include "lb-list.h"
#include "lb-log.h"
#include "lp-platform.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of rows kept until they are written. While the store is unreachable, each endpoint
 * that fails adds a row; a site with 300 endpoints loses about 10 at once. */
#define MAX_UNWRITTEN_ROWS 64
#define MAX_WRITES_IN_FLIGHT 8

typedef struct
{
  LbLink link;
  LnUnwrittenRows *owner;
  char *key;
  char *text; /* text to write; NULL: deletes the row */
  /* Idempotency token of the write. Contains the key, since each LnUnwrittenRows numbers its writes
   * from 1. */
  char *token;
  bool is_in_flight;
} Row;

struct LnUnwrittenRows
{
  LpPlatform *platform;
  const char *incarnation;
  uint64_t n_writes;
  LbList rows;
  size_t n_in_flight;
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
free_unwritten_row (Row *row)
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
    free_unwritten_row (row);
  }
  free (rows);
}

static void
on_unwritten_row_answered (LbErrorCode error, const LpRow *reply, void *user)
{
  (void)reply;
  Row *row = user;

  row->owner->n_in_flight--;
  if (error == LB_OK)
    {
      free_unwritten_row (row);
      return;
    }
  lb_log (LB_LOG_INFO, "row_not_written", LB_TEXT ("key", row->key),
          LB_TEXT ("error", lb_error_name (error)));
  row->is_in_flight = false;
}

static void
send_unwritten_row (Row *row)
{
  LpPlatform *platform = row->owner->platform;
  const LpPut put = { .key = row->key, .value = row->text };
  const LpTransaction transaction = { .token = row->token, .puts = &put, .n_puts = 1 };

  row->is_in_flight = true;
  row->owner->n_in_flight++;
  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, on_unwritten_row_answered,
                             row);
}

static void
remove_waiting_row (LnUnwrittenRows *rows, const char *key)
{
  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    if (!row->is_in_flight && strcmp (row->key, key) == 0)
      free_unwritten_row (row);
  }
}

/* Drops the oldest row whose write is not in flight, as newer rows are more relevant. */
static void
drop_oldest_row_not_in_flight (LnUnwrittenRows *rows)
{
  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    if (row->is_in_flight)
      continue;
    lb_log (LB_LOG_WARNING, "row_dropped", LB_TEXT ("key", row->key));
    free_unwritten_row (row);
    return;
  }
}

void
ln_unwritten_rows_write (LnUnwrittenRows *rows, const char *key, char *text)
{
  Row *row = LB_NEW (Row);

  remove_waiting_row (rows, key);
  if (rows->rows.length >= MAX_UNWRITTEN_ROWS)
    drop_oldest_row_not_in_flight (rows);
  row->owner = rows;
  row->key = lb_strdup (key);
  row->text = text;
  row->token
      = lb_asprintf ("%s#%s-%llu", key, rows->incarnation, (unsigned long long)++rows->n_writes);
  lb_list_append (&rows->rows, &row->link);
  if (rows->n_in_flight < MAX_WRITES_IN_FLIGHT)
    send_unwritten_row (row);
}

void
ln_unwritten_rows_retry_writes (LnUnwrittenRows *rows)
{
  LB_LIST_FOREACH (&rows->rows, Row, link, row)
  {
    if (!row->is_in_flight && rows->n_in_flight < MAX_WRITES_IN_FLIGHT)
      send_unwritten_row (row);
  }
}
