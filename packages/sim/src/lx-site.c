#include "lx-site.h"

#include <string.h>

static const LxSite sites[] = {
  { .name = "kurunegala",
    .data_centres = { "hall-a", "hall-b", "hall-c" },
    .n_data_centres = 3,
    .latency_between = 500,
    .latency_inside = 100,
    .client_latency = 3 * LB_MSEC,
    .pool = "reader-model",
    .n_engines = 9,
    .service = "trace-app",
    .n_services = 3,
    .n_instances = 10,
    .preset = LC_PRESET_IDLE_TIME,
    .max_lag = 2 },
  { .name = "hoa-sen",
    .data_centres = { "thu-duc-a", "thu-duc-b", "tan-binh", "quan-bay" },
    .n_data_centres = 4,
    .latency_between = 1500,
    .latency_inside = 100,
    .client_latency = 1 * LB_MSEC,
    .pool = "suggest-model",
    .n_engines = 9,
    .service = "chat-core",
    .n_services = 4,
    .n_instances = 11,
    .preset = LC_PRESET_STALENESS,
    .max_lag = 1 },
};

const LxSite *
lx_site_find (const char *name)
{
  for (size_t i = 0; i < sizeof sites / sizeof sites[0]; i++)
    if (strcmp (sites[i].name, name) == 0)
      return &sites[i];
  return NULL;
}
