#ifndef LN_FRAME_WINDOW_H
#define LN_FRAME_WINDOW_H

#include "lb-types.h"

/* Duplicate detection for broadcast frames, per sending instance (origin), so that each frame is
 * delivered and forwarded once. */
typedef struct LnFrameWindow LnFrameWindow;

LnFrameWindow *ln_frame_window_new (void);
void ln_frame_window_free (LnFrameWindow *window);
/* Returns true if the frame was not seen before, and records it as seen. epoch: number of the
 * origin's incarnation, higher for a later one. */
bool ln_frame_window_record_if_new (LnFrameWindow *window,
                                    const char *origin,
                                    uint64_t epoch,
                                    uint64_t sequence);

#endif
