#include "node-fixture.h"

#include "lp-platform.h"

/* Fake store with at most one row. Its operations return the errors that the test sets. */
typedef struct
{
  LpPlatform platform; /* first member, because callbacks cast LpPlatform * to FakeStore * */
  LbErrorCode transact_error;
  LbErrorCode get_error;
  char key[128];
  char value[256];     /* value of the row; empty: no row */
  bool apply_on_error; /* writes take effect even if transact_error is returned */
  int n_transactions;
} FakeStore;

static void
fake_store_transact (LpPlatform *platform,
                     const LpTransaction *transaction,
                     LpPriority priority,
                     LpTransactDone done,
                     void *user)
{
  (void)priority;
  FakeStore *store = (FakeStore *)platform;
  LbErrorCode error = store->transact_error;

  store->n_transactions++;
  if (error == LB_OK && store->value[0])
    error = LB_ERROR_CONDITION_FAILED;
  if ((error == LB_OK || store->apply_on_error) && !store->value[0])
    {
      LB_COPY (store->key, transaction->puts[0].key);
      LB_COPY (store->value, transaction->puts[0].value);
    }
  const LpRow row = { .key = store->key, .version = 1 };
  done (error, &row, user);
}

static void
fake_store_get (LpPlatform *platform, const char *key, LpRowsDone done, void *user)
{
  FakeStore *store = (FakeStore *)platform;
  const LpRow row = { .key = key, .value = store->value, .version = 1 };
  LbErrorCode error = store->get_error;

  if (error == LB_OK && !store->value[0])
    error = LB_ERROR_NOT_FOUND;
  done (error, &row, error == LB_OK ? 1 : 0, user);
}

static void
fake_store_scan (LpPlatform *platform, const char *prefix, LpRowsDone done, void *user)
{
  (void)platform;
  (void)prefix;
  done (LB_OK, NULL, 0, user);
}

static void
fake_store_free (LpPlatform *platform)
{
  (void)platform;
}

static const LpPlatformClass fake_store_class = { .name = "fake",
                                                  .free = fake_store_free,
                                                  .transact = fake_store_transact,
                                                  .get = fake_store_get,
                                                  .scan = fake_store_scan };

typedef struct
{
  Fixture f;
  FakeStore store;
  int listener;
  LbName address;
} Setup;

static void
setup_init_with_fake_store (Setup *s)
{
  memset (&s->store, 0, sizeof s->store);
  s->store.platform.klass = &fake_store_class;
  fixture_init_settings_and_event_base (&s->f);
  s->f.context.platform = &s->store.platform;
  s->listener = fixture_open_listener (s->address);
  fixture_start_front_and_calls (&s->f);
  fixture_apply_engines_and_services (&s->f, NULL, (const char *[]){ s->address, NULL });
}

static void
request_ticket (Setup *s, TestConnection *caller, char ticket[160])
{
  caller_send_post (caller, "/v1/tickets", "", "");
  FIXTURE_WAIT_UNTIL (&s->f, connection_has_received (caller, "expires_in_ms"));
  sscanf (strstr (caller->text, "\"ticket\":\"") + 10, "%159[^\"]", ticket);
  connection_clear_received_text (caller);
}

static void
send_order_with_header (TestConnection *caller, const char *header, const char *value)
{
  char *line = lb_asprintf ("%s: %s\r\n", header, value);

  caller_send_post (caller, "/services/s/order", line, "tea");
  free (line);
}

static void
service_send_reply (TestConnection *service, const char *text)
{
  char *reply = lb_asprintf ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                             "Content-Length: %zu\r\n\r\n%s",
                             strlen (text), text);

  connection_send_text (service, reply);
  free (reply);
}

static void
expect_no_call_at_the_endpoint (Setup *s)
{
  TestConnection connection = { 0 };

  for (int i = 0; i < 50; i++)
    {
      fixture_run_event_loop_once (&s->f);
      cr_assert_not (endpoint_try_accept_call (s->listener, &connection),
                     "the call was sent to the endpoint: %s", connection.text);
    }
}

/* The answer to a call is lost on the way. A retry with the same ticket gets the stored answer, and
 * the call does not run again. */
Test (tickets, retry_with_the_ticket_gets_the_stored_answer)
{
  Setup s;
  TestConnection caller, retry, service;
  char ticket[160];

  setup_init_with_fake_store (&s);
  caller_connect (&s.f, &caller);
  request_ticket (&s, &caller, ticket);
  send_order_with_header (&caller, "x-ticket", ticket);
  endpoint_accept_call (&s.f, s.listener, &service);
  service_send_reply (&service, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "order 7"));
  caller_connect (&s.f, &retry);
  send_order_with_header (&retry, "x-ticket", ticket);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&retry, "order 7"));
  cr_assert (strstr (retry.text, "text/plain"));
  connection_close (&service);
  expect_no_call_at_the_endpoint (&s);
  connection_close (&caller);
  connection_close (&retry);
  fixture_clear (&s.f);
}

/* The caller loses its connection while the call runs and retries at once. The call continues
 * without its caller, and the retry waits for its answer. */
Test (tickets, retry_with_the_ticket_joins_the_running_call)
{
  Setup s;
  TestConnection caller, retry, service;
  char ticket[160];

  setup_init_with_fake_store (&s);
  caller_connect (&s.f, &caller);
  request_ticket (&s, &caller, ticket);
  send_order_with_header (&caller, "x-ticket", ticket);
  endpoint_accept_call (&s.f, s.listener, &service);
  connection_close (&caller);
  caller_connect (&s.f, &retry);
  send_order_with_header (&retry, "x-ticket", ticket);
  expect_no_call_at_the_endpoint (&s);
  service_send_reply (&service, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&retry, "order 7"));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  connection_close (&service);
  connection_close (&retry);
  fixture_clear (&s.f);
}

/* The connection to the service breaks after the service received the call, which may have run. A
 * retry with the same ticket must not run the call a second time. */
Test (tickets, retry_after_a_lost_service_connection_is_not_run_again)
{
  Setup s;
  TestConnection caller, service;
  char ticket[160];

  setup_init_with_fake_store (&s);
  caller_connect (&s.f, &caller);
  request_ticket (&s, &caller, ticket);
  send_order_with_header (&caller, "x-ticket", ticket);
  endpoint_accept_call (&s.f, s.listener, &service);
  connection_close (&service);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "outcome_unknown"));
  connection_clear_received_text (&caller);
  send_order_with_header (&caller, "x-ticket", ticket);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "outcome_unknown"));
  expect_no_call_at_the_endpoint (&s);
  connection_close (&caller);
  fixture_clear (&s.f);
}

/* The ticket names an instance that no longer exists, so nothing records whether the call has run.
 */
Test (tickets, call_with_the_ticket_of_a_dead_instance_is_outcome_unknown)
{
  Setup s;
  TestConnection caller;

  setup_init_with_fake_store (&s);
  caller_connect (&s.f, &caller);
  send_order_with_header (&caller, "x-ticket", "i9.b2.0000000000000001");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "outcome_unknown"));
  cr_assert (strstr (caller.text, "\"not_run\":false"));
  expect_no_call_at_the_endpoint (&s);
  connection_close (&caller);
  fixture_clear (&s.f);
}

static void
free_member_list (LnMessage *message)
{
  free (((LnMembersMessage *)message)->members);
}

static void
post_member_list_with_one_instance (Setup *s,
                                    const char *name,
                                    const char *incarnation,
                                    const char *address)
{
  LnMembersMessage message = { .base = LN_MESSAGE (LN_MEMBERS), .n_members = 1 };

  message.base.clear = free_member_list;
  message.members = LB_NEW_ARRAY (LnMember, 1);
  LB_COPY (message.members[0].name, name);
  LB_COPY (message.members[0].incarnation, incarnation);
  LB_COPY (message.members[0].caller_address, address);
  message.members[0].alive = true;
  LN_POST (s->f.context.hub, NULL, message);
  fixture_run_event_loop_once (&s->f);
}

/* The caller uses its ticket at another instance. Only the instance named in the ticket may run
 * the call, so the call is relayed to that instance once, with the caller's address in a header. */
Test (tickets, call_with_the_ticket_of_another_instance_is_relayed)
{
  Setup s;
  TestConnection caller, other;
  LbName address;

  setup_init_with_fake_store (&s);
  int instance = fixture_open_listener (address);
  post_member_list_with_one_instance (&s, "i2", "b1", address);
  caller_connect (&s.f, &caller);
  send_order_with_header (&caller, "x-ticket", "i2.b1.0000000000000001");
  endpoint_accept_call (&s.f, instance, &other);
  cr_assert (strstr (other.text, "POST /services/s/order"));
  cr_assert (strstr (other.text, "x-ticket: i2.b1.0000000000000001"));
  cr_assert (strstr (other.text, "x-caller: 127.0.0.1"));
  cr_assert (strstr (other.text, "x-relayed-by: i1"));
  service_send_reply (&other, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "order 7"));
  expect_no_call_at_the_endpoint (&s);
  connection_close (&other);
  connection_close (&caller);
  fixture_clear (&s.f);
}

/* A call that another instance has relayed must not be relayed again: two instances that each
 * assume that the other one issued the ticket would relay it back and forth. */
Test (tickets, relayed_call_is_not_relayed_again)
{
  Setup s;
  TestConnection caller;
  LbName address;

  setup_init_with_fake_store (&s);
  fixture_open_listener (address);
  post_member_list_with_one_instance (&s, "i2", "b1", address);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/services/s/order",
                    "x-relayed-by: i3\r\nx-ticket: i2.b1.0000000000000001\r\n", "tea");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "outcome_unknown"));
  connection_close (&caller);
  fixture_clear (&s.f);
}

Test (tickets, retry_with_the_idempotency_key_gets_the_stored_answer)
{
  Setup s;
  TestConnection caller, service;

  setup_init_with_fake_store (&s);
  caller_connect (&s.f, &caller);
  send_order_with_header (&caller, "idempotency-key", "k1");
  endpoint_accept_call (&s.f, s.listener, &service);
  service_send_reply (&service, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "order 7"));
  connection_clear_received_text (&caller);
  connection_close (&service);
  send_order_with_header (&caller, "idempotency-key", "k1");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "order 7"));
  expect_no_call_at_the_endpoint (&s);
  cr_assert_eq (s.store.n_transactions, 2);
  connection_close (&caller);
  fixture_clear (&s.f);
}

/* While the store is unavailable no instance can know whether another one has claimed the key.
 * The call is refused before it is sent anywhere, so the error is "not run". */
Test (tickets, call_with_a_key_is_not_run_while_the_store_is_unavailable)
{
  Setup s;
  TestConnection caller;

  setup_init_with_fake_store (&s);
  s.store.transact_error = LB_ERROR_STORE_AWAY;
  caller_connect (&s.f, &caller);
  send_order_with_header (&caller, "idempotency-key", "k1");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "store_away"));
  cr_assert (strstr (caller.text, "x-not-run: 1"));
  expect_no_call_at_the_endpoint (&s);
  connection_close (&caller);
  fixture_clear (&s.f);
}

/* The store writes the row that claims a key, but its reply is lost. Reading the row back shows
 * that this instance holds the key, and the call runs. */
Test (tickets, claimed_row_is_read_back_when_the_stores_reply_is_lost)
{
  Setup s;
  TestConnection caller, service;

  setup_init_with_fake_store (&s);
  s.store.transact_error = LB_ERROR_STORE_UNKNOWN;
  s.store.apply_on_error = true;
  caller_connect (&s.f, &caller);
  send_order_with_header (&caller, "idempotency-key", "k1");
  endpoint_accept_call (&s.f, s.listener, &service);
  service_send_reply (&service, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "order 7"));
  connection_close (&service);
  connection_close (&caller);
  fixture_clear (&s.f);
}

/* The row that claims a key is written, the reply is lost, and the store becomes unavailable
 * before the row can be read back. The error is "not run", since no call was sent. When the
 * store is available again, a retry with the key runs the call for the first time, under the
 * ticket in the row. */
Test (tickets, call_whose_claim_cannot_be_read_back_is_not_run)
{
  Setup s;
  TestConnection caller, service;

  setup_init_with_fake_store (&s);
  s.store.transact_error = LB_ERROR_STORE_UNKNOWN;
  s.store.get_error = LB_ERROR_STORE_AWAY;
  s.store.apply_on_error = true;
  caller_connect (&s.f, &caller);
  send_order_with_header (&caller, "idempotency-key", "k1");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "x-not-run: 1"));
  expect_no_call_at_the_endpoint (&s);
  connection_clear_received_text (&caller);
  s.store.transact_error = LB_OK;
  s.store.get_error = LB_OK;
  send_order_with_header (&caller, "idempotency-key", "k1");
  endpoint_accept_call (&s.f, s.listener, &service);
  service_send_reply (&service, "order 7");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "order 7"));
  connection_close (&service);
  connection_close (&caller);
  fixture_clear (&s.f);
}
