#include "ln-outbox.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

#define MAX_QUEUED_FRAMES 1024
#define MAX_QUEUED_BYTES ((size_t)16 << 20)
#define MAX_FRAME_QUEUE_TIME (5 * LB_SEC)

typedef struct
{
  LbLink link;
  LbName instance;
  uint8_t *frame;
  size_t length;
  LbTime expires_at;
} QueuedFrame;

void
ln_outbox_init (LnOutbox *outbox)
{
  lb_list_init (&outbox->frames);
  outbox->bytes = 0;
}

static void
remove_queued_frame (LnOutbox *outbox, QueuedFrame *queued)
{
  lb_list_remove (&outbox->frames, &queued->link);
  outbox->bytes -= queued->length;
  free (queued->frame);
  free (queued);
}

void
ln_outbox_clear (LnOutbox *outbox)
{
  LB_LIST_FOREACH (&outbox->frames, QueuedFrame, link, queued)
  {
    remove_queued_frame (outbox, queued);
  }
}

bool
ln_outbox_add_frame (
    LnOutbox *outbox, const char *instance, uint8_t *frame, size_t length, LbTime now)
{
  if (outbox->frames.length >= MAX_QUEUED_FRAMES || outbox->bytes + length > MAX_QUEUED_BYTES)
    {
      free (frame);
      return false;
    }
  QueuedFrame *queued = LB_NEW (QueuedFrame);
  LB_COPY (queued->instance, instance);
  queued->frame = frame;
  queued->length = length;
  queued->expires_at = now + MAX_FRAME_QUEUE_TIME;
  outbox->bytes += length;
  lb_list_append (&outbox->frames, &queued->link);
  return true;
}

void
ln_outbox_flush (LnOutbox *outbox, const char *instance, LnOutboxSend send, void *user)
{
  LB_LIST_FOREACH (&outbox->frames, QueuedFrame, link, queued)
  {
    if (strcmp (queued->instance, instance) != 0)
      continue;
    send (queued->frame, queued->length, user);
    remove_queued_frame (outbox, queued);
  }
}

size_t
ln_outbox_drop_expired_frames (LnOutbox *outbox, LbTime now)
{
  size_t before = outbox->frames.length;

  LB_LIST_FOREACH (&outbox->frames, QueuedFrame, link, queued)
  {
    if (now >= queued->expires_at)
      remove_queued_frame (outbox, queued);
  }
  return before - outbox->frames.length;
}
