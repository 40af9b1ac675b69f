#ifndef LN_ROW_CACHE_H
#define LN_ROW_CACHE_H

#include "lb-error.h"
#include "lp-platform.h"

/* Caches the parsed content of store rows. Instances and endpoints rewrite their rows about every
 * second as a heartbeat, and each instance lists all rows several times a second. Usually only the
 * write counter in a row has changed; then the row's text is compared with the cached text instead
 * of parsed. */

typedef struct
{
  size_t size; /* size in bytes of a row's parsed content */
  /* Parses the row into content. Returns false and sets error when the row is malformed. */
  bool (*parse) (const LpRow *row, void *content, LbError *error, void *user);
  /* Text before the write counter in a row, for example "\"count\":". */
  const char *counter_prefix;
} LnRowCacheClass;

typedef struct LnRowCache LnRowCache;

LnRowCache *ln_row_cache_new (const LnRowCacheClass *klass, void *user);
void ln_row_cache_free (LnRowCache *cache);

/* Call before reading the rows of a new list; call ln_row_cache_end_list after its last row. */
void ln_row_cache_begin_list (LnRowCache *cache);
/* Returns the row's parsed content, valid until the next list, or NULL and an error when the row is
 * malformed. Parses the row only when more than the write counter has changed, so the write counter
 * in the content may be outdated. */
const void *ln_row_cache_get_content (LnRowCache *cache, const LpRow *row, LbError *error);
/* Evicts cached rows that were not in the list. */
void ln_row_cache_end_list (LnRowCache *cache);

#endif
