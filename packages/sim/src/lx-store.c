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
  LxRow *row, *next;

  HASH_ITER (hh, store->rows, row, next)
  {
    HASH_DEL (store->rows, row);
    free (row->value);
    free (row);
  }
}

static LxRow *
find_row (const LxStore *store, const char *key)
{
  LxRow *row;

  HASH_FIND_STR (store->rows, key, row);
  return row;
}

static LxRow *
ensure_row (LxStore *store, const char *key)
{
  LxRow *row = find_row (store, key);

  if (row)
    return row;
  row = LB_NEW (LxRow);
  LB_COPY (row->key, key);
  row->value = lb_strdup ("");
  HASH_ADD_STR (store->rows, key, row);
  return row;
}

LbErrorCode
lx_store_write (
    LxStore *store, const char *key, const char *value, uint64_t session, LxWriteFate fate)
{
  LxRow *row = ensure_row (store, key);

  if (fate == LX_WRITE_AWAY)
    return LB_ERROR_STORE_AWAY;
  if (fate == LX_WRITE_LOST)
    return LB_ERROR_STORE_UNKNOWN;
  if (row->session == session)
    {
      free (row->value);
      row->value = lb_strdup (value);
    }
  if (fate == LX_WRITE_REPLY_LOST)
    return LB_ERROR_STORE_UNKNOWN;
  return row->session == session ? LB_OK : LB_ERROR_STALE_SESSION;
}

uint64_t
lx_store_take (LxStore *store, const char *key)
{
  return ++ensure_row (store, key)->session;
}

const char *
lx_store_value (const LxStore *store, const char *key)
{
  const LxRow *row = find_row (store, key);

  return row ? row->value : "";
}
