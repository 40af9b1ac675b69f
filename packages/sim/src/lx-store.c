#include "lx-store.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

void
lx_store_init (LxStore *store)
{
  memset (store, 0, sizeof *store);
}

void
lx_store_clear (LxStore *store)
{
  LxStoreRow *row, *next;

  HASH_ITER (hh, store->rows, row, next)
  {
    HASH_DEL (store->rows, row);
    free (row->value);
    free (row);
  }
}

static LxStoreRow *
find_store_row (const LxStore *store, const char *key)
{
  LxStoreRow *row;

  HASH_FIND_STR (store->rows, key, row);
  return row;
}

static LxStoreRow *
find_or_add_store_row (LxStore *store, const char *key)
{
  LxStoreRow *row = find_store_row (store, key);

  if (row)
    return row;
  row = LB_NEW (LxStoreRow);
  LB_COPY (row->key, key);
  row->value = lb_strdup ("");
  HASH_ADD_STR (store->rows, key, row);
  return row;
}

LbErrorCode
lx_store_write_row (
    LxStore *store, const char *key, const char *value, uint64_t session, LxWriteOutcome outcome)
{
  LxStoreRow *row = find_or_add_store_row (store, key);

  if (outcome == LX_WRITE_UNAVAILABLE)
    return LB_ERROR_STORE_AWAY;
  if (outcome == LX_WRITE_REQUEST_LOST)
    return LB_ERROR_STORE_UNKNOWN;
  if (row->session == session)
    {
      free (row->value);
      row->value = lb_strdup (value);
    }
  if (outcome == LX_WRITE_REPLY_LOST)
    return LB_ERROR_STORE_UNKNOWN;
  return row->session == session ? LB_OK : LB_ERROR_STALE_SESSION;
}

uint64_t
lx_store_begin_row_session (LxStore *store, const char *key)
{
  return ++find_or_add_store_row (store, key)->session;
}

const char *
lx_store_get_row_value (const LxStore *store, const char *key)
{
  const LxStoreRow *row = find_store_row (store, key);

  return row ? row->value : "";
}
