#include "ln-outbox.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

#define MAX_FRAMES 1024
#define MAX_BYTES ((size_t)16 << 20)
#define MAX_WAIT (5 * LB_SEC)

typedef struct
{
  LbLink link;
  LbName instance;
  uint8_t *frame;
  size_t length;
  LbTime until;
} Waiting;

void
ln_outbox_init (LnOutbox *outbox)
{
  lb_list_init (&outbox->frames);
  outbox->bytes = 0;
}

static void
remove_waiting (LnOutbox *outbox, Waiting *waiting)
{
  lb_list_remove (&outbox->frames, &waiting->link);
  outbox->bytes -= waiting->length;
  free (waiting->frame);
  free (waiting);
}

void
ln_outbox_clear (LnOutbox *outbox)
{
  LB_LIST_FOREACH (&outbox->frames, Waiting, link, waiting)
  {
    remove_waiting (outbox, waiting);
  }
}

bool
ln_outbox_add (LnOutbox *outbox, const char *instance, uint8_t *frame, size_t length, LbTime now)
{
  if (outbox->frames.length >= MAX_FRAMES || outbox->bytes + length > MAX_BYTES)
    {
      free (frame);
      return false;
    }
  Waiting *waiting = LB_NEW (Waiting);
  LB_COPY (waiting->instance, instance);
  waiting->frame = frame;
  waiting->length = length;
  waiting->until = now + MAX_WAIT;
  outbox->bytes += length;
  lb_list_append (&outbox->frames, &waiting->link);
  return true;
}

void
ln_outbox_flush (LnOutbox *outbox, const char *instance, LnOutboxSend send, void *user)
{
  LB_LIST_FOREACH (&outbox->frames, Waiting, link, waiting)
  {
    if (strcmp (waiting->instance, instance) != 0)
      continue;
    send (waiting->frame, waiting->length, user);
    remove_waiting (outbox, waiting);
  }
}

size_t
ln_outbox_expire (LnOutbox *outbox, LbTime now)
{
  size_t before = outbox->frames.length;

  LB_LIST_FOREACH (&outbox->frames, Waiting, link, waiting)
  {
    if (now >= waiting->until)
      remove_waiting (outbox, waiting);
  }
  return before - outbox->frames.length;
}
