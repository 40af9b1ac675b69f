#include "ln-crash-frame.h"

#include "lb-alloc.h"
#include "ln-pack.h"

#include <stdlib.h>
#include <string.h>

#define FRAME_TOPIC "calls"
#define FRAME_KIND "crash"
/* Number of array elements in the frame's msgpack: "crash", key of the row, text of the row. */
#define N_FRAME_FIELDS 3

static void
free_frame_payload (LnMessage *message)
{
  free (((LnPeerMessage *)message)->payload);
}

void
ln_crash_frame_send (LnHub *hub, const char *key, const char *text)
{
  LnTask *peers = ln_hub_find_task (hub, "peers");
  LnPeerMessage message = { .base = LN_MESSAGE (LN_PEER_SEND), .topic = FRAME_TOPIC };
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  if (!peers)
    return;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, N_FRAME_FIELDS);
  ln_pack_text (&packer, FRAME_KIND);
  ln_pack_text (&packer, key);
  ln_pack_text (&packer, text);
  message.base.clear = free_frame_payload;
  message.payload = lb_memdup (buffer.data, buffer.size);
  message.length = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  LN_POST (hub, peers, message);
}

static bool
parse_crash_fields (const msgpack_object *object, LnCrashFrame *row)
{
  const msgpack_object *fields = object->via.array.ptr;
  char kind[sizeof FRAME_KIND];

  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == N_FRAME_FIELDS
         && ln_unpack_text (&fields[0], kind, sizeof kind) && strcmp (kind, FRAME_KIND) == 0
         && ln_unpack_text (&fields[1], row->key, sizeof row->key)
         && ln_unpack_text (&fields[2], row->text, sizeof row->text);
}

bool
ln_crash_frame_read (const LnPeerMessage *frame, LnCrashFrame *row)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool ok;

  msgpack_unpacked_init (&unpacked);
  ok = msgpack_unpack_next (&unpacked, frame->payload, frame->length, &offset)
           == MSGPACK_UNPACK_SUCCESS
       && parse_crash_fields (&unpacked.data, row);
  msgpack_unpacked_destroy (&unpacked);
  return ok;
}
