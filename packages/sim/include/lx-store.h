#ifndef LX_STORE_H
#define LX_STORE_H

#include "lb-error.h"

#include <uthash.h>

/* A row of the fake table: what a step's ledger says and which session may write it. */
typedef struct
{
  UT_hash_handle hh;
  char key[3 * LB_NAME_MAX];
  char *value;
  uint64_t session;
} LxStoreRow;

/* What happens to one write. */
typedef enum
{
  LX_WRITE_APPLIED,
  LX_WRITE_UNAVAILABLE, /* not applied, and the writer knows */
  LX_WRITE_REPLY_LOST,  /* applied, but the writer can't know */
  LX_WRITE_REQUEST_LOST /* not applied, and the writer can't know */
} LxWriteOutcome;

/* The platform's table in virtual time: outages and lost replies. */
typedef struct
{
  LxStoreRow *rows;
  LbTime away_until;
  LbTime lose_until; /* every third reply is lost */
} LxStore;

void lx_store_init (LxStore *store);
void lx_store_clear (LxStore *store);

/* commands */
/* Writes value under the row's session; LB_ERROR_STALE_SESSION when another session has it. */
LbErrorCode lx_store_write (
    LxStore *store, const char *key, const char *value, uint64_t session, LxWriteOutcome fate);
/* Begins the next session of the row and returns its number. */
uint64_t lx_store_begin_session (LxStore *store, const char *key);

/* queries */
/* The value, "" for a row that does not exist. */
const char *lx_store_get (const LxStore *store, const char *key);

#endif
