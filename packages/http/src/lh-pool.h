#ifndef LH_POOL_H
#define LH_POOL_H

#include "lb-list.h"
#include "lh-fetch.h"

/* Internals of LhPool: idle connections kept for reuse, and the fetches that run on others. */

typedef struct
{
  LbLink link; /* in LhPool.idle or LhPool.closing */
  LhPool *pool;
  struct evhttp_connection *evcon;
  LbName address;
  bool is_idle; /* in LhPool.idle */
  LbTime idle_since;
  LbTime max_idle_time; /* a connection that was idle for so long is closed, not reused */
} LhConnection;

struct LhPool
{
  struct event_base *base;
  struct event *expiry_timer;
  struct event *cleanup_event;
  LbList idle;
  LbList closing; /* connections to free outside evhttp's callbacks */
  LbList fetches;
  LbList failed; /* fetches that failed inside lh_fetch_start */
};

/* Returns an idle connection to the address, or a new one; NULL for a malformed address. */
LhConnection *lh_pool_acquire (LhPool *pool, const char *address, bool must_be_new, LbError *error);
/* Keeps the connection for reuse within max_idle_time; closes it if that is not positive. */
void lh_pool_release (LhConnection *connection, LbTime max_idle_time);
/* How long a connection may be idle by its response's Keep-Alive header; NULL: no header. */
LbTime lh_pool_parse_max_idle_time (const char *keep_alive);
void lh_pool_close_later (LhConnection *connection);
/* Frees closing connections and reports failed fetches in the event loop's next iteration. */
void lh_pool_schedule_cleanup (LhPool *pool);

/* in lh-fetch.c */
void lh_fetch_report_failed (LhPool *pool);
void lh_fetch_cancel_all (LhPool *pool);

#endif
