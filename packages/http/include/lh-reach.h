#ifndef LH_REACH_H
#define LH_REACH_H

#include "lb-error.h"

struct event_base;

/* Whether an address takes connections: opens one, sends nothing, and closes it after a while. */
typedef struct LhReach LhReach;

typedef enum
{
  LH_REACH_OPEN,    /* it takes connections */
  LH_REACH_CLOSED,  /* it took this one, and closed it at once */
  LH_REACH_REFUSED, /* the machine answers, and no process listens there */
  LH_REACH_SILENT   /* no answer in time: nothing can be told */
} LhReachOutcome;

typedef void (*LhReachDone) (LhReachOutcome outcome, void *user);

typedef struct
{
  LbTime connect_timeout; /* longest until the connection is taken or refused */
  LbTime hold_time;       /* how long it has to stay open; 0: taken is enough */
} LhReachTimes;

/* Calls done once, never from inside; NULL for a malformed address. */
LhReach *lh_reach_start (struct event_base *base,
                         const char *address,
                         const LhReachTimes *times,
                         LhReachDone done,
                         void *user);
/* No call of done follows. */
void lh_reach_cancel (LhReach *reach);

#endif
