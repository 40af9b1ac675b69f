#ifndef LP_PLATFORM_H
#define LP_PLATFORM_H

#include "lb-error.h"

struct event_base;

/* Services of the platform behind one vtable, implemented over HTTP, in memory, and by the shared
 * platform. Each call invokes its callback exactly once, never from inside the call. */
typedef struct LpPlatform LpPlatform;

typedef struct
{
  const char *key;
  int64_t version; /* must be the row's current version; 0: the row must be absent */
} LpCondition;

typedef struct
{
  const char *key;
  const char *value; /* NULL: delete */
} LpPut;

/* One conditional transaction. The token makes it idempotent: a repeated token is not applied again
 * and gets the first answer, CONDITION_FAILED included, so a new attempt needs a new token. Row
 * versions only increase, also across a delete and re-creation, but are not consecutive. */
typedef struct
{
  const char *token;
  const LpCondition *conditions;
  size_t n_conditions;
  const LpPut *puts;
  size_t n_puts;
  /* After an unknown outcome, read the first put's row: finding its value there proves that the
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

/* error: LB_OK (row has the first put's key and new version), CONDITION_FAILED (row has the failed
 * key and its current version), STORE_AWAY (not applied), STORE_UNKNOWN (may have been applied:
 * read back), STORE_BUSY. */
typedef void (*LpTransactDone) (LbErrorCode error, const LpRow *row, void *user);
/* error: LB_OK, NOT_FOUND, STORE_AWAY, STORE_BUSY. Rows are valid during the call. */
typedef void (*LpRowsDone) (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user);
/* Bytes are valid during the call. */
typedef void (*LpObjectDone) (LbErrorCode error, const char *bytes, size_t length, void *user);

/* An instance in the platform's list. */
typedef struct
{
  const char *name;
  const char *caller_address; /* where callers connect */
  const char *peer_address;   /* where other instances connect */
  const char *data_centre;
  bool leaving; /* is to shut down */
} LpInstance;

typedef struct
{
  const LpInstance *instances;
  size_t n_instances;
  const char *const *leaving_endpoints; /* names of the endpoints that are to shut down */
  size_t n_leaving_endpoints;
} LpInstanceList;

typedef void (*LpInstancesDone) (LbErrorCode error, const LpInstanceList *list, void *user);
/* version: the newest weight version of the pool. */
typedef void (*LpWeightsDone) (LbErrorCode error, int64_t version, void *user);

/* Order of writes when the client's own rate limit is reached. */
typedef enum
{
  LP_PRIORITY_LEASE,
  LP_PRIORITY_CONFIG,
  LP_PRIORITY_LEDGER,
  LP_PRIORITY_STATUS
} LpPriority;

/* error: LB_OK, STORE_AWAY, STORE_BUSY; rows in key order. version: the table's version at the time
 * of the list, from which a watch continues. */
typedef void (*LpListDone) (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user);
/* The same for changed rows, in order; a row without a value was deleted. LB_ERROR_NOT_FOUND: the
 * store no longer has the requested history, so the rows must be listed. */
typedef LpListDone LpWatchDone;
/* Answer to a peer's call, see execute_peer_call. */
typedef void (*LpPeerCallDone) (
    LbErrorCode error, int status, const char *body, size_t length, void *user);

typedef struct
{
  const char *name; /* "memory", "http", "shared" */
  void (*free) (LpPlatform *platform);
  void (*transact) (LpPlatform *platform,
                    const LpTransaction *transaction,
                    LpPriority priority,
                    LpTransactDone done,
                    void *user);
  void (*get) (LpPlatform *platform, const char *key, LpRowsDone done, void *user);
  /* scan, list_instances and get_weights: NULL on a shared platform, whose instances list rows
   * instead. */
  void (*scan) (LpPlatform *platform, const char *prefix, LpRowsDone done, void *user);
  void (*put_object) (LpPlatform *platform,
                      const char *key,
                      const char *bytes,
                      size_t length,
                      LpObjectDone done,
                      void *user);
  void (*get_object) (LpPlatform *platform, const char *key, LpObjectDone done, void *user);
  /* error: LB_OK, NOT_FOUND, STORE_AWAY, STORE_BUSY. NULL if not supported. */
  void (*remove_object) (LpPlatform *platform, const char *key, LpObjectDone done, void *user);
  /* Rows whose keys start with prefix, beginning at prefix followed by `from`; limit 0: all. Keys
   * are "TABLE/PART/REST", or "TABLE/REST" in the table's unnamed part; a prefix names the table
   * and the part. NULL if not supported. */
  void (*list) (LpPlatform *platform,
                const char *prefix,
                const char *from,
                int64_t limit,
                LpListDone done,
                void *user);
  /* Answers as soon as rows of the table have a version above `after`, at the latest after the
   * timeout. */
  void (*watch) (LpPlatform *platform,
                 const char *table,
                 int64_t after,
                 LbTime timeout,
                 LpWatchDone done,
                 void *user);
  /* Sets the instances through which calls go while this one can't reach the store. NULL if not
   * supported. */
  void (*set_peers) (LpPlatform *platform, const LbName *addresses, size_t n_addresses);
  /* Whether this instance reaches the store directly, not through peers; NULL if not known. */
  bool (*is_store_reachable) (const LpPlatform *platform);
  /* The store's own monotonic clock, in ms, in the answer being delivered; 0: the answer has none.
   * NULL if not supported. */
  int64_t (*store_clock_ms) (const LpPlatform *platform);
  /* The same clock at time `now` of this process, extrapolated from earlier answers; 0: unknown. */
  int64_t (*store_clock_ms_at) (const LpPlatform *platform, LbTime now);
  /* Executes a peer's call directly, never through another peer. status 0: no answer came; error
   * says whether the call may have been executed. */
  void (*execute_peer_call) (LpPlatform *platform,
                             const char *method,
                             const char *path,
                             const char *body,
                             size_t length,
                             LpPeerCallDone done,
                             void *user);
  void (*list_instances) (LpPlatform *platform, LpInstancesDone done, void *user);
  void (*get_weights) (LpPlatform *platform, const char *pool, LpWeightsDone done, void *user);
} LpPlatformClass;

struct LpPlatform
{
  const LpPlatformClass *klass;
};

/* Call the optional functions of the class. Defaults if not supported: 0 for the clocks, and the
 * store counts as reachable. */
int64_t lp_platform_store_clock_ms (const LpPlatform *platform);
int64_t lp_platform_store_clock_ms_at (const LpPlatform *platform, LbTime at);
bool lp_platform_is_store_reachable (const LpPlatform *platform);

typedef struct
{
  LbName address;  /* of the platform's HTTP interface */
  LbTime deadline; /* of one call */
  double rate;     /* limit of this instance's calls per second; 0: none */
  uint64_t seed;   /* of the retries' jitter and the choice of a peer */
} LpHttpSettings;

LpPlatform *lp_memory_new (struct event_base *base);
LpPlatform *lp_http_new (struct event_base *base, const LpHttpSettings *settings);

#endif
