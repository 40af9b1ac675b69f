#ifndef LP_STORE_H
#define LP_STORE_H

#include "lp-platform.h"

/* In-memory store: rows, objects, and the newest weight version of each pool. No I/O. Backs the
 * platform of lp_memory_new, and the test platform that serves the store over HTTP. */
typedef struct LpStore LpStore;

LpStore *lp_store_new (void);
void lp_store_free (LpStore *store);

LbErrorCode lp_store_transact (LpStore *store, const LpTransaction *transaction, LpRow *row);
void lp_store_put_object (LpStore *store, const char *key, const char *bytes, size_t length);
bool lp_store_delete_object (LpStore *store, const char *key);
void lp_store_set_weight_version (LpStore *store, const char *pool, int64_t version);

const LpRow *lp_store_get_row (const LpStore *store, const char *key);
const LpRow *lp_store_find_next_row (const LpStore *store, const char *prefix, const char *after);
const char *lp_store_get_object (const LpStore *store, const char *key, size_t *length);
int64_t lp_store_get_weight_version (const LpStore *store, const char *pool);

#endif
