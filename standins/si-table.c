#include "si-table.h"

#include "lb-alloc.h"

#include <stdlib.h>

static struct json_object *
get_json_array (struct json_object *object, const char *key, size_t *length)
{
  struct json_object *array = NULL;

  *length = 0;
  if (json_object_object_get_ex (object, key, &array)
      && json_object_is_type (array, json_type_array))
    *length = json_object_array_length (array);
  return array;
}

static LpCondition *
parse_conditions (struct json_object *request, size_t *n)
{
  struct json_object *array = get_json_array (request, "conditions", n);
  LpCondition *conditions = LB_NEW_ARRAY (LpCondition, *n);

  for (size_t i = 0; i < *n; i++)
    {
      struct json_object *item = json_object_array_get_idx (array, i);
      conditions[i].key = si_json_get_text (item, "key", "");
      conditions[i].version = si_json_get_int (item, "version", 0);
    }
  return conditions;
}

static LpPut *
parse_puts_and_deletes (struct json_object *request, size_t *n)
{
  size_t n_puts, n_deletes;
  struct json_object *array = get_json_array (request, "puts", &n_puts);
  struct json_object *deletes = get_json_array (request, "deletes", &n_deletes);
  LpPut *puts = LB_NEW_ARRAY (LpPut, n_puts + n_deletes);

  for (size_t i = 0; i < n_puts; i++)
    {
      struct json_object *item = json_object_array_get_idx (array, i);
      puts[i].key = si_json_get_text (item, "key", "");
      puts[i].value = si_json_get_text (item, "value", "");
    }
  for (size_t i = 0; i < n_deletes; i++)
    puts[n_puts + i].key = json_object_get_string (json_object_array_get_idx (deletes, i));
  *n = n_puts + n_deletes;
  return puts;
}

static struct json_object *
new_commit_reply (const LpTransaction *transaction, int64_t version)
{
  struct json_object *reply = json_object_new_object ();
  struct json_object *versions = json_object_new_object ();

  for (size_t i = 0; i < transaction->n_puts; i++)
    if (transaction->puts[i].value)
      si_json_set_int (versions, transaction->puts[i].key, version);
  json_object_object_add (reply, "versions", versions);
  return reply;
}

static struct json_object *
new_conflict_reply (const LpRow *row)
{
  struct json_object *reply = json_object_new_object ();

  si_json_set_text (reply, "failed", row->key);
  si_json_set_int (reply, "version", row->version);
  return reply;
}

int
si_table_transact (LpStore *store, struct json_object *request, struct json_object **reply)
{
  LpTransaction transaction = { .token = si_json_get_text (request, "token", NULL) };
  LpRow row;

  if (!transaction.token)
    {
      *reply = json_object_new_object ();
      return 400;
    }
  LpCondition *conditions = parse_conditions (request, &transaction.n_conditions);
  LpPut *puts = parse_puts_and_deletes (request, &transaction.n_puts);
  transaction.conditions = conditions;
  transaction.puts = puts;
  bool is_committed = lp_store_transact (store, &transaction, &row) == LB_OK;
  *reply = is_committed ? new_commit_reply (&transaction, row.version) : new_conflict_reply (&row);
  free (conditions);
  free (puts);
  return is_committed ? 200 : 409;
}

static struct json_object *
row_to_json (const LpRow *row)
{
  struct json_object *object = json_object_new_object ();

  si_json_set_text (object, "key", row->key);
  si_json_set_text (object, "value", row->value);
  si_json_set_int (object, "version", row->version);
  return object;
}

int
si_table_get_row (const LpStore *store, const char *key, struct json_object **reply)
{
  const LpRow *row = lp_store_get_row (store, key);

  *reply = row ? row_to_json (row) : json_object_new_object ();
  return row ? 200 : 404;
}

struct json_object *
si_table_scan (const LpStore *store, const char *prefix, const char *after, int64_t limit)
{
  struct json_object *reply = json_object_new_object ();
  struct json_object *rows = json_object_new_array ();
  const LpRow *row = lp_store_find_next_row (store, prefix, after);

  for (; row && limit > 0; limit--)
    {
      json_object_array_add (rows, row_to_json (row));
      row = lp_store_find_next_row (store, prefix, row->key);
    }
  json_object_object_add (reply, "rows", rows);
  return reply;
}
