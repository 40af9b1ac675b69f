#ifndef LH_REACH_H
#define LH_REACH_H

#include "lb-error.h"

struct event_base;

/* Checks whether an address accepts connections: opens one, sends nothing, and closes it after a
 * while. */
typedef struct LhConnectProbe LhConnectProbe;

typedef enum
{
  LH_CONNECT_PROBE_OPEN,     /* accepts connections */
  LH_CONNECT_PROBE_CLOSED,   /* accepted this connection and then closed it */
  LH_CONNECT_PROBE_REFUSED,  /* the host answers, but no process listens at the port */
  LH_CONNECT_PROBE_NO_ANSWER /* no answer in time: state unknown */
} LhConnectProbeOutcome;

typedef void (*LhConnectProbeDone) (LhConnectProbeOutcome outcome, void *user);

typedef struct
{
  LbTime connect_timeout; /* until the connection is accepted or refused */
  LbTime hold_time;       /* how long it must stay open; 0: not checked */
} LhConnectProbeTimes;

/* Calls done once, never from inside this call. Returns NULL for a malformed address, or if no
 * socket can be created. */
LhConnectProbe *lh_connect_probe_start (struct event_base *base,
                                        const char *address,
                                        const LhConnectProbeTimes *times,
                                        LhConnectProbeDone done,
                                        void *user);
/* Frees the check without calling done. */
void lh_connect_probe_cancel (LhConnectProbe *reach);

#endif
