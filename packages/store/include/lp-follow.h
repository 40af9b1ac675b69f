#ifndef LP_FOLLOW_H
#define LP_FOLLOW_H

#include "lp-platform.h"

/* Follows the rows of a table: lists them, then watches for changes, and lists them again when the
 * store no longer has the history since the last one. */
typedef struct LpFollow LpFollow;

typedef struct
{
  const char *table;           /* that is watched, all parts of it */
  const char *const *prefixes; /* that are listed; together all rows of interest */
  size_t n_prefixes;
  LbTime watch_timeout; /* of one watch: a silent connection is found after it */
  bool tries_history;   /* the table may be young: its history is asked for before it is listed */
  LbTime retry_delay;   /* after a call that failed */
  /* All rows are about to be passed on anew, in one list; NULL: the follower need not know. Only
   * for one prefix. */
  void (*on_snapshot_begin) (void *user);
} LpFollowSettings;

/* Rows that were listed or have changed; one without a value was deleted. */
typedef void (*LpFollowRows) (const LpRow *rows, size_t n_rows, void *user);

/* The settings' texts stay the caller's, and the platform outlives the follower's calls. */
LpFollow *lp_follow_new (LpPlatform *platform,
                         const LpFollowSettings *settings,
                         LpFollowRows on_rows,
                         void *user);
void lp_follow_free (LpFollow *follow);

/* commands */
void lp_follow_tick (LpFollow *follow, LbTime now);
/* Above 0: the rows are listed so long after the last answer, and not watched. For an instance that
 * needs to know them now and then only: a watch brings each change of a row by itself. 0, as it is
 * at first: they are watched. */
void lp_follow_set_list_interval (LpFollow *follow, LbTime pause, LbTime now);

/* At least so long between an answer and the next watch: changes that come together are one answer.
 * 0, as it is at first: the next watch follows at once. */
void lp_follow_set_watch_delay (LpFollow *follow, LbTime gap);
/* Of one watch, in place of the settings'. */
void lp_follow_set_watch_timeout (LpFollow *follow, LbTime wait);

/* queries */
/* When the store last answered: what was passed on was all there was then. 0: it has not yet. */
LbTime lp_follow_last_answer_at (const LpFollow *follow);
/* All rows were listed, at least once. */
bool lp_follow_has_listed (const LpFollow *follow);

#endif
