#ifndef LH_REACH_H
#define LH_REACH_H

#include "lb-error.h"

struct event_base;

/* Checks whether an address accepts connections: opens one, sends nothing, and closes it after a
 * while. */
typedef struct LhReach LhReach;

typedef enum
{
  LH_REACH_OPEN,    /* accepts connections */
  LH_REACH_CLOSED,  /* accepted this connection and then closed it */
  LH_REACH_REFUSED, /* the host answers, but no process listens at the port */
  LH_REACH_SILENT   /* no answer in time: state unknown */
} LhReachOutcome;

typedef void (*LhReachDone) (LhReachOutcome outcome, void *user);

typedef struct
{
  LbTime connect_timeout; /* until the connection is accepted or refused */
  LbTime hold_time;       /* how long it must stay open; 0: not checked */
} LhReachTimes;

/* Calls done once, never from inside this call. Returns NULL for a malformed address, or if no
 * socket can be created. */
LhReach *lh_reach_start (struct event_base *base,
                         const char *address,
                         const LhReachTimes *times,
                         LhReachDone done,
                         void *user);
/* Frees the check without calling done. */
void lh_reach_cancel (LhReach *reach);

#endif
