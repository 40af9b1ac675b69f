#ifndef SI_ROWS_H
#define SI_ROWS_H

#include "lb-list.h"
#include "si-server.h"

/* The store of a shared platform as platform/ speaks to it: rows in tables and parts, conditional
 * transactions, lists, watches, objects. In memory, and with faults to order. */

typedef enum
{
  SI_ROWS_WELL,
  SI_ROWS_AWAY,       /* refuses every call */
  SI_ROWS_SILENT,     /* answers nothing and does nothing */
  SI_ROWS_LOSES_REPLY /* carries writes out and closes the connection instead of an answer */
} SiRowsMode;

typedef struct
{
  SiServer server;
  SiServer far;         /* another way to the same rows */
  const SiServer *late; /* its watches hear of changes only at the end of their time; NULL: none */
  LbList rows;          /* by table, part and key */
  LbList objects;
  LbList watches;
  struct event *wake;
  const char *away_table;   /* lists of it are refused; NULL: none */
  const char *silent_table; /* lists of it are not answered; NULL: none */
  int64_t version;
  int64_t history_from; /* older versions can't be watched from */
  SiRowsMode mode;
  int lost_replies;    /* of writes of batches' rows: so many more are lost, whatever the mode */
  bool away_once_lost; /* refuses every call after the last of those */
  int64_t writes;      /* that were carried out */
} SiRows;

bool si_rows_init (SiRows *rows, struct event_base *base, int port);
void si_rows_clear (SiRows *rows);

/* As an operator or an endpoint writes; value NULL: removes. */
void
si_rows_put (SiRows *rows, const char *table, const char *part, const char *key, const char *value);
/* NULL when there is none; valid until the next change. */
const char *si_rows_get (const SiRows *rows, const char *table, const char *part, const char *key);
size_t si_rows_count_objects (const SiRows *rows);
/* Rows of the table, in all parts. */
size_t si_rows_count (const SiRows *rows, const char *table);

#endif
