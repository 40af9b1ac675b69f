#ifndef SI_TABLE_H
#define SI_TABLE_H

#include "lp-store.h"
#include "si-json.h"

/* This header declares functions that apply the platform's JSON table requests to an LpStore. An
 * int result is the HTTP status. The caller owns the reply. */
int si_table_transact (LpStore *store, struct json_object *request, struct json_object **reply);
int si_table_get_row (const LpStore *store, const char *key, struct json_object **reply);
struct json_object *
si_table_scan (const LpStore *store, const char *prefix, const char *after, int64_t limit);

#endif
