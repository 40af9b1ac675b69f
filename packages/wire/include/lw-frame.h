#ifndef LW_FRAME_H
#define LW_FRAME_H

#include "lb-error.h"

/* Version of the frames between instances; another one closes the connection. */
#define LW_FRAME_VERSION 1

extern const uint32_t lw_frame_version;

#endif
