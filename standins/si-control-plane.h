#ifndef SI_CONTROL_PLANE_H
#define SI_CONTROL_PLANE_H

#include "si-server.h"

#define SI_MAX_USAGE_REPORTS 64
#define SI_MAX_SCALE_ORDERS 256

typedef enum
{
  SI_CONTROL_PLANE_NORMAL,
  SI_CONTROL_PLANE_BUSY,       /* answers every call with 429 */
  SI_CONTROL_PLANE_LOSES_REPLY /* applies each call, then closes the connection without a reply */
} SiControlPlaneMode;

/* The first usage report that was received for a time window. */
typedef struct
{
  int64_t window_sequence;
  char *counts; /* JSON object: number of requests by organisation */
  LbName duty_holder;
} SiUsageReport;

/* A request to scale a service to a number of endpoints in a data centre. */
typedef struct
{
  LbName service;
  LbName data_centre;
  int64_t endpoints;
  bool is_spot;
} SiScaleOrder;

/* The shared platform's API for usage reports and endpoint scaling. A fencing token in each call
 * ensures that only the current lease holder's calls are accepted. */
typedef struct
{
  SiServer server;
  SiControlPlaneMode mode;
  int64_t last_fence;
  SiUsageReport reports[SI_MAX_USAGE_REPORTS];
  size_t n_reports;
  SiScaleOrder orders[SI_MAX_SCALE_ORDERS];
  size_t n_orders; /* number of scale orders received; only the last SI_MAX_SCALE_ORDERS are kept */
  int calls;
  int conflicting_reports; /* number of reports that differ from the first report of their window */
  int stale_calls;         /* number of calls with an outdated fencing token */
  int unidentified_calls;  /* number of calls without header Duty-Holder or Fence-Token */
} SiControlPlane;

bool si_control_plane_init (SiControlPlane *control_plane, struct event_base *base);
void si_control_plane_clear (SiControlPlane *control_plane);
/* Returns the organisation's number of requests, summed over all reported windows. */
int64_t si_control_plane_count_reported_requests (const SiControlPlane *control_plane,
                                                  const char *organisation);

#endif
