#ifndef LH_POOL_H
#define LH_POOL_H

#include "lb-list.h"
#include "lh-fetch.h"

/* The inside of LhPool: connections kept for reuse, and the fetches that run on others. */

typedef struct
{
  LbLink link; /* in LhPool.idle or LhPool.closing */
  LhPool *pool;
  struct evhttp_connection *evcon;
  LbName address;
  bool is_idle; /* in LhPool.idle */
  LbTime idle_since;
  LbTime idle_life; /* not used after lying idle for so long */
} LhConnection;

struct LhPool
{
  struct event_base *base;
  struct event *reaper;
  struct event *closer;
  LbList idle;
  LbList closing; /* freed outside of evhttp's own callbacks */
  LbList fetches;
  LbList failed; /* fetches that ended inside lh_fetch_start */
};

/* A kept connection to the address, or a new one; NULL for a malformed address. */
LhConnection *lh_pool_take (LhPool *pool, const char *address, bool fresh, LbError *error);
/* Keeps the connection for reuse within idle_life; closes it when that is not positive. */
void lh_pool_give_back (LhConnection *connection, LbTime idle_life);
/* How long a connection may lie idle by the reply's Keep-Alive header; NULL for no header. */
LbTime lh_pool_idle_life (const char *keep_alive);
void lh_pool_close_later (LhConnection *connection);
/* Frees what closes and reports what failed, in the loop's next turn. */
void lh_pool_wake (LhPool *pool);

/* in lh-fetch.c */
void lh_fetch_report_failed (LhPool *pool);
void lh_fetch_drop_all (LhPool *pool);

#endif
