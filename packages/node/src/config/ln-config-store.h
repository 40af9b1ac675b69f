#ifndef LN_CONFIG_STORE_H
#define LN_CONFIG_STORE_H

#include "lc-resources.h"

struct event_base;
struct LpPlatform;
struct json_object;

/* Reads and writes the accepted configuration, which is stored in rows of the platform's table:
 *   config/head              {"revision": R}
 *   config/set/R             all resources of revision R; the newest few sets are kept
 *   config/history/R         who changed what and when, and the token of the transaction
 * One transaction, on condition that the head row is unchanged, writes all three rows. */
typedef struct LnConfigStore LnConfigStore;

LnConfigStore *ln_config_store_new (struct event_base *base, struct LpPlatform *platform);
/* Drops calls in progress without calling back; the platform must not answer them afterwards. */
void ln_config_store_free (LnConfigStore *store);

typedef struct
{
  LbErrorCode error;
  int64_t revision;     /* accepted revision; 0: none was accepted yet */
  int64_t head_version; /* store version of the head row; 0: the row is absent */
  LcResourceSet *set;   /* NULL unless revision > known_revision; the callback frees it */
  LbTime requested_at;  /* when the read of the head row was sent */
} LnConfigRead;

typedef void (*LnConfigReadDone) (const LnConfigRead *read, void *user);

/* Reads the head row and, if its revision is above known_revision, that revision's set. */
void ln_config_store_read_accepted_set (LnConfigStore *store,
                                        int64_t known_revision,
                                        LnConfigReadDone done,
                                        void *user);

/* error: LB_OK, CONFLICT, STORE_AWAY, STORE_BUSY, or STORE_UNKNOWN (the commit may have taken
 * effect, or may still do so). started_at: when ln_config_store_commit_set was called. */
typedef void (*LnConfigCommitDone) (LbErrorCode error, LbTime started_at, void *user);

/* Commits set as the next revision. token: makes retries idempotent. history: text of the new
 * revision's history row, which contains the token. */
void ln_config_store_commit_set (LnConfigStore *store,
                                 const LcResourceSet *set,
                                 int64_t head_version,
                                 const char *token,
                                 const char *history,
                                 LnConfigCommitDone done,
                                 void *user);

typedef void (*LnConfigHistoryDone) (LbErrorCode error, struct json_object *rows, void *user);

/* Reads at most `limit` history rows up to `revision`, newest first; the callback frees rows. */
void ln_config_store_read_history (
    LnConfigStore *store, int64_t revision, size_t limit, LnConfigHistoryDone done, void *user);

#endif
