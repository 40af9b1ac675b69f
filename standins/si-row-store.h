#ifndef SI_ROW_STORE_H
#define SI_ROW_STORE_H

#include "lb-list.h"
#include "si-rows.h"
#include "si-server.h"

/* How the store answers calls; all modes but SI_ROW_STORE_NORMAL are injected faults. */
typedef enum
{
  SI_ROW_STORE_NORMAL,
  SI_ROW_STORE_UNAVAILABLE, /* answers every call with 503 */
  SI_ROW_STORE_SILENT,      /* never answers a call */
  SI_ROW_STORE_LOSES_REPLY  /* applies each transaction, then closes the connection without a reply
                             */
} SiRowStoreMode;

/* In-memory stand-in for the shared platform's store, which the adapter in platform/ calls. It
 * offers rows in tables and partitions, conditional transactions, lists, watches and objects, and
 * can inject faults. */
typedef struct
{
  SiServer server;
  SiServer second_server; /* second address at which the same rows are served */
  /* Watches on this server report changes only when their wait time ends; NULL: no such server. */
  const SiServer *delayed_server;
  SiRows rows;
  LbList objects;
  LbList watches;
  struct event *watch_timer;
  const char *unavailable_table; /* list requests for this table get 503; NULL: none */
  const char *silent_table; /* list and watch requests for this table get no reply; NULL: none */
  int64_t version;
  int64_t oldest_watchable_version; /* a watch that starts at an older version gets 410 */
  SiRowStoreMode mode;
  /* Number of further writes to table "head" whose reply is dropped, also in mode NORMAL. */
  int lost_replies;
  /* Set: mode becomes SI_ROW_STORE_UNAVAILABLE when lost_replies reaches 0. */
  bool unavailable_after_lost_replies;
  int64_t writes;   /* number of committed transactions */
  int64_t requests; /* number of requests, refused ones included */
  /* Requests that the store serves in a second; further ones get 429. 0: no limit. */
  int max_requests_per_second;
  LbTime rate_period_start; /* start of the period that n_served_in_period counts */
  int n_served_in_period;
} SiRowStore;

bool si_row_store_init (SiRowStore *store, struct event_base *base, int port);
void si_row_store_clear (SiRowStore *store);

/* Writes a row without a transaction, as an operator or an endpoint would; a NULL value removes the
 * row. */
void si_row_store_put (SiRowStore *store,
                       const char *table,
                       const char *partition,
                       const char *key,
                       const char *value);
/* Returns the row's Base64-encoded value, valid until the next change; NULL if there is no such
 * row. */
const char *si_row_store_get_value (const SiRowStore *store,
                                    const char *table,
                                    const char *partition,
                                    const char *key);
size_t si_row_store_count_objects (const SiRowStore *store);
/* Returns the number of rows of the table in all partitions, without removed rows. */
size_t si_row_store_count_rows (const SiRowStore *store, const char *table);
/* Returns the number of rows of one partition of the table, without removed rows. */
size_t si_row_store_count_rows_in_partition (const SiRowStore *store,
                                             const char *table,
                                             const char *partition);

#endif
