#ifndef LH_CONNECT_PROBE_H
#define LH_CONNECT_PROBE_H

#include "lb-error.h"

struct event_base;

/* Probe of whether an address accepts TCP connections: opens a connection, sends nothing and closes
 * it after hold_time. */
typedef struct LhConnectProbe LhConnectProbe;

typedef enum
{
  LH_CONNECT_PROBE_OPEN,     /* the address accepted the connection and kept it open */
  LH_CONNECT_PROBE_CLOSED,   /* the address accepted the connection, then closed it */
  LH_CONNECT_PROBE_REFUSED,  /* the host answers, but no process listens on the port */
  LH_CONNECT_PROBE_NO_ANSWER /* the connect timed out or failed otherwise: state unknown */
} LhConnectProbeOutcome;

typedef void (*LhConnectProbeDone) (LhConnectProbeOutcome outcome, void *user);

typedef struct
{
  LbTime connect_timeout; /* time limit for the TCP connect */
  LbTime hold_time;       /* time that an accepted connection must stay open; 0: not checked */
} LhConnectProbeTimes;

/* Starts a probe, which calls done once from the event loop, never from inside this function.
 * Returns NULL if the address is malformed or no socket can be created. */
LhConnectProbe *lh_connect_probe_start (struct event_base *base,
                                        const char *address,
                                        const LhConnectProbeTimes *times,
                                        LhConnectProbeDone done,
                                        void *user);
/* Frees the probe without calling done. */
void lh_connect_probe_cancel (LhConnectProbe *probe);

#endif
