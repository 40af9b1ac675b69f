#ifndef LC_CATALOG_H
#define LC_CATALOG_H

#include "lb-error.h"
#include "lb-types.h"

/* Shared listing of endpoints and instances. Endpoints and instances write their rows every one or
 * two seconds; hundreds of instances that each list all rows several times a second would overload
 * the store. So one instance, the publisher, lists the rows and writes what has changed to a table
 * that all others follow. It also rewrites its own row with every listing: that row tells followers
 * how old their snapshot is, and its version is the condition of each of the publisher's writes, so
 * a publisher that has been replaced can write nothing more. When that row stops changing, another
 * instance takes over, and an instance that has seen no change for about a second lists the rows
 * itself. The table holds nothing beyond what the rows themselves say. No I/O. */

/* Time between two listings by the publisher. An instance relies on a snapshot that is not renewed
 * for at most 9 / 4 of it; together with the listing before and its own listing afterwards, it
 * learns of a leaving endpoint within about four periods. */
#define LC_CATALOG_LISTING_PERIOD (400 * LB_MSEC)
#define LC_CATALOG_SNAPSHOT_TIMEOUT (LC_CATALOG_LISTING_PERIOD * 9 / 4)

typedef struct LcCatalog LcCatalog;

/* draw: random number that spreads the instances which fall back to listing for themselves. */
LcCatalog *
lc_catalog_new (const char *instance, const char *incarnation, uint64_t draw, LbTime now);
void lc_catalog_free (LcCatalog *catalog);

/* commands: follow the table */
/* The rows that follow are a complete copy of the table; drops the rows held so far. */
void lc_catalog_begin_snapshot (LcCatalog *catalog);
/* One changed row of the table; value NULL: the row was deleted. */
void lc_catalog_apply_row (LcCatalog *catalog, const char *key, const char *value, int64_t version);
/* Ends the rows of one answer of the store; store_ms: the store's clock at that answer. Returns
 * true when there is a new complete snapshot. */
bool lc_catalog_finish_update (LcCatalog *catalog, int64_t store_ms, LbTime now);

/* commands: publish */
/* Time between two listings by this instance while it publishes; written to the publisher's row. */
void lc_catalog_set_own_period (LcCatalog *catalog, LbTime period);
/* Position in the order of takeover, not counting the current publisher; 0: the first; negative:
 * this instance must not publish. */
void lc_catalog_set_rank (LcCatalog *catalog, int rank);

/* One listed endpoint or instance. The key is the list's prefix and the item's name,
 * "LIST:NAME". */
typedef struct
{
  char *key;
  char *value; /* its state as text; equal texts mean that nothing changed */
} LcCatalogItem;

/* Replaces this instance's own listing of one list and takes ownership of the items; prefix: of
 * their keys, "LIST:". store_ms: the store's clock at the listing; 0: the listing does not age. */
void lc_catalog_set_listing (
    LcCatalog *catalog, const char *prefix, LcCatalogItem *items, size_t n_items, int64_t store_ms);

typedef struct
{
  char *key;
  char *value; /* NULL: deletes the row */
} LcCatalogPut;

/* Rows to write in one transaction, on condition that the publisher's row has the expected version;
 * 0: that the row is absent. */
typedef struct
{
  int64_t expected_version;
  LcCatalogPut *puts; /* the publisher's row comes first */
  size_t n_puts;
} LcCatalogWrite;

void lc_catalog_write_clear (LcCatalogWrite *write);
/* Key of the publisher's row, whose version is the condition of each write. */
const char *lc_catalog_publisher_key (void);

/* Fills in the next write; false when nothing is to be written now. */
bool lc_catalog_prepare_write (LcCatalog *catalog, LbTime now, LcCatalogWrite *write);
/* The write with that expected version was refused, or its outcome is unknown. */
void lc_catalog_write_failed (LcCatalog *catalog, int64_t expected_version);

/* queries */
/* The snapshot is recent enough to rely on. */
bool lc_catalog_is_fresh (const LcCatalog *catalog, LbTime now);
/* This instance has to list the rows itself: it publishes, is about to take over, or sees no
 * publisher. */
bool lc_catalog_needs_listing (const LcCatalog *catalog, LbTime now);
/* Whether this instance is the publisher according to the publisher's row. */
bool lc_catalog_is_publisher (const LcCatalog *catalog);
/* Time between two listings of the publisher, according to its row. */
LbTime lc_catalog_publish_period (const LcCatalog *catalog);
/* Name of the instance that published last; "" when none has. */
const char *lc_catalog_publisher_name (const LcCatalog *catalog);
/* Time as of which the snapshot reflects the store. */
LbTime lc_catalog_snapshot_valid_at (const LcCatalog *catalog);
/* Number of changes applied to the rows; an equal count means an unchanged snapshot. */
int64_t lc_catalog_change_count (const LcCatalog *catalog);
/* Value of this key in the table; NULL when there is none. */
const char *lc_catalog_find_value (const LcCatalog *catalog, const char *key);
/* Calls back for each row whose key starts with the prefix; name is the rest of the key. */
void lc_catalog_foreach (
    const LcCatalog *catalog,
    const char *prefix,
    void (*visit) (const char *name, const char *value, int64_t version, void *user),
    void *user);

#endif
