#ifndef LX_STORE_H
#define LX_STORE_H

#include "lb-error.h"

#include <uthash.h>

/* While replies are lost, the share of calls that get none. */
#define LX_LOST_REPLY_SHARE 0.33

/* A row of the table: the ledger of a step and the session that may write it. */
typedef struct
{
  UT_hash_handle hh;
  char key[3 * LB_NAME_MAX];
  char *value;
  uint64_t session;
} LxStoreRow;

/* Outcome of a write. */
typedef enum
{
  LX_WRITE_APPLIED,
  LX_WRITE_UNAVAILABLE, /* not applied, and the writer receives an error */
  LX_WRITE_REPLY_LOST,  /* applied, but the writer has no answer */
  LX_WRITE_REQUEST_LOST /* not applied, and the writer has no answer */
} LxWriteOutcome;

/* The platform's table in virtual time, with outages and lost replies. */
typedef struct
{
  LxStoreRow *rows;
  LbTime unavailable_until;
  LbTime replies_lost_until;
} LxStore;

void lx_store_init (LxStore *store);
void lx_store_clear (LxStore *store);

/* commands */
/* Writes the value if `session` is the row's session; LB_ERROR_STALE_SESSION otherwise. */
LbErrorCode lx_store_write_row (
    LxStore *store, const char *key, const char *value, uint64_t session, LxWriteOutcome outcome);
/* Starts a new session of the row and returns its number. */
uint64_t lx_store_begin_session (LxStore *store, const char *key);

/* queries */
/* Returns the value; "" if the row does not exist. */
const char *lx_store_get_value (const LxStore *store, const char *key);

#endif
