#ifndef LP_PLATFORM_H
#define LP_PLATFORM_H

#include "lb-error.h"

struct event_base;

/* Interface to the platform's store and its lists of instances and weight versions, implemented
 * over HTTP, in memory, and for a shared platform. Each call invokes its callback exactly once,
 * never from inside the call. */
typedef struct LpPlatform LpPlatform;

typedef struct
{
  const char *key;
  int64_t version; /* required current version of the row; 0: the row must not exist */
} LpCondition;

typedef struct
{
  const char *key;
  const char *value; /* NULL: deletes the row */
} LpPut;

/* A conditional transaction. The token makes it idempotent: a repeated token changes nothing and
 * gets the first answer, even CONDITION_FAILED, so a new transaction needs a new token. Row
 * versions increase, also when a row is deleted and created again, but are not consecutive. */
typedef struct
{
  const char *token;
  const LpCondition *conditions;
  size_t n_conditions;
  const LpPut *puts;
  size_t n_puts;
  /* After an unknown outcome, read the row of the first put: if it has the put's value, the
   * transaction was applied. Only for values that no other transaction writes. */
  bool read_back;
  LbTime timeout; /* longest wait for an answer; 0: the platform's default */
} LpTransaction;

typedef struct
{
  const char *key;
  const char *value;
  int64_t version;
} LpRow;

/* error: LB_OK (row has the first put's key and new version), CONDITION_FAILED (row has the key of
 * the failed condition and its current version), STORE_AWAY or STORE_BUSY (not applied),
 * STORE_UNKNOWN (may have been applied: read the row). */
typedef void (*LpTransactDone) (LbErrorCode error, const LpRow *row, void *user);
/* error: LB_OK, NOT_FOUND, STORE_AWAY, STORE_BUSY. rows is valid until the callback returns. */
typedef void (*LpRowsDone) (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user);
/* bytes is valid until the callback returns. */
typedef void (*LpObjectDone) (LbErrorCode error, const char *bytes, size_t length, void *user);

/* An instance of this system, as listed by the platform. */
typedef struct
{
  const char *name;
  const char *caller_address; /* address that callers connect to */
  const char *peer_address;   /* address that other instances connect to */
  const char *data_centre;
  bool leaving; /* the platform has asked the instance to shut down */
} LpInstance;

typedef struct
{
  const LpInstance *instances;
  size_t n_instances;
  const char *const *leaving_endpoints; /* names of endpoints asked to shut down */
  size_t n_leaving_endpoints;
} LpInstanceList;

typedef void (*LpInstancesDone) (LbErrorCode error, const LpInstanceList *list, void *user);
/* version: the newest weight version of the pool that was asked for; 0 on an error. */
typedef void (*LpWeightsDone) (LbErrorCode error, int64_t version, void *user);

/* Priority of calls that wait for the client's rate limit or for its budget of attempts, the most
 * urgent first. */
typedef enum
{
  LP_PRIORITY_LEASE,
  LP_PRIORITY_CONFIG,
  LP_PRIORITY_LEDGER,
  LP_PRIORITY_STATUS,
  LP_N_PRIORITIES
} LpPriority;

/* error: LB_OK, STORE_AWAY, STORE_BUSY. rows is in key order. version: the table's version when it
 * was listed; a watch from this version delivers all later changes. */
typedef void (*LpListDone) (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user);
/* Receives the changed rows in order; a row whose value is NULL was deleted. LB_ERROR_NOT_FOUND:
 * the store no longer has all changes after the watched version, so the rows must be listed. */
typedef LpListDone LpWatchDone;
/* Receives the result of a store call that this instance executed for a peer instance. */
typedef void (*LpPeerCallDone) (
    LbErrorCode error, int status, const char *body, size_t length, void *user);

typedef struct
{
  const char *name; /* kind of platform: "memory", "http" or "shared" */
  void (*free) (LpPlatform *platform);
  void (*transact) (LpPlatform *platform,
                    const LpTransaction *transaction,
                    LpPriority priority,
                    LpTransactDone done,
                    void *user);
  void (*get) (LpPlatform *platform, const char *key, LpRowsDone done, void *user);
  /* Reads all rows whose keys start with the prefix. scan, list_instances and get_weights are NULL
   * on a shared platform, whose rows are read by list and watch. */
  void (*scan) (LpPlatform *platform, const char *prefix, LpRowsDone done, void *user);
  void (*put_object) (LpPlatform *platform,
                      const char *key,
                      const char *bytes,
                      size_t length,
                      LpObjectDone done,
                      void *user);
  void (*get_object) (LpPlatform *platform, const char *key, LpObjectDone done, void *user);
  /* Deletes an object; callback errors: LB_OK, NOT_FOUND, STORE_AWAY, STORE_BUSY. NULL if not
   * supported. */
  void (*remove_object) (LpPlatform *platform, const char *key, LpObjectDone done, void *user);
  /* Lists up to `limit` rows (0: all) whose keys start with `prefix`, from key `prefix` + `from`
   * on. Keys are "TABLE/PART/REST", or "TABLE/REST" in the table's unnamed part; a prefix names the
   * table and the part. NULL if not supported. */
  void (*list) (LpPlatform *platform,
                const char *prefix,
                const char *from,
                int64_t limit,
                LpListDone done,
                void *user);
  /* Long poll: answers as soon as a row of the table has a version above `after`, or without rows
   * after the timeout. */
  void (*watch) (LpPlatform *platform,
                 const char *table,
                 int64_t after,
                 LbTime timeout,
                 LpWatchDone done,
                 void *user);
  /* Sets the addresses of the peers that calls go through while this instance can't reach the
   * store directly. NULL if not supported. */
  void (*set_peers) (LpPlatform *platform, const LbName *addresses, size_t n_addresses);
  /* Whether this instance reaches the store directly, not through peers. NULL if not supported. */
  bool (*is_store_reachable) (const LpPlatform *platform);
  /* The store's monotonic clock in ms, from the last answer that reported it; in a callback, this
   * may be the answer being delivered. 0: not reported yet. NULL if not supported. */
  int64_t (*store_clock_ms) (const LpPlatform *platform);
  /* The store's clock in ms at time `now` of this process, estimated from answers; 0: unknown. */
  int64_t (*store_clock_ms_at) (const LpPlatform *platform, LbTime now);
  /* Executes a peer's store call over the direct path, never through another peer. timeout: how
   * long the peer waits; 0: the default. If the callback's status is 0, the store did not answer,
   * and the callback's error says whether the call may have been applied. */
  void (*execute_peer_call) (LpPlatform *platform,
                             const char *method,
                             const char *path,
                             const char *body,
                             size_t length,
                             LbTime timeout,
                             LpPeerCallDone done,
                             void *user);
  void (*list_instances) (LpPlatform *platform, LpInstancesDone done, void *user);
  void (*get_weights) (LpPlatform *platform, const char *pool, LpWeightsDone done, void *user);
} LpPlatformClass;

struct LpPlatform
{
  const LpPlatformClass *klass;
};

/* Call optional functions of LpPlatformClass. If one is not supported, the clock is 0 and the store
 * counts as reachable. */
int64_t lp_platform_get_store_clock_ms (const LpPlatform *platform);
int64_t lp_platform_get_store_clock_ms_at (const LpPlatform *platform, LbTime at);
bool lp_platform_is_store_reachable (const LpPlatform *platform);

typedef struct
{
  LbName address;  /* IP:PORT of the platform's HTTP interface */
  LbTime deadline; /* longest time for one call */
  double rate;     /* limit of this instance's calls per second; 0: no limit */
  uint64_t seed;   /* seed of the retry jitter and of the choice of a peer */
} LpHttpSettings;

LpPlatform *lp_memory_new (struct event_base *base);
LpPlatform *lp_http_new (struct event_base *base, const LpHttpSettings *settings);

#endif
