#include "lp-store.h"

#include "lb-alloc.h"
#include "lb-list.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Number of answers kept to recognise repeated transaction tokens. A token is repeated within
 * seconds, so old answers are dropped. */
#define MAX_KEPT_ANSWERS 65536

typedef struct
{
  LpRow row;
  char *key;
  char *value;
} RowEntry;

/* Answer to a transaction, kept to be returned again if its token is repeated. */
typedef struct
{
  UT_hash_handle hh;
  LbLink link; /* link in LpStore.token_order */
  char *token;
  char *key;
  LbErrorCode error;
  int64_t version;
} Answer;

typedef struct
{
  UT_hash_handle hh;
  char *key;
  char *bytes;
  size_t length;
} Object;

typedef struct
{
  UT_hash_handle hh;
  char *pool;
  int64_t version;
} PoolWeights;

struct LpStore
{
  RowEntry **entries; /* sorted by key */
  size_t n_entries;
  size_t capacity;
  int64_t last_version; /* version of the newest applied transaction; 0: none yet */
  Answer *answers;      /* hash table, by transaction token */
  LbList token_order;   /* all kept answers, oldest first */
  Object *objects;
  PoolWeights *weights;
};

LpStore *
lp_store_new (void)
{
  LpStore *store = LB_NEW (LpStore);

  lb_list_init (&store->token_order);
  return store;
}

static void
row_entry_free (RowEntry *entry)
{
  free (entry->key);
  free (entry->value);
  free (entry);
}

static void
answer_free (LpStore *store, Answer *answer)
{
  HASH_DEL (store->answers, answer);
  lb_list_remove (&store->token_order, &answer->link);
  free (answer->token);
  free (answer->key);
  free (answer);
}

static void
object_free (LpStore *store, Object *object)
{
  HASH_DEL (store->objects, object);
  free (object->key);
  free (object->bytes);
  free (object);
}

static void
pool_weights_free (LpStore *store, PoolWeights *weights)
{
  HASH_DEL (store->weights, weights);
  free (weights->pool);
  free (weights);
}

void
lp_store_free (LpStore *store)
{
  Answer *answer, *next_answer;
  Object *object, *next_object;
  PoolWeights *weights, *next_weights;

  if (!store)
    return;
  for (size_t i = 0; i < store->n_entries; i++)
    row_entry_free (store->entries[i]);
  free (store->entries);
  HASH_ITER (hh, store->answers, answer, next_answer)
  answer_free (store, answer);
  HASH_ITER (hh, store->objects, object, next_object)
  object_free (store, object);
  HASH_ITER (hh, store->weights, weights, next_weights)
  pool_weights_free (store, weights);
  free (store);
}

/* Index of the first entry whose key is equal to or greater than `key`. */
static size_t
find_lower_bound_index (const LpStore *store, const char *key)
{
  size_t low = 0;
  size_t high = store->n_entries;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      if (strcmp (store->entries[middle]->key, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static RowEntry *
find_row_entry (const LpStore *store, const char *key)
{
  size_t i = find_lower_bound_index (store, key);

  if (i < store->n_entries && strcmp (store->entries[i]->key, key) == 0)
    return store->entries[i];
  return NULL;
}

static RowEntry *
insert_row_entry (LpStore *store, const char *key)
{
  size_t i = find_lower_bound_index (store, key);
  RowEntry *entry = LB_NEW (RowEntry);

  if (store->n_entries == store->capacity)
    {
      store->capacity = store->capacity ? store->capacity * 2 : 64;
      store->entries = lb_realloc (store->entries, store->capacity * sizeof (RowEntry *));
    }
  memmove (store->entries + i + 1, store->entries + i,
           (store->n_entries - i) * sizeof (RowEntry *));
  store->entries[i] = entry;
  store->n_entries++;
  entry->key = lb_strdup (key);
  entry->row.key = entry->key;
  return entry;
}

static void
delete_row_entry (LpStore *store, const char *key)
{
  size_t i = find_lower_bound_index (store, key);

  if (i == store->n_entries || strcmp (store->entries[i]->key, key) != 0)
    return;
  row_entry_free (store->entries[i]);
  store->n_entries--;
  memmove (store->entries + i, store->entries + i + 1,
           (store->n_entries - i) * sizeof (RowEntry *));
}

static void
put_or_delete_row_entry (LpStore *store, const LpPut *put)
{
  if (!put->value)
    {
      delete_row_entry (store, put->key);
      return;
    }
  RowEntry *entry = find_row_entry (store, put->key);
  if (!entry)
    entry = insert_row_entry (store, put->key);
  free (entry->value);
  entry->value = lb_strdup (put->value);
  entry->row.value = entry->value;
  entry->row.version = store->last_version;
}

static const LpCondition *
find_failed_condition (const LpStore *store,
                       const LpTransaction *transaction,
                       int64_t *current_version)
{
  for (size_t i = 0; i < transaction->n_conditions; i++)
    {
      const LpCondition *condition = &transaction->conditions[i];
      const RowEntry *entry = find_row_entry (store, condition->key);
      *current_version = entry ? entry->row.version : 0;
      if (*current_version != condition->version)
        return condition;
    }
  return NULL;
}

static Answer *
keep_transaction_answer (
    LpStore *store, const char *token, const char *key, LbErrorCode error, int64_t version)
{
  Answer *answer = LB_NEW (Answer);

  answer->token = lb_strdup (token);
  answer->key = lb_strdup (key);
  answer->error = error;
  answer->version = version;
  HASH_ADD_KEYPTR (hh, store->answers, answer->token, strlen (answer->token), answer);
  lb_list_append (&store->token_order, &answer->link);
  if (store->token_order.length > MAX_KEPT_ANSWERS)
    answer_free (store, LB_CONTAINER (store->token_order.head.next, Answer, link));
  return answer;
}

static Answer *
apply_transaction (LpStore *store, const LpTransaction *transaction)
{
  int64_t current_version = 0;
  const LpCondition *failed = find_failed_condition (store, transaction, &current_version);

  if (failed)
    return keep_transaction_answer (store, transaction->token, failed->key,
                                    LB_ERROR_CONDITION_FAILED, current_version);
  store->last_version++;
  for (size_t i = 0; i < transaction->n_puts; i++)
    put_or_delete_row_entry (store, &transaction->puts[i]);
  return keep_transaction_answer (store, transaction->token,
                                  transaction->n_puts ? transaction->puts[0].key : "", LB_OK,
                                  store->last_version);
}

/* Applies the transaction completely or not at all. All its puts get a new version, larger than any
 * before, so a row that is deleted and created again never reuses a version. *row gets the first
 * put's key and the new version, or on CONDITION_FAILED the key that failed and its current
 * version; it is valid until the next change. A repeated token changes nothing and returns the
 * first answer. */
LbErrorCode
lp_store_transact (LpStore *store, const LpTransaction *transaction, LpRow *row)
{
  Answer *answer = NULL;

  HASH_FIND_STR (store->answers, transaction->token, answer);
  if (!answer)
    answer = apply_transaction (store, transaction);
  *row = (LpRow){ .key = answer->key, .version = answer->version };
  return answer->error;
}

void
lp_store_put_object (LpStore *store, const char *key, const char *bytes, size_t length)
{
  lp_store_delete_object (store, key);
  Object *object = LB_NEW (Object);
  object->key = lb_strdup (key);
  object->bytes = lb_memdup (bytes, length);
  object->length = length;
  HASH_ADD_KEYPTR (hh, store->objects, object->key, strlen (object->key), object);
}

/* Returns false if the store has no object with this key. */
bool
lp_store_delete_object (LpStore *store, const char *key)
{
  Object *object = NULL;

  HASH_FIND_STR (store->objects, key, object);
  if (!object)
    return false;
  object_free (store, object);
  return true;
}

void
lp_store_set_weight_version (LpStore *store, const char *pool, int64_t version)
{
  PoolWeights *weights = NULL;

  HASH_FIND_STR (store->weights, pool, weights);
  if (!weights)
    {
      weights = LB_NEW (PoolWeights);
      weights->pool = lb_strdup (pool);
      HASH_ADD_KEYPTR (hh, store->weights, weights->pool, strlen (weights->pool), weights);
    }
  weights->version = version;
}

/* Returns the row, valid until the next change; NULL if there is none with this key. */
const LpRow *
lp_store_get_row (const LpStore *store, const char *key)
{
  const RowEntry *entry = find_row_entry (store, key);

  return entry ? &entry->row : NULL;
}

/* Returns the first row whose key starts with `prefix` and is greater than `after` (NULL: the first
 * with the prefix); NULL if there is none. The row is valid until the next change. */
const LpRow *
lp_store_find_next_row (const LpStore *store, const char *prefix, const char *after)
{
  size_t i = find_lower_bound_index (store, prefix);

  if (after && strcmp (after, prefix) >= 0)
    {
      i = find_lower_bound_index (store, after);
      if (i < store->n_entries && strcmp (store->entries[i]->key, after) == 0)
        i++;
    }
  if (i == store->n_entries || strncmp (store->entries[i]->key, prefix, strlen (prefix)) != 0)
    return NULL;
  return &store->entries[i]->row;
}

/* Returns the object's bytes, valid until the next change; NULL if there is none with this key. */
const char *
lp_store_get_object (const LpStore *store, const char *key, size_t *length)
{
  Object *object = NULL;

  HASH_FIND_STR (store->objects, key, object);
  *length = object ? object->length : 0;
  return object ? object->bytes : NULL;
}

/* Returns the pool's newest weight version; 0: none was set. */
int64_t
lp_store_get_weight_version (const LpStore *store, const char *pool)
{
  PoolWeights *weights = NULL;

  HASH_FIND_STR (store->weights, pool, weights);
  return weights ? weights->version : 0;
}
