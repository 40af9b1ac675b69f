#ifndef LH_POOL_H
#define LH_POOL_H

#include "lb-list.h"
#include "lh-fetch.h"

/* An HTTP connection of a pool: in use by a fetch, idle or closing. */
typedef struct
{
  LbLink link; /* link in LhPool.idle_connections or LhPool.closing_connections */
  LhPool *pool;
  struct evhttp_connection *evcon;
  LbName address;
  bool is_idle; /* true while in LhPool.idle_connections */
  LbTime idle_since;
  LbTime max_idle_time; /* longest time that the connection may be idle before it is closed */
} LhConnection;

struct LhPool
{
  struct event_base *base;
  struct event *expiry_timer;
  struct event *cleanup_event;
  LbList idle_connections;
  /* Connections to free from the event loop, because evhttp's callbacks must not free them. */
  LbList closing_connections;
  LbList running_fetches;
  size_t n_buffered;    /* bytes of responses that running fetches buffer */
  LbList failed_starts; /* fetches that failed inside lh_fetch_start; on_done not called yet */
};

/* Returns an idle connection to the address, or a new one if none is idle or must_be_new is set.
 * Returns NULL if the address is malformed. */
LhConnection *
lh_pool_acquire_connection (LhPool *pool, const char *address, bool must_be_new, LbError *error);
/* Returns the connection to the pool, which may reuse it within max_idle_time. Closes it if
 * max_idle_time is not positive. */
void lh_pool_release_connection (LhConnection *connection, LbTime max_idle_time);
/* Returns the time that a connection may be idle according to the Keep-Alive header of its last
 * response; keep_alive NULL: the response had no Keep-Alive header. */
LbTime lh_pool_parse_max_idle_time (const char *keep_alive);
void lh_pool_schedule_connection_close (LhConnection *connection);
/* Frees closing connections and reports failed fetches in the event loop's next iteration. */
void lh_pool_schedule_cleanup (LhPool *pool);

/* Calls on_done of the fetches in LhPool.failed_starts and frees them. Defined in lh-fetch.c. */
void lh_fetch_report_failed_starts (LhPool *pool);
void lh_fetch_cancel_all (LhPool *pool);

#endif
