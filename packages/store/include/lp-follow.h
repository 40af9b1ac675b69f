#ifndef LP_FOLLOW_H
#define LP_FOLLOW_H

#include "lp-platform.h"

/* Delivers the rows of a store table and their changes: lists the rows, then watches the table.
 * Lists them again when the store has dropped changes that were not delivered yet. */
typedef struct LpFollow LpFollow;

typedef struct
{
  const char *table;           /* table name; a watch covers the whole table, not only prefixes */
  const char *const *prefixes; /* key prefixes to list; must cover all rows that are needed */
  size_t n_prefixes;
  LbTime watch_timeout; /* longest wait of a watch call, until a dead connection is noticed */
  /* true: first requests all changes since the table was created. On a new table this one call
   * replaces a list call for each prefix. */
  bool tries_history;
  LbTime retry_delay; /* delay between a failed call and the next call */
  /* Called before each complete list of the rows is delivered; NULL: not called. Requires a single
   * prefix. */
  void (*on_snapshot_begin) (void *user);
} LpFollowSettings;

/* Receives listed or changed rows. A row whose value is NULL was deleted. */
typedef void (*LpFollowRows) (const LpRow *rows, size_t n_rows, void *user);

/* The strings in settings are not copied and must outlive the follower. The platform must outlive
 * the follower's pending calls. */
LpFollow *lp_follow_new (LpPlatform *platform,
                         const LpFollowSettings *settings,
                         LpFollowRows on_rows,
                         void *user);
void lp_follow_free (LpFollow *follow);

/* Starts the next list or watch call if one is due. */
void lp_follow_start_call_if_due (LpFollow *follow, LbTime now);
/* interval > 0: lists the rows this long after each answer instead of watching the table. This
 * suits an instance that needs the rows only occasionally, because a watch would send it each
 * change separately. 0 (default): watches the table. */
void lp_follow_set_list_interval (LpFollow *follow, LbTime interval, LbTime now);

/* Sets the minimum time between an answer and the next watch, so that changes within this time
 * arrive in one answer. 0 (default): the next watch starts immediately. */
void lp_follow_set_watch_delay (LpFollow *follow, LbTime delay);
/* Replaces the settings' watch_timeout. */
void lp_follow_set_watch_timeout (LpFollow *follow, LbTime timeout);

/* Time of the store's last answer; 0: none yet. All changes up to this answer have been
 * delivered. */
LbTime lp_follow_get_last_answer_time (const LpFollow *follow);
/* Whether each row of the table has been delivered at least once. */
bool lp_follow_has_delivered_all_rows (const LpFollow *follow);

#endif
