#ifndef LX_INSTANCE_CONFIG_H
#define LX_INSTANCE_CONFIG_H

#include "lx-instance.h"

/* Start and stop the LcConfig of an instance, which runs with simulated links and a simulated
 * store. */
void lx_instance_start_config (LxInstance *instance);
void lx_instance_stop_config (LxInstance *instance);

#endif
