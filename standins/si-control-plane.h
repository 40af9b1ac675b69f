#ifndef SI_CONTROL_PLANE_H
#define SI_CONTROL_PLANE_H

#include "si-server.h"

#define SI_MAX_REPORTS 64
#define SI_MAX_ORDERS 256

typedef enum
{
  SI_CONTROL_PLANE_NORMAL,
  SI_CONTROL_PLANE_BUSY,       /* refuses every call */
  SI_CONTROL_PLANE_LOSES_REPLY /* carries calls out and closes the connection instead of an answer
                                */
} SiControlPlaneMode;

/* The report of one window, as it was first taken. */
typedef struct
{
  int64_t window_sequence;
  char *counts;
  LbName duty_holder;
} SiUsageReport;

/* An order of endpoints. */
typedef struct
{
  LbName service;
  LbName data_centre;
  int64_t endpoints;
  bool is_spot;
} SiScaleOrder;

/* A shared platform beside its store: takes reports of usage and orders of endpoints, from one
 * holder at a time. */
typedef struct
{
  SiServer server;
  SiControlPlaneMode mode;
  int64_t last_fence;
  SiUsageReport reports[SI_MAX_REPORTS];
  size_t n_reports;
  SiScaleOrder orders[SI_MAX_ORDERS];
  size_t n_orders;
  int calls;
  int conflicting_reports; /* reports that are not what was taken for their window before */
  int stale_calls;         /* calls with an old fencing number */
  int unidentified_calls;  /* calls without a holder or a fencing number */
} SiControlPlane;

bool si_control_plane_init (SiControlPlane *control_plane, struct event_base *base);
void si_control_plane_clear (SiControlPlane *control_plane);
/* Requests of the organisation in all windows that were reported. */
int64_t si_control_plane_count_requests (const SiControlPlane *control_plane,
                                         const char *organisation);

#endif
