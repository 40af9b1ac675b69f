#include "node-fixture.h"

#include "lp-platform.h"

/* A store that answers as a test says. */
typedef struct
{
  LpPlatform platform; /* first */
  LbErrorCode transact_error;
  LbErrorCode get_error;
  char key[128];
  char value[256]; /* the row, when there is one */
  bool applies;    /* a write takes effect even when its answer says otherwise */
  int transactions;
} FakeStore;

static void
fake_transact (LpPlatform *platform,
               const LpTransaction *transaction,
               LpPriority priority,
               LpTransactDone done,
               void *user)
{
  (void)priority;
  FakeStore *store = (FakeStore *)platform;
  LbErrorCode error = store->transact_error;

  store->transactions++;
  if (error == LB_OK && store->value[0])
    error = LB_ERROR_CONDITION_FAILED;
  if ((error == LB_OK || store->applies) && !store->value[0])
    {
      LB_COPY (store->key, transaction->puts[0].key);
      LB_COPY (store->value, transaction->puts[0].value);
    }
  const LpRow row = { .key = store->key, .version = 1 };
  done (error, &row, user);
}

static void
fake_get (LpPlatform *platform, const char *key, LpRowsDone done, void *user)
{
  FakeStore *store = (FakeStore *)platform;
  const LpRow row = { .key = key, .value = store->value, .version = 1 };
  LbErrorCode error = store->get_error;

  if (error == LB_OK && !store->value[0])
    error = LB_ERROR_NOT_FOUND;
  done (error, &row, error == LB_OK ? 1 : 0, user);
}

static void
fake_scan (LpPlatform *platform, const char *prefix, LpRowsDone done, void *user)
{
  (void)platform;
  (void)prefix;
  done (LB_OK, NULL, 0, user);
}

static void
fake_free (LpPlatform *platform)
{
  (void)platform;
}

static const LpPlatformClass fake_class = {
  .name = "fake", .free = fake_free, .transact = fake_transact, .get = fake_get, .scan = fake_scan
};

typedef struct
{
  Fixture f;
  FakeStore store;
  int listener;
  LbName address;
} Setup;

static void
setup_init (Setup *s)
{
  memset (&s->store, 0, sizeof s->store);
  s->store.platform.klass = &fake_class;
  fixture_init (&s->f);
  s->f.context.platform = &s->store.platform;
  s->listener = fixture_listen (s->address);
  fixture_start (&s->f);
  fixture_configure (&s->f, NULL, (const char *[]){ s->address, NULL });
}

static void
get_ticket (Setup *s, Peer *caller, char ticket[160])
{
  caller_post (caller, "/v1/tickets", "", "");
  FIXTURE_WAIT_UNTIL (&s->f, peer_has (caller, "expires_in_ms"));
  sscanf (strstr (caller->text, "\"ticket\":\"") + 10, "%159[^\"]", ticket);
  peer_clear_text (caller);
}

static void
order (Peer *caller, const char *header, const char *value)
{
  char *line = lb_asprintf ("%s: %s\r\n", header, value);

  caller_post (caller, "/services/s/order", line, "tea");
  free (line);
}

static void
service_reply (Peer *service, const char *text)
{
  char *reply = lb_asprintf ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                             "Content-Length: %zu\r\n\r\n%s",
                             strlen (text), text);

  peer_send (service, reply);
  free (reply);
}

static void
expect_no_call (Setup *s)
{
  Peer peer = { 0 };

  for (int i = 0; i < 50; i++)
    {
      fixture_run_loop_once (&s->f);
      cr_assert_not (endpoint_try_accept (s->listener, &peer), "ran again: %s", peer.text);
    }
}

/* A shopper's order is answered, but the answer is lost on the way. The shop asks again with the
 * same ticket: it gets the kept answer, and no second order is made. */
Test (tickets, same_ticket_again_gets_the_kept_answer)
{
  Setup s;
  Peer caller, again, service;
  char ticket[160];

  setup_init (&s);
  caller_open (&s.f, &caller);
  get_ticket (&s, &caller, ticket);
  order (&caller, "x-ticket", ticket);
  endpoint_accept (&s.f, s.listener, &service);
  service_reply (&service, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "order 7"));
  caller_open (&s.f, &again);
  order (&again, "x-ticket", ticket);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&again, "order 7"));
  cr_assert (strstr (again.text, "text/plain"));
  peer_close (&service);
  expect_no_call (&s);
  peer_close (&caller);
  peer_close (&again);
  fixture_clear (&s.f);
}

/* The caller loses its connection while the order is made, and asks again at once. The second call
 * joins the first, which goes on without its caller, and gets its answer. */
Test (tickets, same_ticket_joins_the_call_in_progress)
{
  Setup s;
  Peer caller, again, service;
  char ticket[160];

  setup_init (&s);
  caller_open (&s.f, &caller);
  get_ticket (&s, &caller, ticket);
  order (&caller, "x-ticket", ticket);
  endpoint_accept (&s.f, s.listener, &service);
  peer_close (&caller);
  caller_open (&s.f, &again);
  order (&again, "x-ticket", ticket);
  expect_no_call (&s);
  service_reply (&service, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&again, "order 7"));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  peer_close (&service);
  peer_close (&again);
  fixture_clear (&s.f);
}

/* The service takes the order and its connection breaks: it may have run. The same ticket again
 * must not run it a second time. */
Test (tickets, broken_call_spends_its_ticket)
{
  Setup s;
  Peer caller, service;
  char ticket[160];

  setup_init (&s);
  caller_open (&s.f, &caller);
  get_ticket (&s, &caller, ticket);
  order (&caller, "x-ticket", ticket);
  endpoint_accept (&s.f, s.listener, &service);
  peer_close (&service);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "outcome_unknown"));
  peer_clear_text (&caller);
  order (&caller, "x-ticket", ticket);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "outcome_unknown"));
  expect_no_call (&s);
  peer_close (&caller);
  fixture_clear (&s.f);
}

/* The ticket names an instance that is gone: whether the order was made is known to nobody. */
Test (tickets, ticket_of_a_dead_instance_is_outcome_unknown)
{
  Setup s;
  Peer caller;

  setup_init (&s);
  caller_open (&s.f, &caller);
  order (&caller, "x-ticket", "i9.b2.0000000000000001");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "outcome_unknown"));
  cr_assert (strstr (caller.text, "\"not_run\":false"));
  expect_no_call (&s);
  peer_close (&caller);
  fixture_clear (&s.f);
}

static void
clear_members (LnMessage *message)
{
  free (((LnMembersMessage *)message)->members);
}

static void
post_member (Setup *s, const char *name, const char *incarnation, const char *address)
{
  LnMembersMessage message = { .base = LN_MESSAGE (LN_MEMBERS), .n_members = 1 };

  message.base.clear = clear_members;
  message.members = LB_NEW_ARRAY (LnMember, 1);
  LB_COPY (message.members[0].name, name);
  LB_COPY (message.members[0].incarnation, incarnation);
  LB_COPY (message.members[0].caller_address, address);
  message.members[0].alive = true;
  LN_POST (s->f.context.hub, NULL, message);
  fixture_run_loop_once (&s->f);
}

/* The caller comes to another instance with its ticket. Only the one that the ticket names may run
 * the call, so it is passed on there, once, under the caller's name. */
Test (tickets, ticket_of_another_instance_is_relayed)
{
  Setup s;
  Peer caller, other;
  LbName address;

  setup_init (&s);
  int instance = fixture_listen (address);
  post_member (&s, "i2", "b1", address);
  caller_open (&s.f, &caller);
  order (&caller, "x-ticket", "i2.b1.0000000000000001");
  endpoint_accept (&s.f, instance, &other);
  cr_assert (strstr (other.text, "POST /services/s/order"));
  cr_assert (strstr (other.text, "x-ticket: i2.b1.0000000000000001"));
  cr_assert (strstr (other.text, "x-caller: 127.0.0.1"));
  cr_assert (strstr (other.text, "x-relayed-by: i1"));
  service_reply (&other, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "order 7"));
  expect_no_call (&s);
  peer_close (&other);
  peer_close (&caller);
  fixture_clear (&s.f);
}

/* Two instances each believe that the ticket is the other's: the call must not go round. */
Test (tickets, relayed_call_is_not_relayed_again)
{
  Setup s;
  Peer caller;
  LbName address;

  setup_init (&s);
  fixture_listen (address);
  post_member (&s, "i2", "b1", address);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/services/s/order",
               "x-relayed-by: i3\r\nx-ticket: i2.b1.0000000000000001\r\n", "tea");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "outcome_unknown"));
  peer_close (&caller);
  fixture_clear (&s.f);
}

Test (tickets, same_key_again_gets_the_kept_answer)
{
  Setup s;
  Peer caller, service;

  setup_init (&s);
  caller_open (&s.f, &caller);
  order (&caller, "idempotency-key", "k1");
  endpoint_accept (&s.f, s.listener, &service);
  service_reply (&service, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "order 7"));
  peer_clear_text (&caller);
  peer_close (&service);
  order (&caller, "idempotency-key", "k1");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "order 7"));
  expect_no_call (&s);
  cr_assert_eq (s.store.transactions, 2);
  peer_close (&caller);
  fixture_clear (&s.f);
}

/* While the store is away no instance can know whether another one has the key. The call is refused
 * before it goes anywhere, so "not run" is true. */
Test (tickets, key_is_refused_not_run_while_the_store_is_away)
{
  Setup s;
  Peer caller;

  setup_init (&s);
  s.store.transact_error = LB_ERROR_STORE_AWAY;
  caller_open (&s.f, &caller);
  order (&caller, "idempotency-key", "k1");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "store_away"));
  cr_assert (strstr (caller.text, "x-not-run: 1"));
  expect_no_call (&s);
  peer_close (&caller);
  fixture_clear (&s.f);
}

/* The store writes the row but its answer is lost. Reading the row back shows that the key is ours,
 * and the call runs. */
Test (tickets, lost_answer_of_the_claim_is_read_back)
{
  Setup s;
  Peer caller, service;

  setup_init (&s);
  s.store.transact_error = LB_ERROR_STORE_UNKNOWN;
  s.store.applies = true;
  caller_open (&s.f, &caller);
  order (&caller, "idempotency-key", "k1");
  endpoint_accept (&s.f, s.listener, &service);
  service_reply (&service, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "order 7"));
  peer_close (&service);
  peer_close (&caller);
  fixture_clear (&s.f);
}

/* The row is written, its answer is lost, and the store goes away before it can be read back. The
 * caller hears "not run", which holds: when the store is back, the same key runs the call for the
 * first time, under the ticket that the row names. */
Test (tickets, claim_that_could_not_be_read_back_has_not_run)
{
  Setup s;
  Peer caller, service;

  setup_init (&s);
  s.store.transact_error = LB_ERROR_STORE_UNKNOWN;
  s.store.get_error = LB_ERROR_STORE_AWAY;
  s.store.applies = true;
  caller_open (&s.f, &caller);
  order (&caller, "idempotency-key", "k1");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "x-not-run: 1"));
  expect_no_call (&s);
  peer_clear_text (&caller);
  s.store.transact_error = LB_OK;
  s.store.get_error = LB_OK;
  order (&caller, "idempotency-key", "k1");
  endpoint_accept (&s.f, s.listener, &service);
  service_reply (&service, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "order 7"));
  peer_close (&service);
  peer_close (&caller);
  fixture_clear (&s.f);
}
