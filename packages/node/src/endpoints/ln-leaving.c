#include "ln-leaving.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "ln-pack.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define TOPIC "calls"
#define N_FIELDS 2

typedef struct
{
  LbName endpoint;
  char incarnation[sizeof ((LcLoadReport *)NULL)->incarnation];
  UT_hash_handle hh;
} Told;

struct LnLeaving
{
  LnTask *task;
  Told *told;
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
  Told *told = NULL;
  Told *next = NULL;

  HASH_ITER (hh, leaving->told, told, next)
  {
    HASH_DELETE (hh, leaving->told, told);
    free (told);
  }
  free (leaving);
}

/* True when it was not noted for this incarnation before. */
static bool
note (LnLeaving *leaving, const char *endpoint, const char *incarnation)
{
  Told *told = NULL;

  HASH_FIND_STR (leaving->told, endpoint, told);
  if (told && strcmp (told->incarnation, incarnation) == 0)
    return false;
  if (!told)
    {
      told = LB_NEW (Told);
      LB_COPY (told->endpoint, endpoint);
      HASH_ADD_STR (leaving->told, endpoint, told);
    }
  LB_COPY (told->incarnation, incarnation);
  return true;
}

static void
clear_peer_message (LnMessage *message)
{
  free (((LnPeerMessage *)message)->payload);
}

static void
send_to_all (LnTask *peers, const LcEndpoint *endpoint)
{
  LnPeerMessage message = { .base = LN_MESSAGE (LN_PEER_SEND), .topic = TOPIC };
  msgpack_sbuffer buffer;
  msgpack_packer packer;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, N_FIELDS);
  ln_pack_text (&packer, endpoint->member.name);
  ln_pack_text (&packer, endpoint->report.incarnation);
  message.base.clear = clear_peer_message;
  message.payload = lb_memdup (buffer.data, buffer.size);
  message.length = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  LN_POST (peers->hub, peers, message);
}

/* The failure: an endpoint tells one instance that it leaves (a refusal, a load report), and the
 * others send it new work until they have polled it themselves. What is in the resources all know
 * already, and without its incarnation nobody could tell which life of the endpoint was meant. */
void
ln_leaving_announce (LnLeaving *leaving, const LcEndpoint *endpoint)
{
  LnTask *peers = ln_hub_find_task (leaving->task->hub, "peers");

  if (!endpoint || !endpoint->leaving || endpoint->member.leaving || !peers
      || endpoint->report.incarnation[0] == '\0')
    return;
  if (note (leaving, endpoint->member.name, endpoint->report.incarnation))
    send_to_all (peers, endpoint);
}

static bool
read_fields (const msgpack_object *object, LnEndpointLeavingMessage *heard)
{
  return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size == N_FIELDS
         && ln_unpack_text (&object->via.array.ptr[0], heard->endpoint, sizeof heard->endpoint)
         && ln_unpack_text (&object->via.array.ptr[1], heard->incarnation,
                            sizeof heard->incarnation);
}

bool
ln_leaving_receive_frame (LnLeaving *leaving,
                          const LnPeerMessage *frame,
                          LnEndpointLeavingMessage *heard)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;

  memset (heard, 0, sizeof *heard);
  heard->source = LC_LEAVING_PEER;
  msgpack_unpacked_init (&unpacked);
  bool ok = msgpack_unpack_next (&unpacked, frame->payload, frame->length, &offset)
                == MSGPACK_UNPACK_SUCCESS
            && read_fields (&unpacked.data, heard);
  msgpack_unpacked_destroy (&unpacked);
  if (ok)
    note (leaving, heard->endpoint, heard->incarnation);
  else
    lb_metric_count_error (LB_ERROR_FRAME_GARBLED);
  return ok;
}
