#ifndef LH_REACH_H
#define LH_REACH_H

#include "lb-error.h"

struct event_base;

/* Whether an address takes connections: opens one, sends nothing and closes it. */
typedef struct LhReach LhReach;

typedef enum
{
  LH_REACH_OPEN,    /* it takes connections */
  LH_REACH_REFUSED, /* the machine answers, and no process listens there */
  LH_REACH_SILENT   /* no answer in time: nothing can be told */
} LhReachOutcome;

typedef void (*LhReachDone) (LhReachOutcome outcome, void *user);

/* Calls done once, never from inside; NULL for a malformed address. */
LhReach *lh_reach_start (
    struct event_base *base, const char *address, LbTime time, LhReachDone done, void *user);
/* No call of done follows. */
void lh_reach_cancel (LhReach *reach);

#endif
