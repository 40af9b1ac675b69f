#ifndef SI_ROW_STORE_H
#define SI_ROW_STORE_H

#include "lb-list.h"
#include "si-server.h"

/* The store of a shared platform as platform/ speaks to it: rows in tables and parts, conditional
 * transactions, lists, watches, objects. In memory, and with faults to order. */

typedef enum
{
  SI_ROW_STORE_NORMAL,
  SI_ROW_STORE_UNAVAILABLE, /* refuses every call */
  SI_ROW_STORE_SILENT,      /* answers nothing and does nothing */
  SI_ROW_STORE_LOSES_REPLY  /* carries writes out and closes the connection instead of an answer */
} SiRowStoreMode;

typedef struct
{
  SiServer server;
  SiServer second_server; /* another way to the same rows */
  const SiServer
      *delayed_server; /* its watches hear of changes only at the end of their time; NULL: none */
  LbList rows;         /* by table, part and key */
  LbList objects;
  LbList watches;
  struct event *watch_timer;
  const char *unavailable_table; /* lists of it are refused; NULL: none */
  const char *silent_table;      /* lists of it are not answered; NULL: none */
  int64_t version;
  int64_t oldest_watchable_version; /* older versions can't be watched from */
  SiRowStoreMode mode;
  int lost_replies; /* of writes of batches' rows: so many more are lost, whatever the mode */
  bool unavailable_after_lost_replies; /* refuses every call after the last of those */
  int64_t writes;                      /* that were carried out */
} SiRowStore;

bool si_row_store_init (SiRowStore *rows, struct event_base *base, int port);
void si_row_store_clear (SiRowStore *rows);

/* As an operator or an endpoint writes; value NULL: removes. */
void si_row_store_put (
    SiRowStore *rows, const char *table, const char *part, const char *key, const char *value);
/* NULL when there is none; valid until the next change. */
const char *
si_row_store_get (const SiRowStore *rows, const char *table, const char *part, const char *key);
size_t si_row_store_count_objects (const SiRowStore *rows);
/* Rows of the table, in all parts. */
size_t si_row_store_count (const SiRowStore *rows, const char *table);

#endif
