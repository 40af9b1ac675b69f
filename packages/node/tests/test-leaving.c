#include "lb-alloc.h"
#include "ln-leaving.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

/* Stands where the peers task is: keeps what it was asked to send. */
typedef struct
{
  LnTask task;
  int frames;
  char payload[256];
  size_t length;
} FakePeers;

static void
fake_receive (LnTask *task, const LnMessage *message)
{
  FakePeers *peers = (FakePeers *)task;
  const LnPeerMessage *frame = (const LnPeerMessage *)message;

  peers->frames++;
  peers->length = frame->length;
  memcpy (peers->payload, frame->payload, frame->length);
}

static void
fake_free (LnTask *task)
{
  free (task);
}

static const LnTaskClass fake_class
    = { .name = "peers", .receive = fake_receive, .free = fake_free };

typedef struct
{
  struct event_base *base;
  LnHub *hub;
  FakePeers *peers;
  LnLeaving *leaving;
  LcEndpoint endpoint;
} Fixture;

static Fixture
fixture (void)
{
  Fixture f = { .base = event_base_new () };

  f.hub = ln_hub_new (f.base);
  f.peers = LB_NEW (FakePeers);
  f.peers->task.klass = &fake_class;
  ln_hub_add (f.hub, &f.peers->task);
  f.leaving = ln_leaving_new (&f.peers->task);
  LB_COPY (f.endpoint.member.name, "e1");
  LB_COPY (f.endpoint.report.incarnation, "life-1");
  return f;
}

static void
clear (Fixture *f)
{
  ln_leaving_free (f->leaving);
  ln_hub_free (f->hub);
  event_base_free (f->base);
}

static void
tell (Fixture *f)
{
  ln_leaving_announce (f->leaving, &f->endpoint);
  event_base_loop (f->base, EVLOOP_NONBLOCK);
}

/* An engine answers one instance "leaving" and goes on working for its last streams. The other
 * instances have polled it a moment before, so for seconds they would send it new work that it
 * refuses. The first to learn it tells the others, once for each life of the engine. */
Test (leaving, is_told_once_for_each_incarnation)
{
  Fixture f = fixture ();

  tell (&f);
  cr_assert_eq (f.peers->frames, 0, "it stays");
  f.endpoint.leaving = true;
  tell (&f);
  tell (&f);
  cr_assert_eq (f.peers->frames, 1);
  LB_COPY (f.endpoint.report.incarnation, "life-2");
  tell (&f);
  cr_assert_eq (f.peers->frames, 2);
  clear (&f);
}

/* Two instances that tell each other what they heard from each other would never stop. */
Test (leaving, what_was_heard_is_not_told_again)
{
  Fixture f = fixture ();
  Fixture other = fixture ();
  LnEndpointLeavingMessage heard;

  f.endpoint.leaving = true;
  tell (&f);
  const LnPeerMessage frame = { .payload = f.peers->payload, .length = f.peers->length };
  cr_assert (ln_leaving_receive_frame (other.leaving, &frame, &heard));
  cr_assert_str_eq (heard.endpoint, "e1");
  cr_assert_str_eq (heard.incarnation, "life-1");
  cr_assert_eq (heard.source, LC_LEAVING_PEER);
  other.endpoint.leaving = true;
  tell (&other);
  cr_assert_eq (other.peers->frames, 0);
  clear (&other);
  clear (&f);
}

Test (leaving, a_garbled_frame_is_refused)
{
  Fixture f = fixture ();
  LnEndpointLeavingMessage heard;
  char bytes[] = "\x92\xa2"
                 "e1\x07";
  const LnPeerMessage wrong_type = { .payload = bytes, .length = sizeof bytes - 1 };
  const LnPeerMessage cut = { .payload = bytes, .length = 3 };

  cr_assert_not (ln_leaving_receive_frame (f.leaving, &wrong_type, &heard));
  cr_assert_not (ln_leaving_receive_frame (f.leaving, &cut, &heard));
  clear (&f);
}
