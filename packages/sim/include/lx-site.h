#ifndef LX_SITE_H
#define LX_SITE_H

#include "lc-resources.h"

#define LX_MAX_DATA_CENTRES 4

/* What is known of a site where the system runs. Times are one way. */
typedef struct
{
  const char *name;
  const char *data_centres[LX_MAX_DATA_CENTRES];
  size_t n_data_centres;
  LbTime between;    /* two data centres */
  LbTime inside;     /* one data centre */
  LbTime to_clients; /* an instance and its callers */
  const char *pool;
  size_t n_engines;
  const char *service;
  size_t n_services;
  size_t n_instances;
  LcPreset preset;
  int64_t max_lag;
} LxSite;

/* NULL when no site has this name. */
const LxSite *lx_site_find (const char *name);

#endif
