#ifndef PT_RELAY_H
#define PT_RELAY_H

#include "lb-list.h"

struct event_base;
struct evconnlistener;

/* Faults that apply to open and new connections until they are reset. */
typedef struct
{
  bool drops_to_target;   /* data from clients is dropped */
  bool drops_from_target; /* data from the target is dropped */
  LbTime delay;           /* of data in both directions */
} PtRelayFault;

/* A fault-injecting TCP proxy in the test's event loop. */
typedef struct
{
  PtRelayFault fault;
  struct event_base *base;
  struct evconnlistener *listener; /* NULL while connections are refused */
  int reserved_socket;             /* holds the port while the listener is closed */
  LbName address;                  /* where clients connect */
  LbName target_address;
  LbList connections;
  int64_t bytes_forwarded; /* in both directions */
} PtRelay;

void pt_relay_init (PtRelay *relay, struct event_base *base, const char *target_address);
void pt_relay_clear (PtRelay *relay);
/* Drops all further data of the connections that are open now but keeps them open, as a firewall
 * does that has lost its connection state. New connections work. */
void pt_relay_blackhole_connections (PtRelay *relay);

void pt_relay_reset_connections (PtRelay *relay);

/* Closes the listening socket, so that new connections are refused as if no process listened, until
 * pt_relay_accept_connections. */
void pt_relay_refuse_connections (PtRelay *relay);
void pt_relay_accept_connections (PtRelay *relay);

size_t pt_relay_count_connections (const PtRelay *relay);

#endif
