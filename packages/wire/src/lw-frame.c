#include "lw-frame.h"

const uint32_t lw_frame_version = LW_FRAME_VERSION;
