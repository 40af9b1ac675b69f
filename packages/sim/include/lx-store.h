#ifndef LX_STORE_H
#define LX_STORE_H

#include "lb-error.h"

#include <uthash.h>

/* Share of the store calls that get no reply while the fault LX_FAULT_REPLIES_LOST is active. */
#define LX_LOST_REPLY_SHARE 0.33

/* A table row, which holds the ledger of a step, and the number of the only session that may write
 * the row. */
typedef struct
{
  UT_hash_handle hh;
  char key[3 * LB_NAME_MAX];
  char *value;
  uint64_t session;
} LxStoreRow;

/* Simulated outcome of a write to the store. */
typedef enum
{
  LX_WRITE_APPLIED,
  LX_WRITE_UNAVAILABLE, /* not applied; the writer receives an error */
  LX_WRITE_REPLY_LOST,  /* applied, but the writer receives no answer */
  LX_WRITE_REQUEST_LOST /* not applied, and the writer receives no answer */
} LxWriteOutcome;

/* Simulated database table of the platform, with outages and lost replies in virtual time. */
typedef struct
{
  LxStoreRow *rows;
  LbTime unavailable_until;
  LbTime replies_lost_until;
} LxStore;

void lx_store_init (LxStore *store);
void lx_store_clear (LxStore *store);

/* --- functions that change rows --- */
/* Writes the value if `session` is the current session of the row; otherwise returns
 * LB_ERROR_STALE_SESSION. Only LX_WRITE_APPLIED and LX_WRITE_REPLY_LOST change the row. */
LbErrorCode lx_store_write_row (
    LxStore *store, const char *key, const char *value, uint64_t session, LxWriteOutcome outcome);
/* Starts a new session of the row and returns the session's number. */
uint64_t lx_store_begin_row_session (LxStore *store, const char *key);

/* --- functions that only read rows --- */
/* Returns the value; "" if the row does not exist. */
const char *lx_store_get_row_value (const LxStore *store, const char *key);

#endif
