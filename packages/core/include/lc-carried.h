#ifndef LC_CARRIED_H
#define LC_CARRIED_H

#include "lb-types.h"
#include "lc-types.h"

/* Texts that the ended batches of one model left of groups that were not whole. A trainer asks for
 * such a group again, under the same ids, in a later batch: what was made of its texts goes on
 * there in place of being made anew. No I/O. */

typedef struct
{
  LbName item;
  uint64_t content; /* hash of the item's request and scorer: the same id must mean the same text */
  bool whole;
  int64_t events;
  const char *text; /* not owned; one event a line */
  const LcVersion *versions;
  size_t n_versions;
  const char *score; /* NULL: not scored yet; only of a whole text */
} LcCarriedText;

typedef struct LcCarried LcCarried;

/* most_bytes: of texts; the oldest go first. */
LcCarried *lc_carried_new (size_t most_bytes);
void lc_carried_free (LcCarried *carried);

/* commands */
/* Copies the text; what was known of the item is replaced where this one has come further. */
void lc_carried_put (LcCarried *carried, const LcCarriedText *text, LbTime now);
/* Drops what is too old to be asked for again. */
void lc_carried_expire (LcCarried *carried, LbTime now);

/* queries */
/* False: nothing of it that only versions from min_version on made. The texts found are valid until
 * the next command. */
bool lc_carried_find (const LcCarried *carried,
                      const char *item,
                      uint64_t content,
                      LcVersion min_version,
                      LcCarriedText *found);
/* Events that the item's text is known to have, whatever made them; *whole: that is all of them. 0:
 * nothing is known. */
int64_t
lc_carried_length (const LcCarried *carried, const char *item, uint64_t content, bool *whole);
size_t lc_carried_bytes (const LcCarried *carried);

#endif
