#ifndef SI_CLOUD_H
#define SI_CLOUD_H

#include "si-server.h"

#define SI_MAX_REPORTS 64
#define SI_MAX_ORDERS 256

typedef enum
{
  SI_CLOUD_WELL,
  SI_CLOUD_BUSY,       /* refuses every call */
  SI_CLOUD_LOSES_REPLY /* carries calls out and closes the connection instead of an answer */
} SiCloudMode;

/* The report of one window, as it was first taken. */
typedef struct
{
  int64_t window;
  char *counts;
  LbName holder;
} SiReport;

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
  SiCloudMode mode;
  int64_t last_fence;
  SiReport reports[SI_MAX_REPORTS];
  size_t n_reports;
  SiScaleOrder orders[SI_MAX_ORDERS];
  size_t n_orders;
  int calls;
  int differing;   /* reports that are not what was taken for their window before */
  int stale;       /* calls with an old fencing number */
  int without_one; /* calls without a holder or a fencing number */
} SiCloud;

bool si_cloud_init (SiCloud *cloud, struct event_base *base);
void si_cloud_clear (SiCloud *cloud);
/* Requests of the organisation in all windows that were reported. */
int64_t si_cloud_requests_of (const SiCloud *cloud, const char *organisation);

#endif
