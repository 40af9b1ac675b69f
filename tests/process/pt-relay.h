#ifndef PT_RELAY_H
#define PT_RELAY_H

#include "lb-list.h"

struct event_base;
struct evconnlistener;

/* Faults of open and new connections, in force until the test clears the fields. */
typedef struct
{
  bool drops_to_target;   /* discard data that clients send */
  bool drops_from_target; /* discard data that the target sends */
  LbTime delay;           /* how long data is held back, in each direction; 0: not at all */
} PtRelayFault;

/* A fault-injecting TCP proxy. It runs in the event loop of the test process. */
typedef struct
{
  PtRelayFault fault;
  struct event_base *base;
  struct evconnlistener *listener; /* NULL while connections are refused */
  int reserved_socket;             /* keeps the port bound while the listener is closed */
  LbName address;                  /* for clients; 127.0.0.1:PORT */
  LbName target_address;           /* server that the relay connects each client to */
  LbList connections;
  int64_t bytes_forwarded; /* sum of both directions */
} PtRelay;

void pt_relay_init (PtRelay *relay, struct event_base *base, const char *target_address);
void pt_relay_clear (PtRelay *relay);
/* Drops all further data on the currently open connections but does not close them, like a
 * firewall that has lost its connection state. New connections work. */
void pt_relay_blackhole_connections (PtRelay *relay);
/* Closes all open connections with a TCP reset on both sides. */
void pt_relay_reset_connections (PtRelay *relay);

/* Closes the listening socket: new connections are refused until pt_relay_accept_connections. Open
 * connections stay. */
void pt_relay_refuse_connections (PtRelay *relay);
void pt_relay_accept_connections (PtRelay *relay);

/* Returns the number of open client connections. */
size_t pt_relay_count_connections (const PtRelay *relay);

#endif
