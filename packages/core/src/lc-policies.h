#ifndef LC_POLICIES_H
#define LC_POLICIES_H

#include "lc-router.h"

extern const LcRouterClass lc_router_random;
extern const LcRouterClass lc_router_least_outstanding;
extern const LcRouterClass lc_router_finish_time;

#endif
