#ifndef LP_PLATFORM_H
#define LP_PLATFORM_H

#include "lb-error.h"

struct event_base;

/* What the platform gives, behind one vtable: an HTTP kind, an in-memory kind, and the shared
 * platform's. Every call answers exactly once through its callback, never from inside the call. */
typedef struct LpPlatform LpPlatform;

typedef struct
{
  const char *key;
  int64_t version; /* must be the row's present version; 0: the row must be absent */
} LpCondition;

typedef struct
{
  const char *key;
  const char *value; /* NULL: delete */
} LpPut;

/* One conditional transaction. token makes it idempotent: the same token is applied once, and a
 * repeat gets the first answer, CONDITION_FAILED included: a new try needs a new token. Versions of
 * a row only grow, also after it was deleted and made again; they are not consecutive. */
typedef struct
{
  const char *token;
  const LpCondition *conditions;
  size_t n_conditions;
  const LpPut *puts;
  size_t n_puts;
  /* After an unknown outcome read the first put's row: its value there proves that the transaction
   * was applied. Only for values that no other transaction writes. */
  bool read_back;
  LbTime timeout; /* longest for an answer; 0: that of the platform's calls */
} LpTransaction;

typedef struct
{
  const char *key;
  const char *value;
  int64_t version;
} LpRow;

/* error: LB_OK (row tells the first put's key and new version), CONDITION_FAILED (row tells the
 * failed key and its present version), STORE_AWAY (known not applied), STORE_UNKNOWN (may be
 * applied: read back), STORE_BUSY. */
typedef void (*LpTransactDone) (LbErrorCode error, const LpRow *row, void *user);
/* error: LB_OK, NOT_FOUND, STORE_AWAY, STORE_BUSY. Rows are valid during the call. */
typedef void (*LpRowsDone) (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user);
typedef void (*LpObjectDone) (LbErrorCode error, const char *bytes, size_t length, void *user);

typedef struct
{
  const char *name;
  const char *caller_address;
  const char *peer_address;
  const char *data_centre;
  bool leaving;
} LpInstance;

typedef struct
{
  const LpInstance *instances;
  size_t n_instances;
  const char *const *leaving_endpoints;
  size_t n_leaving_endpoints;
} LpInstanceList;

typedef void (*LpInstancesDone) (LbErrorCode error, const LpInstanceList *list, void *user);
typedef void (*LpWeightsDone) (LbErrorCode error, int64_t version, void *user);

/* Which writes go first when the client's own rate is used up. */
typedef enum
{
  LP_PRIORITY_LEASE,
  LP_PRIORITY_CONFIG,
  LP_PRIORITY_LEDGER,
  LP_PRIORITY_STATUS
} LpPriority;

/* error: LB_OK, STORE_AWAY, STORE_BUSY; rows in key order. version is that of the whole table at
 * the moment of the list: a watch goes on from there. */
typedef void (*LpListDone) (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user);
/* The same for rows that changed, in order; a row without a value was deleted. LB_ERROR_NOT_FOUND:
 * the history that was asked for is gone, the rows have to be listed. */
typedef LpListDone LpWatchDone;
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
  /* error: LB_OK, NOT_FOUND, STORE_AWAY, STORE_BUSY. NULL where the kind has no such call. */
  void (*remove_object) (LpPlatform *platform, const char *key, LpObjectDone done, void *user);
  /* Rows whose keys begin with prefix, from prefix with `from` behind it on; limit 0: all of them.
   * Keys are "TABLE/PART/REST", or "TABLE/REST" in the table's unnamed part; a prefix names the
   * table and the part. NULL where the kind has no such call. */
  void (*list) (LpPlatform *platform,
                const char *prefix,
                const char *from,
                int64_t limit,
                LpListDone done,
                void *user);
  /* Answers as soon as rows of the table have changed after the version, or after `wait`. */
  void (*watch) (LpPlatform *platform,
                 const char *table,
                 int64_t after,
                 LbTime wait,
                 LpWatchDone done,
                 void *user);
  /* Other instances through which calls go while this one can't reach the store; where the kind can
   * do that. */
  void (*set_peers) (LpPlatform *platform, const LbName *addresses, size_t n_addresses);
  /* Whether this instance reaches the store without the help of others; NULL where the kind can't
   * tell. */
  bool (*is_store_reachable) (const LpPlatform *platform);
  /* The store's own steady clock in the answer that is being passed on, in ms; 0: it named none.
   * NULL where the kind has no such clock. */
  int64_t (*store_ms) (const LpPlatform *platform);
  /* The same clock at the moment `now` of this process, by the last answer; 0: not known. */
  int64_t (*store_ms_at) (const LpPlatform *platform, LbTime now);
  /* Carries out a peer's call, never through another one. status 0: no answer came, and the call
   * may have been carried out or not as error says. */
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

/* The optional functions of the class, also where the kind has none: no clock is 0, and a store
 * whose kind can't tell counts as reached. */
int64_t lp_platform_store_ms (const LpPlatform *platform);
int64_t lp_platform_store_ms_at (const LpPlatform *platform, LbTime at);
bool lp_platform_is_store_reachable (const LpPlatform *platform);

typedef struct
{
  LbName address;  /* of the platform's HTTP interface */
  LbTime deadline; /* of one call */
  double rate;     /* calls a second this instance allows itself; 0: any */
  uint64_t seed;   /* of the jitter */
} LpHttpSettings;

/* See lp-memory.c and lp-http.c. */
LpPlatform *lp_memory_new (struct event_base *base);
LpPlatform *lp_http_new (struct event_base *base, const LpHttpSettings *settings);

#endif
