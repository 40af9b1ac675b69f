#ifndef LN_ROW_CACHE_H
#define LN_ROW_CACHE_H

#include "lb-error.h"
#include "lp-platform.h"

/* What rows of a table say, read once. Instances and endpoints write their rows each second or so
 * to show that they live, and each instance lists all of them several times a second: nearly always
 * a row says what it said before, but for the count of its writes. Then its text is compared and
 * not taken apart. */

typedef struct
{
  size_t size; /* of what a row says */
  /* False with an error: the row can't be read. */
  bool (*parse) (const LpRow *row, void *content, LbError *error, void *user);
  /* What stands before the number that counts the row's writes, for example "\"count\":". */
  const char *counter_prefix;
} LnRowCacheClass;

typedef struct LnRowCache LnRowCache;

LnRowCache *ln_row_cache_new (const LnRowCacheClass *klass, void *user);
void ln_row_cache_free (LnRowCache *cache);

/* commands: between begin and end lies one list */
void ln_row_cache_begin_list (LnRowCache *cache);
/* What the row says, valid until the next list; NULL with an error when it can't be read. The count
 * of its writes may be that of an earlier one. */
const void *ln_row_cache_parse (LnRowCache *cache, const LpRow *row, LbError *error);
/* Forgets rows that the list did not hold. */
void ln_row_cache_end_list (LnRowCache *cache);

#endif
