#ifndef LC_CATALOG_H
#define LC_CATALOG_H

#include "lb-error.h"
#include "lb-types.h"

/* Lists that one instance reads for all. Endpoints and instances write their rows each second or
 * two, and to list all of them several times a second is too much for each of hundreds of machines;
 * so one of them, the publisher, lists them and writes what has changed into a table that all
 * others follow. It writes one row anew with each list, which tells the others how old their belief
 * is, and which is the condition of each of its writes: a publisher that was replaced can write
 * nothing more. When that row stands still, another instance takes over, and an instance that has
 * not heard of it for a second reads the lists itself. Nothing here is kept beyond what the rows
 * themselves say. No I/O. */

/* Between two lists of the publisher. The longest time for which an instance relies on a belief
 * that nobody renews is 9 / 4 of it: with the list before it and its own list after it, it knows of
 * an endpoint that leaves within some four periods. */
#define LC_CATALOG_PERIOD (400 * LB_MSEC)
#define LC_CATALOG_MAX_SILENCE (LC_CATALOG_PERIOD * 9 / 4)

typedef struct LcCatalog LcCatalog;

/* draw: of this instance, for its place among those that list for themselves. */
LcCatalog *
lc_catalog_new (const char *instance, const char *incarnation, uint64_t draw, LbTime now);
void lc_catalog_free (LcCatalog *catalog);

/* commands: following */
/* All rows are about to be read anew. */
void lc_catalog_begin_snapshot (LcCatalog *catalog);
/* A row of the table, by its key there; value NULL: it is gone. */
void lc_catalog_apply_row (LcCatalog *catalog, const char *key, const char *value, int64_t version);
/* The store's answer ends; store_ms: its own clock then. True when there is a new belief. */
bool lc_catalog_finish_update (LcCatalog *catalog, int64_t store_ms, LbTime now);

/* commands: publishing */
/* Between two lists of this instance, when it publishes; it tells the others. */
void lc_catalog_set_own_period (LcCatalog *catalog, LbTime period);
/* Place among those that may publish, without the one that does; 0: the first; negative: this
 * instance may not. */
void lc_catalog_set_rank (LcCatalog *catalog, int rank);

/* One thing that is listed. Keys are those of its list and its name, "LIST:NAME". */
typedef struct
{
  char *key;
  char *value; /* what is said of it; the same as long as nothing has changed */
} LcCatalogItem;

/* This instance has read a list itself, and takes over what it holds; prefix: of its keys, "LIST:".
 * store_ms: the store's clock then; 0: what it says does not grow old with the time since it was
 * read.
 */
void lc_catalog_set_listing (
    LcCatalog *catalog, const char *prefix, LcCatalogItem *items, size_t n_items, int64_t store_ms);

typedef struct
{
  char *key;
  char *value; /* NULL: the row goes */
} LcCatalogPut;

/* Rows to write together, if the publisher's row has this version; 0: if there is none. */
typedef struct
{
  int64_t expected_version;
  LcCatalogPut *puts; /* the publisher's row is the first */
  size_t n_puts;
} LcCatalogWrite;

void lc_catalog_write_clear (LcCatalogWrite *write);
/* Key of the row that is the condition. */
const char *lc_catalog_publisher_key (void);

/* The next write, if there is one to make now. */
bool lc_catalog_prepare_write (LcCatalog *catalog, LbTime now, LcCatalogWrite *write);
/* The write under that condition was refused, or nobody knows what became of it. */
void lc_catalog_write_failed (LcCatalog *catalog, int64_t condition);

/* queries */
/* The belief is young enough to go by. */
bool lc_catalog_is_fresh (const LcCatalog *catalog, LbTime now);
/* This instance has to read the lists: it publishes, is about to, or hears of nobody who does. */
bool lc_catalog_needs_listing (const LcCatalog *catalog, LbTime now);
bool lc_catalog_is_publisher (const LcCatalog *catalog);
/* Between two lists of the publisher, as it told. */
LbTime lc_catalog_publish_period (const LcCatalog *catalog);
/* Name of the instance that published last; "": none did. */
const char *lc_catalog_publisher_name (const LcCatalog *catalog);
/* When the belief was true at least. */
LbTime lc_catalog_valid_at (const LcCatalog *catalog);
/* Counts the changes of what the belief holds: where it stands still, so does the belief. */
int64_t lc_catalog_change_count (const LcCatalog *catalog);
/* What the table says under this key; NULL: nothing. */
const char *lc_catalog_find_value (const LcCatalog *catalog, const char *key);
/* Calls back for each item of a list in the belief, with its key behind the prefix. */
void
lc_catalog_foreach (const LcCatalog *catalog,
                    const char *prefix,
                    void (*take) (const char *name, const char *text, int64_t version, void *user),
                    void *user);

#endif
