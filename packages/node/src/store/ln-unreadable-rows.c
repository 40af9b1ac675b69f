#include "ln-unreadable-rows.h"

#include "lb-alloc.h"
#include "lb-log.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct
{
  char *key;
  bool is_reported; /* the row was reported as malformed in the current list */
  UT_hash_handle hh;
} Row;

struct LnUnreadableRows
{
  Row *by_key;
};

LnUnreadableRows *
ln_unreadable_rows_new (void)
{
  return LB_NEW (LnUnreadableRows);
}

static void
forget_malformed_row (LnUnreadableRows *rows, Row *row)
{
  HASH_DEL (rows->by_key, row);
  free (row->key);
  free (row);
}

void
ln_unreadable_rows_free (LnUnreadableRows *rows)
{
  Row *row, *next;

  HASH_ITER (hh, rows->by_key, row, next)
  {
    forget_malformed_row (rows, row);
  }
  free (rows);
}

void
ln_unreadable_rows_begin_list (LnUnreadableRows *rows)
{
  for (Row *row = rows->by_key; row; row = row->hh.next)
    row->is_reported = false;
}

void
ln_unreadable_rows_log_once (LnUnreadableRows *rows, const char *key, const LbError *reason)
{
  Row *row = NULL;

  HASH_FIND_STR (rows->by_key, key, row);
  if (!row)
    {
      row = LB_NEW (Row);
      row->key = lb_strdup (key);
      HASH_ADD_KEYPTR (hh, rows->by_key, row->key, strlen (row->key), row);
      lb_log_error (LB_LOG_WARNING, "endpoint_unreadable", reason);
    }
  row->is_reported = true;
}

void
ln_unreadable_rows_end_list (LnUnreadableRows *rows)
{
  Row *row, *next;

  HASH_ITER (hh, rows->by_key, row, next)
  {
    if (!row->is_reported)
      forget_malformed_row (rows, row);
  }
}
