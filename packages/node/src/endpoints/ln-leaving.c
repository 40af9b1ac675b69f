#include "ln-leaving.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "ln-pack.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define FRAME_TOPIC "calls"
/* Number of array elements in the frame's msgpack: name and incarnation of the endpoint. */
#define N_FRAME_FIELDS 2

typedef struct
{
  LbName endpoint;
  char incarnation[sizeof ((LcLoadReport *)NULL)->incarnation];
  UT_hash_handle hh;
} AnnouncedEndpoint;

struct LnLeaving
{
  LnTask *task;
  AnnouncedEndpoint *announced; /* by endpoint name: incarnation announced as about to stop */
};

LnLeaving *
ln_leaving_new (LnTask *task)
{
  LnLeaving *leaving = LB_NEW (LnLeaving);

  leaving->task = task;
  return leaving;
}

void
ln_leaving_free (LnLeaving *leaving)
{
  AnnouncedEndpoint *announced = NULL;
  AnnouncedEndpoint *next = NULL;

  HASH_ITER (hh, leaving->announced, announced, next)
  {
    HASH_DELETE (hh, leaving->announced, announced);
    free (announced);
  }
  free (leaving);
}

/* Records that this incarnation of the endpoint was announced as about to stop; returns false if
 * the announcement was recorded already. */
static bool
record_announced_incarnation (LnLeaving *leaving, const char *endpoint, const char *incarnation)
{
  AnnouncedEndpoint *announced = NULL;

  HASH_FIND_STR (leaving->announced, endpoint, announced);
  if (announced && strcmp (announced->incarnation, incarnation) == 0)
    return false;
  if (!announced)
    {
      announced = LB_NEW (AnnouncedEndpoint);
      LB_COPY (announced->endpoint, endpoint);
      HASH_ADD_STR (leaving->announced, endpoint, announced);
    }
  LB_COPY (announced->incarnation, incarnation);
  return true;
}

static void
free_frame_payload (LnMessage *message)
{
  free (((LnPeerMessage *)message)->payload);
}

static void
broadcast_leaving_endpoint (LnTask *peers, const LcEndpoint *endpoint)
{
  LnPeerMessage message = { .base = LN_MESSAGE (LN_PEER_SEND), .topic = FRAME_TOPIC };
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, N_FRAME_FIELDS);
  ln_pack_text (&packer, endpoint->member.name);
  ln_pack_text (&packer, endpoint->report.incarnation);
  message.base.clear = free_frame_payload;
  message.payload = lb_memdup (buffer.data, buffer.size);
  message.length = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  LN_POST (peers->hub, peers, message);
}

/* A leaving endpoint tells only one instance so, in a refusal or a load report. Without this
 * notification the other instances would send the endpoint new work until they poll it. Skips
 * endpoints that are marked as leaving in the resources, since all instances know that, and
 * endpoints without an incarnation, since the notification could also apply to a restarted
 * endpoint. */
void
ln_leaving_announce_endpoint (LnLeaving *leaving, const LcEndpoint *endpoint)
{
  LnTask *peers = ln_hub_find_task (leaving->task->hub, "peers");

  if (!endpoint || !endpoint->leaving || endpoint->member.leaving || !peers
      || endpoint->report.incarnation[0] == '\0')
    return;
  if (record_announced_incarnation (leaving, endpoint->member.name, endpoint->report.incarnation))
    broadcast_leaving_endpoint (peers, endpoint);
}

static bool
parse_leaving_fields (const msgpack_object *object, LnEndpointLeavingMessage *message)
{
  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == N_FRAME_FIELDS
         && ln_unpack_text (&object->via.array.ptr[0], message->endpoint, sizeof message->endpoint)
         && ln_unpack_text (&object->via.array.ptr[1], message->incarnation,
                            sizeof message->incarnation);
}

bool
ln_leaving_receive_frame (LnLeaving *leaving,
                          const LnPeerMessage *frame,
                          LnEndpointLeavingMessage *message)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;

  memset (message, 0, sizeof *message);
  message->source = LC_LEAVING_PEER;
  msgpack_unpacked_init (&unpacked);
  bool ok = msgpack_unpack_next (&unpacked, frame->payload, frame->length, &offset)
                == MSGPACK_UNPACK_SUCCESS
            && parse_leaving_fields (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    record_announced_incarnation (leaving, message->endpoint, message->incarnation);
  else
    lb_metric_count_error (LB_ERROR_FRAME_GARBLED);
  return ok;
}
