#ifndef LN_FRAME_WINDOW_H
#define LN_FRAME_WINDOW_H

#include "lb-types.h"

/* Which frames to all have been seen, by origin, so that each is delivered and passed on once. */
typedef struct LnFrameWindow LnFrameWindow;

LnFrameWindow *ln_frame_window_new (void);
void ln_frame_window_free (LnFrameWindow *window);
/* True when this frame of the origin was not seen before; it is then noted as seen. */
bool
ln_frame_window_add (LnFrameWindow *window, const char *origin, uint64_t epoch, uint64_t sequence);

#endif
