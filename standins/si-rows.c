#include "si-rows.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

static void
partition_free (SiPartition *partition)
{
  HASH_CLEAR (hh, partition->rows_by_key);
  LB_LIST_FOREACH (&partition->rows, SiRow, partition_link, row)
  {
    free (row->key);
    free (row->value);
    free (row);
  }
  free (partition->name);
  free (partition);
}

static void
table_free (SiTable *table)
{
  SiPartition *partition, *next;

  HASH_ITER (hh, table->partitions, partition, next)
  {
    HASH_DEL (table->partitions, partition);
    partition_free (partition);
  }
  free (table->name);
  free (table);
}

void
si_rows_clear (SiRows *rows)
{
  SiTable *table, *next;

  HASH_ITER (hh, rows->tables, table, next)
  {
    HASH_DEL (rows->tables, table);
    table_free (table);
  }
}

SiTable *
si_rows_find_table (const SiRows *rows, const char *name)
{
  SiTable *table = NULL;

  HASH_FIND_STR (rows->tables, name, table);
  return table;
}

static SiPartition *
find_partition (const SiTable *table, const char *name)
{
  SiPartition *partition = NULL;

  if (table)
    HASH_FIND_STR (table->partitions, name, partition);
  return partition;
}

static SiRow *
find_row (const SiPartition *partition, const char *key)
{
  SiRow *row = NULL;

  if (partition)
    HASH_FIND_STR (partition->rows_by_key, key, row);
  return row;
}

const SiPartition *
si_rows_find_partition (const SiRows *rows, const char *table, const char *partition)
{
  return find_partition (si_rows_find_table (rows, table), partition);
}

const SiRow *
si_rows_find (const SiRows *rows, const char *table, const char *partition, const char *key)
{
  return find_row (si_rows_find_partition (rows, table, partition), key);
}

static SiTable *
find_or_create_table (SiRows *rows, const char *name)
{
  SiTable *table = si_rows_find_table (rows, name);

  if (table)
    return table;
  table = LB_NEW (SiTable);
  table->name = lb_strdup (name);
  lb_list_init (&table->changes);
  HASH_ADD_KEYPTR (hh, rows->tables, table->name, strlen (table->name), table);
  return table;
}

static SiPartition *
find_or_create_partition (SiTable *table, const char *name)
{
  SiPartition *partition = find_partition (table, name);

  if (partition)
    return partition;
  partition = LB_NEW (SiPartition);
  partition->name = lb_strdup (name);
  lb_list_init (&partition->rows);
  HASH_ADD_KEYPTR (hh, table->partitions, partition->name, strlen (partition->name), partition);
  return partition;
}

static SiRow *
row_new (SiTable *table, SiPartition *partition, const char *key)
{
  SiRow *row = LB_NEW (SiRow);
  LbLink *position = &partition->rows.head;

  row->table = table->name;
  row->partition = partition->name;
  row->key = lb_strdup (key);
  LB_LIST_FOREACH (&partition->rows, SiRow, partition_link, other)
  {
    if (position == &partition->rows.head && strcmp (other->key, key) > 0)
      position = &other->partition_link;
  }
  lb_list_insert_before (&partition->rows, position, &row->partition_link);
  lb_list_append (&table->changes, &row->change_link);
  HASH_ADD_KEYPTR (hh, partition->rows_by_key, row->key, strlen (row->key), row);
  return row;
}

void
si_rows_put (SiRows *rows,
             const char *table_name,
             const char *partition_name,
             const char *key,
             const char *value,
             int64_t version)
{
  SiTable *table = find_or_create_table (rows, table_name);
  SiPartition *partition = find_or_create_partition (table, partition_name);
  SiRow *row = find_row (partition, key);

  if (!row)
    row = row_new (table, partition, key);
  free (row->value);
  row->value = value ? lb_strdup (value) : NULL;
  row->version = version;
  lb_list_remove (&table->changes, &row->change_link);
  lb_list_append (&table->changes, &row->change_link);
}

const SiRow *
si_table_find_change_after (const SiTable *table, int64_t version)
{
  const SiRow *oldest = NULL;

  for (const LbLink *link = table->changes.head.prev; link != &table->changes.head;
       link = link->prev)
    {
      const SiRow *row = LB_CONTAINER (link, SiRow, change_link);
      if (row->version <= version)
        break;
      oldest = row;
    }
  return oldest;
}
