#ifndef LN_ROW_CACHE_H
#define LN_ROW_CACHE_H

#include "lb-error.h"
#include "lp-platform.h"

/* Caches the parsed content of rows. Instances and endpoints rewrite their rows about every second
 * as a heartbeat, and each instance lists all rows several times a second. Nearly always only the
 * write counter in a row has changed; then its text is compared instead of parsed. */

typedef struct
{
  size_t size; /* number of bytes of the parsed content */
  /* False, with an error, when the row is malformed. */
  bool (*parse) (const LpRow *row, void *content, LbError *error, void *user);
  /* Text in front of the row's write counter, for example "\"count\":". */
  const char *counter_prefix;
} LnRowCacheClass;

typedef struct LnRowCache LnRowCache;

LnRowCache *ln_row_cache_new (const LnRowCacheClass *klass, void *user);
void ln_row_cache_free (LnRowCache *cache);

/* Each list of rows is enclosed in begin_list and end_list. */
void ln_row_cache_begin_list (LnRowCache *cache);
/* Returns the row's content, valid until the next list, or NULL with an error when it is malformed.
 * The write counter in the content may be outdated. */
const void *ln_row_cache_get_content (LnRowCache *cache, const LpRow *row, LbError *error);
/* Drops cached rows that were not in the list. */
void ln_row_cache_end_list (LnRowCache *cache);

#endif
