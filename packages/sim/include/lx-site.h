#ifndef LX_SITE_H
#define LX_SITE_H

#include "lc-resources.h"

#define LX_MAX_DATA_CENTRES 4

/* Model of a deployment site. Latencies are one way. */
typedef struct
{
  const char *name;
  const char *data_centres[LX_MAX_DATA_CENTRES];
  size_t n_data_centres;
  LbTime latency_between; /* network latency between two data centres */
  LbTime latency_inside;  /* network latency within a data centre */
  LbTime client_latency;  /* network latency between an instance and its callers */
  const char *pool;       /* name of the pool that has all engines */
  size_t n_engines;
  const char *service; /* name of the service, which has no model */
  size_t n_services;   /* number of endpoints of the service */
  size_t n_instances;
  LcPreset preset;
  int64_t max_lag; /* largest allowed age of a sample's weights, in versions */
} LxSite;

/* Returns NULL if no site has this name. */
const LxSite *lx_site_find (const char *name);

#endif
