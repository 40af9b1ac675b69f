#include "ln-frame-window.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <uthash.h>

#define WINDOW 64

typedef struct
{
  LbName origin;
  uint64_t epoch;
  uint64_t highest;
  uint64_t seen; /* bit n: the frame highest - n */
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
find_or_add (LnFrameWindow *window, const char *name)
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

/* Frames reach an instance on several paths and out of order; one that is more than WINDOW behind
 * the newest counts as seen. */
bool
ln_frame_window_add (LnFrameWindow *window, const char *name, uint64_t epoch, uint64_t sequence)
{
  Origin *origin = find_or_add (window, name);

  if (epoch < origin->epoch)
    return false;
  if (epoch > origin->epoch)
    {
      origin->epoch = epoch;
      origin->highest = sequence;
      origin->seen = 1;
      return true;
    }
  if (sequence > origin->highest)
    {
      uint64_t ahead = sequence - origin->highest;
      origin->seen = (ahead < WINDOW ? origin->seen << ahead : 0) | 1;
      origin->highest = sequence;
      return true;
    }
  uint64_t behind = origin->highest - sequence;
  if (behind >= WINDOW || (origin->seen >> behind & 1))
    return false;
  origin->seen |= 1ULL << behind;
  return true;
}
