#include "node-fixture.h"

#define BODY(extra) "{\"model\":\"p\",\"prompt\":\"hello\",\"max_tokens\":2" extra "}"
#define STREAM BODY (",\"stream\":true")

typedef struct
{
  Fixture f;
  int listener[2];
  LbName address[2];
} Setup;

static void
setup_init (Setup *s, int n_engines)
{
  const char *addresses[3] = { NULL };

  fixture_init (&s->f);
  for (int i = 0; i < n_engines; i++)
    {
      s->listener[i] = fixture_listen (s->address[i]);
      addresses[i] = s->address[i];
    }
  fixture_start (&s->f);
  fixture_configure (&s->f, addresses, NULL);
}

static void
setup_clear (Setup *s)
{
  fixture_clear (&s->f);
}

/* The engine that was chosen among two. */
static int
accept_any (Setup *s, Peer *peer, char id[96])
{
  Peer tries[2] = { 0 };
  int chosen = -1;

  FIXTURE_WAIT_UNTIL (&s->f, (chosen = endpoint_try_accept (s->listener[0], &tries[0])   ? 0
                                       : endpoint_try_accept (s->listener[1], &tries[1]) ? 1
                                                                                         : -1)
                                 >= 0);
  *peer = tries[chosen];
  FIXTURE_WAIT_UNTIL (&s->f, peer_has (peer, "\"request_id\":\""));
  sscanf (strstr (peer->text, "\"request_id\":\"") + 14, "%95[^\"]", id);
  return chosen;
}

Test (calls, stream_is_passed_on_under_the_callers_id)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "", STREAM);
  endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
  endpoint_send_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, " one"));
  cr_assert_not (strstr (caller.text, id));
  cr_assert_not (strstr (caller.text, "[DONE]"));
  endpoint_send_token (&engine, id, 1, " two", true);
  endpoint_send_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "data: [DONE]"));
  cr_assert (strstr (caller.text, "x-endpoint: e0"));
  cr_assert (strstr (caller.text, " two"));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* A caller of an old client library would read the framing of chunks as a part of its answer. */
Test (calls, stream_to_http_1_0_has_no_chunks)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  char *text = lb_asprintf ("POST /v1/completions HTTP/1.0\r\nContent-Length: %zu\r\n\r\n%s",
                            strlen (STREAM), STREAM);
  peer_send (&caller, text);
  free (text);
  endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
  endpoint_send_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", true);
  endpoint_send_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, peer_is_closed (&caller));
  cr_assert_not (strstr (caller.text, "chunked"), "%s", caller.text);
  cr_assert_not (strstr (caller.text, "Content-Length"), "%s", caller.text);
  cr_assert (strstr (caller.text, "\r\n\r\ndata: {"), "%s", caller.text);
  cr_assert_str_eq (caller.text + caller.length - strlen ("data: [DONE]\n\n"), "data: [DONE]\n\n");
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

Test (calls, whole_reply_has_text_usage_and_versions)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "", BODY (""));
  endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
  endpoint_send_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  endpoint_send_token (&engine, id, 1, " two", true);
  endpoint_send_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "completion_tokens"));
  cr_assert (strstr (caller.text, "\"text\":\" one two\""), "%s", caller.text);
  cr_assert (strstr (caller.text, "x-weight-versions: 40"));
  cr_assert (strstr (caller.text, "\"completion_tokens\":2"));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* A shopper closes the page while the answer streams. The engine would go on to make tokens that
 * nobody reads; closing the connection to it cancels them. */
Test (calls, caller_gone_cancels_the_engines_stream)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "", STREAM);
  endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
  endpoint_send_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, " one"));
  peer_close (&caller);
  FIXTURE_WAIT_UNTIL (&s.f, peer_is_closed (&engine));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  peer_close (&engine);
  setup_clear (&s);
}

/* The caller goes away in the same turn of the loop in which its answer ends, so the message that
 * it has gone is on its way while the exchange is answered. The memory must outlive both. */
Test (calls, caller_gone_as_the_answer_ends)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init (&s, 1);
  for (int i = 0; i < 20; i++)
    {
      caller_open (&s.f, &caller);
      caller_post (&caller, "/v1/completions", "", i % 2 ? STREAM : BODY (""));
      endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
      endpoint_send_head (&engine);
      endpoint_send_token (&engine, id, 0, " one", true);
      endpoint_send_end (&engine);
      peer_close (&caller);
      FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
      peer_close (&engine);
    }
  setup_clear (&s);
}

/* An engine, or something before it, mixes two streams up: the caller would read another caller's
 * answer. An event with another id ends the attempt, and the text in it reaches nobody. */
Test (calls, event_of_another_request_reaches_nobody)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", STREAM);
  endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
  endpoint_send_head (&engine);
  endpoint_send_token (&engine, "other-1.1", 0, " secret", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "error"));
  cr_assert_not (strstr (caller.text, "secret"));
  cr_assert (strstr (caller.text, "outcome_unknown"), "%s", caller.text);
  FIXTURE_WAIT_UNTIL (&s.f, peer_is_closed (&engine));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* An engine sends an event whose id is null. That took the instance down with every stream on it,
 * as the id was compared as if it were a text; it is an event of no request of ours. */
Test (calls, event_without_a_textual_id_ends_the_attempt)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", STREAM);
  endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
  endpoint_send_head (&engine);
  endpoint_send_chunk (&engine,
                       "data: {\"id\":null,\"choices\":[{\"index\":0,\"text\":\"x\"}]}\n\n");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "outcome_unknown"));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* Likewise a refusal whose error has a null for a type: it proves nothing about the start. */
Test (calls, refusal_without_a_textual_type_is_no_proof)
{
  Setup s;
  Peer caller, engine;
  char id[96];
  static const char body[] = "{\"error\":{\"type\":null}}";

  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", BODY (""));
  accept_any (&s, &engine, id);
  char *reply
      = lb_asprintf ("HTTP/1.1 503 Busy\r\nContent-Length: %zu\r\n\r\n%s", sizeof body - 1, body);
  peer_send (&engine, reply);
  free (reply);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "endpoint_failed"));
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "\"not_run\":false"));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* The connection to the engine goes silent for good in mid-answer: something between the two ends
 * lost track of it, and no end of the stream will ever come. After stream_silence_ms with not even
 * a keep-alive the attempt counts as broken, and the answer is resumed on a new connection where it
 * stopped, so the caller gets the whole of it. */
Test (calls, silent_stream_is_resumed_where_it_stopped)
{
  Setup s;
  Peer caller, engine, again;
  char id[96];

  fixture_init (&s.f);
  s.f.settings.calls.stream_silence_ms = 1000;
  s.f.settings.calls.retry_budget = 1;
  s.listener[0] = fixture_listen (s.address[0]);
  s.listener[1] = fixture_listen (s.address[1]);
  fixture_start (&s.f);
  fixture_configure (&s.f, (const char *[]){ s.address[0], s.address[1], NULL }, NULL);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "", STREAM);
  accept_any (&s, &engine, id);
  endpoint_send_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, " one"));
  accept_any (&s, &again, id);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&again, "\"offset\":1"));
  cr_assert (strstr (again.text, "\"text\":\" one\""), "%s", again.text);
  endpoint_send_head (&again);
  endpoint_send_token (&again, id, 1, " two", true);
  endpoint_send_end (&again);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "data: [DONE]"));
  cr_assert (strstr (caller.text, " two"));
  peer_close (&engine);
  peer_close (&again);
  peer_close (&caller);
  setup_clear (&s);
}

/* A stream that ends without its end marker is not whole: the caller must not take half an answer
 * for the whole one. */
Test (calls, stream_without_end_marker_is_not_whole)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", STREAM);
  endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
  endpoint_send_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  peer_send (&engine, "0\r\n\r\n");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "\"error\""));
  cr_assert_not (strstr (caller.text, "[DONE]"));
  cr_assert (strstr (caller.text, "\"not_run\":false"));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* Nothing listens at the endpoint's address any more. No byte left, so "not run" is true, even for
 * a call that may not be repeated. */
Test (calls, refused_connection_is_not_run)
{
  Setup s;
  Peer caller;

  setup_init (&s, 1);
  close (s.listener[0]);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\nx-deadline-ms: 1000\r\n",
               BODY (""));
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "not_run"));
  cr_assert (strstr (caller.text, "\"not_run\":true"), "%s", caller.text);
  cr_assert (strstr (caller.text, "x-not-run: 1"));
  peer_close (&caller);
  setup_clear (&s);
}

/* The engine takes the request and dies before it answers: it may have run. The caller of a call
 * that may not be repeated hears "outcome unknown", and no other engine sees the call. */
Test (calls, broken_after_handing_is_outcome_unknown)
{
  Setup s;
  Peer caller, engine;
  Peer other = { 0 };
  char id[96];

  setup_init (&s, 2);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", BODY (""));
  int chosen = accept_any (&s, &engine, id);
  peer_close (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "outcome_unknown"));
  cr_assert (strstr (caller.text, "\"not_run\":false"), "%s", caller.text);
  cr_assert_not (strstr (caller.text, "x-not-run"));
  cr_assert_not (endpoint_try_accept (s.listener[1 - chosen], &other));
  peer_close (&caller);
  setup_clear (&s);
}

/* An engine's own refusal before the start is a proof: even a call that may not be repeated goes
 * on to the next engine. */
Test (calls, engines_refusal_lets_another_run_it)
{
  Setup s;
  Peer caller, engine, next;
  char id[96];
  static const char body[] = "{\"error\":{\"type\":\"not_started\"}}";

  setup_init (&s, 2);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", BODY (""));
  accept_any (&s, &engine, id);
  char *reply
      = lb_asprintf ("HTTP/1.1 503 Busy\r\nContent-Length: %zu\r\n\r\n%s", sizeof body - 1, body);
  peer_send (&engine, reply);
  free (reply);
  accept_any (&s, &next, id);
  endpoint_send_head (&next);
  endpoint_send_token (&next, id, 0, " one", true);
  endpoint_send_end (&next);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "\"text\":\" one\""));
  peer_close (&engine);
  peer_close (&next);
  peer_close (&caller);
  setup_clear (&s);
}

static void
answer_one_token (Setup *s, Peer *engine, const char *id, const char *text)
{
  endpoint_send_head (engine);
  endpoint_send_token (engine, id, 0, text, true);
  endpoint_send_end (engine);
  FIXTURE_WAIT_UNTIL (&s->f, peer_read (engine));
}

/* Connections that are kept for reuse have gone silent while they were idle, all at once, since
 * something between the two ends lost track of them. The next request is swallowed, and each retry
 * would be if it took another kept one. The first silence drops all kept connections to that
 * address, so the retry opens a new one, which works. */
Test (calls, silent_kept_connections_are_replaced)
{
  Setup s;
  Peer caller, other, kept[2], fresh;
  char id[96];

  fixture_init (&s.f);
  s.f.settings.calls.stream_silence_ms = 1000;
  s.f.settings.calls.retry_budget = 1;
  s.listener[0] = fixture_listen (s.address[0]);
  fixture_start (&s.f);
  fixture_configure (&s.f, (const char *[]){ s.address[0], NULL }, NULL);
  caller_open (&s.f, &caller);
  caller_open (&s.f, &other);
  caller_post (&caller, "/v1/completions", "", BODY (""));
  endpoint_accept_stream (&s.f, s.listener[0], &kept[0], id);
  caller_post (&other, "/v1/completions", "", BODY (""));
  char second[96];
  endpoint_accept_stream (&s.f, s.listener[0], &kept[1], second);
  answer_one_token (&s, &kept[0], id, " one");
  answer_one_token (&s, &kept[1], second, " one");
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  peer_clear_text (&caller);
  peer_clear_text (&kept[0]);
  peer_clear_text (&kept[1]);

  caller_post (&caller, "/v1/completions", "", BODY (""));
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&kept[0], "POST /v1") || peer_has (&kept[1], "POST /v1"));
  endpoint_accept_stream (&s.f, s.listener[0], &fresh, id);
  answer_one_token (&s, &fresh, id, " two");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "\"text\":\" two\""));
  FIXTURE_WAIT_UNTIL (&s.f, peer_is_closed (&kept[0]) && peer_is_closed (&kept[1]));
  cr_assert_not (strstr (kept[0].text, "POST") && strstr (kept[1].text, "POST"));
  peer_close (&kept[0]);
  peer_close (&kept[1]);
  peer_close (&fresh);
  peer_close (&caller);
  peer_close (&other);
  setup_clear (&s);
}

static void
clear_members (LnMessage *message)
{
  free (((LnMembersMessage *)message)->members);
}

/* This instance, one that lives, one that is suspected and one that drains. */
static void
post_members (Setup *s)
{
  LnMembersMessage message = { .base = LN_MESSAGE (LN_MEMBERS), .n_members = 4 };

  message.base.clear = clear_members;
  message.members = LB_NEW_ARRAY (LnMember, 4);
  for (int i = 0; i < 4; i++)
    {
      snprintf (message.members[i].caller_address, sizeof message.members[i].caller_address,
                "10.0.0.%d:80", i + 1);
      message.members[i].is_self = i == 0;
      message.members[i].alive = i != 2;
      message.members[i].draining = i == 3;
    }
  LN_POST (s->f.context.hub, NULL, message);
  fixture_run_loop_once (&s->f);
}

/* The instance is told to shut down while an answer streams. The stream goes on to its end, new
 * calls are refused "not run", and only then is nothing left in progress. */
Test (calls, drain_cuts_no_stream)
{
  Setup s;
  Peer caller, late, engine;
  char id[96];

  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "", STREAM);
  endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
  endpoint_send_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, " one"));
  post_members (&s);
  ln_hub_drain (s.f.context.hub);
  caller_open (&s.f, &late);
  caller_post (&late, "/v1/completions", "", BODY (""));
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&late, "draining"));
  cr_assert (strstr (late.text, "x-not-run: 1"));
  cr_assert (strstr (late.text, "x-entry-stale: 1"));
  cr_assert (strstr (late.text, "x-entry: 10.0.0.2:80\r\n"), "%s", late.text);
  FIXTURE_WAIT_UNTIL (&s.f, peer_is_closed (&late));
  cr_assert_not (ln_hub_is_idle (s.f.context.hub));
  endpoint_send_token (&engine, id, 1, " two", true);
  endpoint_send_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, "data: [DONE]"));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  peer_close (&engine);
  peer_close (&caller);
  peer_close (&late);
  setup_clear (&s);
}

/* Sends as much as the socket takes. */
static bool
send_some (Peer *peer, const char *text, size_t length, size_t *sent)
{
  ssize_t n = send (peer->fd, text + *sent, length - *sent, 0);

  if (n > 0)
    *sent += (size_t)n;
  return *sent == length;
}

/* A caller stops reading in the middle of its answer but keeps the connection. What the engine goes
 * on to send would pile up in the daemon until its memory is used up. Over a bound the caller
 * counts as gone, and the engine's stream is cancelled. */
Test (calls, caller_that_stops_reading_is_given_up)
{
  Setup s;
  Peer caller, engine;
  char id[96];
  const int text_length = 400000;
  char *text = lb_malloc ((size_t)text_length + 1);
  int offset = 0;

  memset (text, 'a', (size_t)text_length);
  text[text_length] = '\0';
  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "", STREAM);
  endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
  endpoint_send_head (&engine);
  while (!engine.closed && offset < 200)
    {
      char *event = lb_asprintf ("data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"text\":\"%s\","
                                 "\"finish_reason\":null}],\"offset\":%d,\"tokens\":1,"
                                 "\"weight_version\":40}\n\n",
                                 id, text, offset++);
      char *chunk = lb_asprintf ("%zx\r\n%s\r\n", strlen (event), event);
      size_t sent = 0;
      FIXTURE_WAIT_UNTIL (&s.f, send_some (&engine, chunk, strlen (chunk), &sent)
                                    || peer_is_closed (&engine));
      free (event);
      free (chunk);
    }
  cr_assert (engine.closed, "the engine's stream went on after %d MB", offset * text_length >> 20);
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  free (text);
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* The engine is slow but says that it lives. So does the daemon to its own caller, who can tell the
 * slow answer from a connection that has gone silent. */
Test (calls, slow_stream_is_kept_alive)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init (&s, 1);
  caller_open (&s.f, &caller);
  caller_post (&caller, "/v1/completions", "", STREAM);
  endpoint_accept_stream (&s.f, s.listener[0], &engine, id);
  endpoint_send_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, " one"));
  FIXTURE_WAIT_UNTIL (&s.f, peer_has (&caller, ": keep-alive"));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* A service crashes in the middle of a reply that states no length. What came looks like a reply;
 * the caller must not take it for the whole of it. */
Test (calls, reply_without_a_stated_end_is_not_whole)
{
  Fixture f;
  Peer caller, service;
  LbName address;

  fixture_init (&f);
  int listener = fixture_listen (address);
  fixture_start (&f);
  fixture_configure (&f, NULL, (const char *[]){ address, NULL });
  caller_open (&f, &caller);
  caller_post (&caller, "/services/s/orders", "", "a=b");
  endpoint_accept (&f, listener, &service);
  peer_send (&service, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an or");
  peer_close (&service);
  FIXTURE_WAIT_UNTIL (&f, peer_has (&caller, "outcome_unknown"));
  cr_assert_not (strstr (caller.text, "half"));
  peer_close (&caller);
  fixture_clear (&f);
}

Test (calls, service_call_passes_through)
{
  Fixture f;
  Peer caller, service;
  LbName address;

  fixture_init (&f);
  int listener = fixture_listen (address);
  fixture_start (&f);
  fixture_configure (&f, NULL, (const char *[]){ address, NULL });
  caller_open (&f, &caller);
  caller_post (&caller, "/services/s/orders?shop=4",
               "x-shop: saigon\r\nContent-Type: application/x-www-form-urlencoded\r\n", "a=b");
  endpoint_accept (&f, listener, &service);
  FIXTURE_WAIT_UNTIL (&f, peer_has (&service, "a=b"));
  cr_assert (strstr (service.text, "POST /orders?shop=4 HTTP/1.1"), "%s", service.text);
  cr_assert (strstr (service.text, "x-shop: saigon"));
  peer_send (&service, "HTTP/1.1 418 Teapot\r\nx-kind: short\r\nContent-Length: 5\r\n\r\nstout");
  FIXTURE_WAIT_UNTIL (&f, peer_has (&caller, "stout"));
  cr_assert (strstr (caller.text, " 418 "));
  cr_assert (strstr (caller.text, "x-kind: short"));
  peer_close (&service);
  peer_close (&caller);
  fixture_clear (&f);
}
