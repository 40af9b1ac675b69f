#ifndef LX_INSTANCE_CONFIG_H
#define LX_INSTANCE_CONFIG_H

#include "lx-instance.h"

/* The part of an instance that has its configuration: LcConfig with its links and its store. */
void lx_instance_config_start (LxInstance *instance);
void lx_instance_config_stop (LxInstance *instance);

#endif
