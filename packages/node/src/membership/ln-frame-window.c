#include "ln-frame-window.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <uthash.h>

#define WINDOW_FRAMES 64

typedef struct
{
  LbName origin;
  uint64_t epoch;
  uint64_t highest_sequence;
  uint64_t seen_bits; /* bit n is set if the frame highest_sequence - n was seen */
  UT_hash_handle hh;
} Origin;

struct LnFrameWindow
{
  Origin *origins;
};

LnFrameWindow *
ln_frame_window_new (void)
{
  return LB_NEW (LnFrameWindow);
}

void
ln_frame_window_free (LnFrameWindow *window)
{
  Origin *origin, *next;

  if (!window)
    return;
  HASH_ITER (hh, window->origins, origin, next)
  {
    HASH_DEL (window->origins, origin);
    free (origin);
  }
  free (window);
}

static Origin *
find_or_add_sending_instance (LnFrameWindow *window, const char *name)
{
  Origin *origin;

  HASH_FIND_STR (window->origins, name, origin);
  if (origin)
    return origin;
  origin = LB_NEW (Origin);
  LB_COPY (origin->origin, name);
  HASH_ADD_STR (window->origins, origin, origin);
  return origin;
}

/* Frames reach an instance on several paths and out of order. A frame that is WINDOW_FRAMES or more
 * behind the origin's newest frame counts as seen. */
bool
ln_frame_window_record_if_new (LnFrameWindow *window,
                               const char *name,
                               uint64_t epoch,
                               uint64_t sequence)
{
  Origin *origin = find_or_add_sending_instance (window, name);

  if (epoch < origin->epoch)
    return false;
  if (epoch > origin->epoch)
    {
      origin->epoch = epoch;
      origin->highest_sequence = sequence;
      origin->seen_bits = 1;
      return true;
    }
  if (sequence > origin->highest_sequence)
    {
      uint64_t ahead = sequence - origin->highest_sequence;
      origin->seen_bits = (ahead < WINDOW_FRAMES ? origin->seen_bits << ahead : 0) | 1;
      origin->highest_sequence = sequence;
      return true;
    }
  uint64_t behind = origin->highest_sequence - sequence;
  if (behind >= WINDOW_FRAMES || (origin->seen_bits >> behind & 1))
    return false;
  origin->seen_bits |= 1ULL << behind;
  return true;
}
