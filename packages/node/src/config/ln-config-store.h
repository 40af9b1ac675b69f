#ifndef LN_CONFIG_STORE_H
#define LN_CONFIG_STORE_H

#include "lc-resources.h"

struct event_base;
struct LpPlatform;
struct json_object;

/* The accepted configuration in the platform's table:
 *   config/head              {"revision": R}
 *   config/set/R             the whole set; the newest few are kept
 *   config/history/R         who changed what and when, and the token of the transaction
 * One transaction under the condition on the head row writes all three. */
typedef struct LnConfigStore LnConfigStore;

LnConfigStore *ln_config_store_new (struct event_base *base, struct LpPlatform *platform);
/* What still waits is dropped; the platform must not answer any more. */
void ln_config_store_free (LnConfigStore *store);

typedef struct
{
  LbErrorCode error;
  int64_t revision;
  int64_t head_version; /* for the condition of a commit */
  LcResourceSet *set;   /* NULL unless revision > known; the callback takes it over */
  LbTime asked_at;
} LnConfigRead;

typedef void (*LnConfigReadDone) (const LnConfigRead *read, void *user);

/* Reads the head row, and the set when its revision is above known. */
void ln_config_store_read (LnConfigStore *store, int64_t known, LnConfigReadDone done, void *user);

/* error: LB_OK, CONFLICT, STORE_AWAY, STORE_BUSY, STORE_UNKNOWN (it may be accepted or become so).
 */
typedef void (*LnConfigCommitDone) (LbErrorCode error, LbTime asked_at, void *user);

/* Commits set as the next revision. history is the text of its history row, token makes retries
 * idempotent and is found again in that row. */
void ln_config_store_commit (LnConfigStore *store,
                             const LcResourceSet *set,
                             int64_t head_version,
                             const char *token,
                             const char *history,
                             LnConfigCommitDone done,
                             void *user);

typedef void (*LnConfigHistoryDone) (LbErrorCode error, struct json_object *rows, void *user);

/* The last limit rows up to revision, newest first, in a list that the callback takes over. */
void ln_config_store_history (
    LnConfigStore *store, int64_t revision, size_t limit, LnConfigHistoryDone done, void *user);

#endif
