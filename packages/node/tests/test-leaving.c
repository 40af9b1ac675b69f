#include "lb-alloc.h"
#include "ln-leaving.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

/* Replaces the task "peers", which sends frames to other instances: counts the frames and keeps
 * the last one. */
typedef struct
{
  LnTask task;
  int n_frames;
  char payload[256];
  size_t length;
} FakePeers;

static void
fake_peers_record_frame (LnTask *task, const LnMessage *message)
{
  FakePeers *peers = (FakePeers *)task;
  const LnPeerMessage *frame = (const LnPeerMessage *)message;

  peers->n_frames++;
  peers->length = frame->length;
  memcpy (peers->payload, frame->payload, frame->length);
}

static void
fake_peers_free (LnTask *task)
{
  free (task);
}

static const LnTaskClass fake_peers_class
    = { .name = "peers", .receive = fake_peers_record_frame, .free = fake_peers_free };

typedef struct
{
  struct event_base *base;
  LnHub *hub;
  FakePeers *peers;
  LnLeaving *leaving;
  LcEndpoint endpoint;
} Fixture;

static Fixture
fixture_new (void)
{
  Fixture f = { .base = event_base_new () };

  f.hub = ln_hub_new (f.base);
  f.peers = LB_NEW (FakePeers);
  f.peers->task.klass = &fake_peers_class;
  ln_hub_add_task (f.hub, &f.peers->task);
  f.leaving = ln_leaving_new (&f.peers->task);
  LB_COPY (f.endpoint.member.name, "e1");
  LB_COPY (f.endpoint.report.incarnation, "life-1");
  return f;
}

static void
fixture_free (Fixture *f)
{
  ln_leaving_free (f->leaving);
  ln_hub_free (f->hub);
  event_base_free (f->base);
}

static void
announce_endpoint_if_leaving (Fixture *f)
{
  ln_leaving_announce_endpoint (f->leaving, &f->endpoint);
  event_base_loop (f->base, EVLOOP_NONBLOCK);
}

/* Guards against new work for an engine that is leaving. The first instance to poll the engine
 * learns that it leaves; the others, which polled it just before, would send it work for
 * seconds. So the first instance notifies the others, once per incarnation of the engine. */
Test (leaving, a_leaving_endpoint_is_announced_once_per_incarnation)
{
  Fixture f = fixture_new ();

  announce_endpoint_if_leaving (&f);
  cr_assert_eq (f.peers->n_frames, 0, "expected no frame, as the endpoint is not leaving");
  f.endpoint.leaving = true;
  announce_endpoint_if_leaving (&f);
  announce_endpoint_if_leaving (&f);
  cr_assert_eq (f.peers->n_frames, 1);
  LB_COPY (f.endpoint.report.incarnation, "life-2");
  announce_endpoint_if_leaving (&f);
  cr_assert_eq (f.peers->n_frames, 2);
  fixture_free (&f);
}

/* Guards against two instances that send each other's notifications back and forth without end. */
Test (leaving, a_received_notification_is_not_announced_again)
{
  Fixture f = fixture_new ();
  Fixture other = fixture_new ();
  LnEndpointLeavingMessage message;

  f.endpoint.leaving = true;
  announce_endpoint_if_leaving (&f);
  const LnPeerMessage frame = { .payload = f.peers->payload, .length = f.peers->length };
  cr_assert (ln_leaving_receive_frame (other.leaving, &frame, &message));
  cr_assert_str_eq (message.endpoint, "e1");
  cr_assert_str_eq (message.incarnation, "life-1");
  cr_assert_eq (message.source, LC_LEAVING_PEER);
  other.endpoint.leaving = true;
  announce_endpoint_if_leaving (&other);
  cr_assert_eq (other.peers->n_frames, 0);
  fixture_free (&other);
  fixture_free (&f);
}

Test (leaving, a_malformed_frame_is_rejected)
{
  Fixture f = fixture_new ();
  LnEndpointLeavingMessage message;
  char bytes[] = "\x92\xa2"
                 "e1\x07";
  const LnPeerMessage wrong_type = { .payload = bytes, .length = sizeof bytes - 1 };
  const LnPeerMessage truncated = { .payload = bytes, .length = 3 };

  cr_assert_not (ln_leaving_receive_frame (f.leaving, &wrong_type, &message));
  cr_assert_not (ln_leaving_receive_frame (f.leaving, &truncated, &message));
  fixture_free (&f);
}
