#ifndef LN_CONFIG_STORE_H
#define LN_CONFIG_STORE_H

#include "lc-resources.h"

struct event_base;
struct LpPlatform;
struct json_object;

/* The accepted configuration in the platform's table:
 *   config/head              {"revision": R}
 *   config/set/R             the whole set of revision R; the newest few are kept
 *   config/history/R         who changed what and when, and the token of the transaction
 * One transaction, on condition that the head row is unchanged, writes all three. */
typedef struct LnConfigStore LnConfigStore;

LnConfigStore *ln_config_store_new (struct event_base *base, struct LpPlatform *platform);
/* Drops pending calls without calling back; the platform must not answer them afterwards. */
void ln_config_store_free (LnConfigStore *store);

typedef struct
{
  LbErrorCode error;
  int64_t revision;
  int64_t head_version; /* for the condition of a commit */
  LcResourceSet *set;   /* NULL unless revision > known_revision; owned by the callback */
  LbTime requested_at;
} LnConfigRead;

typedef void (*LnConfigReadDone) (const LnConfigRead *read, void *user);

/* Reads the head row and, if its revision is above known_revision, that revision's set. */
void ln_config_store_read_accepted (LnConfigStore *store,
                                    int64_t known_revision,
                                    LnConfigReadDone done,
                                    void *user);

/* error: LB_OK, CONFLICT, STORE_AWAY, STORE_BUSY, or STORE_UNKNOWN (it may have taken effect, or do
 * so later). */
typedef void (*LnConfigCommitDone) (LbErrorCode error, LbTime started_at, void *user);

/* Commits set as the next revision. history: text of its history row, which contains the token;
 * token: makes retries idempotent. */
void ln_config_store_commit (LnConfigStore *store,
                             const LcResourceSet *set,
                             int64_t head_version,
                             const char *token,
                             const char *history,
                             LnConfigCommitDone done,
                             void *user);

typedef void (*LnConfigHistoryDone) (LbErrorCode error, struct json_object *rows, void *user);

/* Reads at most limit history rows up to revision, newest first; the callback owns rows. */
void ln_config_store_history (
    LnConfigStore *store, int64_t revision, size_t limit, LnConfigHistoryDone done, void *user);

#endif
