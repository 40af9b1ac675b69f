#ifndef LN_OUTBOX_H
#define LN_OUTBOX_H

#include "lb-list.h"

/* Queue of frames for instances to which no connection is open yet; bounded in number, bytes and
 * time. */
typedef struct
{
  LbList frames;
  size_t bytes;
} LnOutbox;

typedef void (*LnOutboxSend) (const uint8_t *frame, size_t length, void *user);

void ln_outbox_init (LnOutbox *outbox);
void ln_outbox_clear (LnOutbox *outbox);
/* Takes ownership of the frame. Returns false, and frees the frame, if the outbox is full. */
bool ln_outbox_add_frame (
    LnOutbox *outbox, const char *instance, uint8_t *frame, size_t length, LbTime now);
/* Sends and removes the frames queued for the instance, oldest first. */
void ln_outbox_flush (LnOutbox *outbox, const char *instance, LnOutboxSend send, void *user);
/* Drops frames that were queued for too long; returns their number. */
size_t ln_outbox_drop_expired_frames (LnOutbox *outbox, LbTime now);

#endif
