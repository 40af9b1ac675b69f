#ifndef LC_TEXT_CACHE_H
#define LC_TEXT_CACHE_H

#include "lb-types.h"
#include "lc-types.h"

/* Texts that the ended batches of one model left of groups that were not whole. A trainer asks for
 * such a group again, under the same ids, in a later batch: what was made of its texts goes on
 * there in place of being made anew. No I/O. */

typedef struct
{
  LbName item;
  uint64_t
      fingerprint; /* hash of the item's request and scorer: the same id must mean the same text */
  bool is_complete;
  int64_t n_events;
  const char *text; /* not owned; one event a line */
  const LcVersion *versions;
  size_t n_versions;
  const char *score; /* NULL: not scored yet; only of a whole text */
} LcCachedText;

typedef struct LcTextCache LcTextCache;

/* max_bytes: of texts; the oldest go first. */
LcTextCache *lc_text_cache_new (size_t max_bytes);
void lc_text_cache_free (LcTextCache *carried);

/* commands */
/* Copies the text; what was known of the item is replaced where this one has come further. */
void lc_text_cache_put (LcTextCache *carried, const LcCachedText *text, LbTime now);
/* Drops what is too old to be asked for again. */
void lc_text_cache_expire (LcTextCache *carried, LbTime now);

/* queries */
/* False: nothing of it that only versions from min_version on made. The texts found are valid until
 * the next command. */
bool lc_text_cache_find (const LcTextCache *carried,
                         const char *item,
                         uint64_t fingerprint,
                         LcVersion min_version,
                         LcCachedText *found);
/* Events that the item's text is known to have, whatever made them; *is_complete: that is all of
 * them. 0: nothing is known. */
int64_t lc_text_cache_count_events (const LcTextCache *carried,
                                    const char *item,
                                    uint64_t fingerprint,
                                    bool *is_complete);
size_t lc_text_cache_count_bytes (const LcTextCache *carried);

#endif
