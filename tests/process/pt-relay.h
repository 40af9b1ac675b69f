#ifndef PT_RELAY_H
#define PT_RELAY_H

#include "lb-list.h"

struct event_base;
struct evconnlistener;

/* What is wrong with a way for now, for open and new connections alike. */
typedef struct
{
  bool drops_to_target;   /* bytes towards the target vanish */
  bool drops_from_target; /* bytes from the target vanish */
  LbTime delay;           /* of bytes in both directions */
} PtRelayFault;

/* Stands between two ends of TCP connections and can lose track of those that are open: they stay
 * open and silent, while new ones work. Runs in the test's event loop. */
typedef struct
{
  PtRelayFault fault;
  struct event_base *base;
  struct evconnlistener *listener;
  LbName address; /* where to connect */
  LbName target;
  LbList lines;
  int64_t bytes; /* passed on so far, both ways */
} PtRelay;

void pt_relay_init (PtRelay *relay, struct event_base *base, const char *target);
void pt_relay_clear (PtRelay *relay);
/* Every connection that is open now goes silent for good. */
void pt_relay_blackhole_connections (PtRelay *relay);

/* Every connection that is open now is reset. */
void pt_relay_reset_connections (PtRelay *relay);

/* New connections are refused, as where no process listens, until they are accepted again. */
void pt_relay_refuse_connections (PtRelay *relay);
void pt_relay_accept_connections (PtRelay *relay);

size_t pt_relay_count_connections (const PtRelay *relay);

#endif
