#ifndef SI_ROWS_H
#define SI_ROWS_H

#include "lb-list.h"

#include <uthash.h>

/* Rows of the stand-in store. Rows of a partition are sorted by key, and rows of a table are also
 * sorted by version, so neither a list nor a watch searches the rows of other tables. */

/* A row. A removed row stays as a tombstone, so that watches report the removal. */
typedef struct
{
  LbLink partition_link; /* link in SiPartition.rows */
  LbLink change_link;    /* link in SiTable.changes */
  const char *table;     /* names owned by SiTable and SiPartition */
  const char *partition;
  char *key;
  char *value; /* Base64-encoded, as received; NULL: the row is removed */
  int64_t version;
  UT_hash_handle hh; /* in SiPartition.rows_by_key */
} SiRow;

typedef struct
{
  char *name;
  LbList rows; /* of SiRow by partition_link, sorted by key */
  SiRow *rows_by_key;
  UT_hash_handle hh; /* in SiTable.partitions */
} SiPartition;

typedef struct
{
  char *name;
  SiPartition *partitions;
  LbList changes; /* of SiRow by change_link, oldest change first */
  UT_hash_handle hh;
} SiTable;

/* All tables, by name. */
typedef struct
{
  SiTable *tables;
} SiRows;

void si_rows_clear (SiRows *rows);

/* Writes the row with a version that is at least as large as any before; a NULL value removes it.
 * Copies the texts. */
void si_rows_put (SiRows *rows,
                  const char *table,
                  const char *partition,
                  const char *key,
                  const char *value,
                  int64_t version);

/* The following functions return NULL if there is no such row, partition or table. */
const SiRow *
si_rows_find (const SiRows *rows, const char *table, const char *partition, const char *key);
const SiPartition *
si_rows_find_partition (const SiRows *rows, const char *table, const char *partition);
SiTable *si_rows_find_table (const SiRows *rows, const char *table);
/* Returns the table's oldest change with a version above `version`. The changes after it follow by
 * change_link. */
const SiRow *si_table_find_change_after (const SiTable *table, int64_t version);

#endif
