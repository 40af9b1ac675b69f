#ifndef SI_CONTROL_PLANE_H
#define SI_CONTROL_PLANE_H

#include "si-server.h"

#define SI_MAX_REPORTS 64
#define SI_MAX_ORDERS 256

typedef enum
{
  SI_CONTROL_PLANE_NORMAL,
  SI_CONTROL_PLANE_BUSY,       /* answers every call with 429 */
  SI_CONTROL_PLANE_LOSES_REPLY /* applies calls, then closes the connection */
} SiControlPlaneMode;

/* The first usage report received for a window. */
typedef struct
{
  int64_t window_sequence;
  char *counts; /* JSON: requests by organisation */
  LbName duty_holder;
} SiUsageReport;

/* A request for a number of endpoints. */
typedef struct
{
  LbName service;
  LbName data_centre;
  int64_t endpoints;
  bool is_spot;
} SiScaleOrder;

/* The shared platform's API for usage reports and endpoint scaling. Calls are can_order_fenced: one
 * duty holder at a time may make them. */
typedef struct
{
  SiServer server;
  SiControlPlaneMode mode;
  int64_t last_fence;
  SiUsageReport reports[SI_MAX_REPORTS];
  size_t n_reports;
  SiScaleOrder orders[SI_MAX_ORDERS];
  size_t n_orders; /* the last SI_MAX_ORDERS are kept */
  int calls;
  int conflicting_reports; /* reports that differ from the first one of their window */
  int stale_calls;         /* calls with an outdated fencing number */
  int unidentified_calls;  /* calls without a duty holder or fencing number */
} SiControlPlane;

bool si_control_plane_init (SiControlPlane *control_plane, struct event_base *base);
void si_control_plane_clear (SiControlPlane *control_plane);
/* The organisation's requests summed over all reported windows. */
int64_t si_control_plane_count_reported_requests (const SiControlPlane *control_plane,
                                                  const char *organisation);

#endif
