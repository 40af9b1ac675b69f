#ifndef SI_ROW_STORE_H
#define SI_ROW_STORE_H

#include "lb-list.h"
#include "si-server.h"

/* In-memory stand-in for the shared platform's store, as used by platform/: rows in tables and
 * parts, conditional transactions, lists, watches, objects. Faults can be injected. */

typedef enum
{
  SI_ROW_STORE_NORMAL,
  SI_ROW_STORE_UNAVAILABLE, /* answers every call with 503 */
  SI_ROW_STORE_SILENT,      /* never answers a call */
  SI_ROW_STORE_LOSES_REPLY  /* applies writes, then closes the connection */
} SiRowStoreMode;

typedef struct
{
  SiServer server;
  SiServer second_server; /* serves the same rows */
  /* Watches on this server report changes only at the end of their wait; NULL: none. */
  const SiServer *delayed_server;
  LbList rows; /* sorted by table, part and key */
  LbList objects;
  LbList watches;
  struct event *watch_timer;
  const char *unavailable_table; /* lists of it are answered with 503; NULL: none */
  const char *silent_table;      /* requests for it are not answered; NULL: none */
  int64_t version;
  int64_t oldest_watchable_version; /* a watch from an older version gets 410 */
  SiRowStoreMode mode;
  int lost_replies; /* number of next writes to table "head" whose replies are lost, in any mode */
  bool unavailable_after_lost_replies; /* becomes unavailable after the last lost reply */
  int64_t writes;                      /* committed transactions */
} SiRowStore;

bool si_row_store_init (SiRowStore *store, struct event_base *base, int port);
void si_row_store_clear (SiRowStore *store);

/* Writes outside a transaction, as an operator or an endpoint does; value NULL removes the row. */
void si_row_store_put (
    SiRowStore *store, const char *table, const char *part, const char *key, const char *value);
/* Returns the Base64-encoded value, valid until the next change; NULL when there is no such row. */
const char *si_row_store_get_value (const SiRowStore *store,
                                    const char *table,
                                    const char *part,
                                    const char *key);
size_t si_row_store_count_objects (const SiRowStore *store);
/* Counts the rows of the table in all parts, without removed rows. */
size_t si_row_store_count_rows (const SiRowStore *store, const char *table);

#endif
