#include "lp-platform.h"

int64_t
lp_platform_get_store_clock_ms (const LpPlatform *platform)
{
  return platform->klass->store_clock_ms ? platform->klass->store_clock_ms (platform) : 0;
}

int64_t
lp_platform_get_store_clock_ms_at (const LpPlatform *platform, LbTime at)
{
  return platform->klass->store_clock_ms_at ? platform->klass->store_clock_ms_at (platform, at) : 0;
}

bool
lp_platform_is_store_reachable (const LpPlatform *platform)
{
  return !platform->klass->is_store_reachable || platform->klass->is_store_reachable (platform);
}
