#ifndef LC_CATALOG_H
#define LC_CATALOG_H

#include "lb-error.h"
#include "lb-types.h"

/* This header declares the catalog, a shared table of endpoints and instances. Endpoints and
 * instances write their rows every one or two seconds; hundreds of instances that each list all
 * rows several times a second would overload the store. So one instance, the publisher, lists the
 * rows and writes what has changed to a table that all others follow. It also rewrites its own row
 * with every listing: that row tells followers how old their snapshot is, and its version is the
 * condition of each of the publisher's writes, so a publisher that has been replaced can write
 * nothing more. When that row stops changing, another instance takes over, and an instance that has
 * seen no change for about a second lists the rows itself. The table holds nothing beyond what the
 * rows themselves say. No I/O. */

/* Time between two listings by the publisher. A snapshot that is not renewed is used for at most
 * 2.25 periods. Including the listing before the snapshot and the instance's own listing after it,
 * an instance learns of a leaving endpoint within about four periods. */
#define LC_CATALOG_LISTING_PERIOD (400 * LB_MSEC)
#define LC_CATALOG_SNAPSHOT_TIMEOUT (LC_CATALOG_LISTING_PERIOD * 9 / 4)

typedef struct LcCatalog LcCatalog;

/* random_number: spreads the times at which instances without a publisher start to list the rows
 * themselves. */
LcCatalog *
lc_catalog_new (const char *instance, const char *incarnation, uint64_t random_number, LbTime now);
void lc_catalog_free (LcCatalog *catalog);

/* Functions that copy the shared table into an LcCatalog. */

/* Starts a complete copy of the shared table: drops all rows that the LcCatalog holds. Each row is
 * then added by lc_catalog_apply_row. */
void lc_catalog_begin_snapshot (LcCatalog *catalog);
/* Applies one changed row of the table. value NULL: the row was deleted. */
void lc_catalog_apply_row (LcCatalog *catalog, const char *key, const char *value, int64_t version);
/* Call after all rows of one store response were applied. store_clock_ms: the store's clock at that
 * response. Returns true when a new complete snapshot is available. */
bool lc_catalog_finish_update (LcCatalog *catalog, int64_t store_clock_ms, LbTime now);

/* Functions that write this instance's listings to the shared table. */

/* Sets the time between two listings by this instance while it publishes. The time is written to
 * the publisher's row. */
void lc_catalog_set_listing_period (LcCatalog *catalog, LbTime period);
/* Sets this instance's position in the order in which instances take over as publisher, not
 * counting the current publisher. 0: this instance takes over first; negative: it must not
 * publish. */
void lc_catalog_set_takeover_rank (LcCatalog *catalog, int rank);

/* One listed endpoint or instance. The key is the list's prefix and the item's name,
 * "LIST:NAME". */
typedef struct
{
  char *key;
  char *value; /* state of the item as text; equal texts mean that the item is unchanged */
} LcCatalogItem;

/* Replaces this instance's latest listing of all items with one key prefix and takes ownership of
 * the items. prefix: start of all item keys, "LIST:". store_clock_ms: the store's clock at the
 * listing; 0: the listing does not count in the age of the snapshot. */
void lc_catalog_set_listing (LcCatalog *catalog,
                             const char *prefix,
                             LcCatalogItem *items,
                             size_t n_items,
                             int64_t store_clock_ms);

typedef struct
{
  char *key;
  char *value; /* NULL: deletes the row */
} LcCatalogPut;

/* Rows to write in one transaction. The condition of the transaction is that the publisher's row
 * has expected_version or, if that is 0, is absent. */
typedef struct
{
  int64_t expected_version;
  LcCatalogPut *puts; /* rows to write; the publisher's row comes first */
  size_t n_puts;
} LcCatalogWrite;

void lc_catalog_write_clear (LcCatalogWrite *write);
/* Key of the publisher's row, whose version is the condition of each write. */
const char *lc_catalog_publisher_key (void);

/* Fills in the next write; returns false when there is nothing to write now. */
bool lc_catalog_prepare_write (LcCatalog *catalog, LbTime now, LcCatalogWrite *write);
/* Call when the write with this expected version was refused or its outcome is unknown. */
void lc_catalog_write_failed (LcCatalog *catalog, int64_t expected_version);

/* Functions that only read an LcCatalog. */

/* Whether the snapshot is recent enough to use. */
bool lc_catalog_is_snapshot_fresh (const LcCatalog *catalog, LbTime now);
/* Whether this instance must list the rows itself: it publishes, is about to take over, or sees no
 * publisher. */
bool lc_catalog_needs_listing (const LcCatalog *catalog, LbTime now);
/* Whether this instance is the publisher according to the publisher's row. */
bool lc_catalog_is_publisher (const LcCatalog *catalog);
/* Time between two listings by the publisher, as stated in the publisher's row. */
LbTime lc_catalog_publisher_listing_period (const LcCatalog *catalog);
/* Name of the instance that published last; "" when none has. */
const char *lc_catalog_publisher_name (const LcCatalog *catalog);
/* Local time at which the store held the rows of the snapshot. */
LbTime lc_catalog_snapshot_valid_at (const LcCatalog *catalog);
/* Number of changes applied to the rows; an equal count means an unchanged snapshot. */
int64_t lc_catalog_change_count (const LcCatalog *catalog);
/* Value of this key in the table; NULL when there is none. */
const char *lc_catalog_find_value (const LcCatalog *catalog, const char *key);
/* Calls visit for each row whose key starts with the prefix; name is the rest of the key. */
void lc_catalog_foreach_row (
    const LcCatalog *catalog,
    const char *prefix,
    void (*visit) (const char *name, const char *value, int64_t version, void *user),
    void *user);

#endif
