#include "node-fixture.h"

#define COMPLETION_BODY(extra) "{\"model\":\"p\",\"prompt\":\"hello\",\"max_tokens\":2" extra "}"
#define STREAM_BODY COMPLETION_BODY (",\"stream\":true")

typedef struct
{
  Fixture f;
  int listener[2];
  LbName address[2];
} Setup;

static void
setup_init_with_engines (Setup *s, int n_engines)
{
  const char *addresses[3] = { NULL };

  fixture_init (&s->f);
  for (int i = 0; i < n_engines; i++)
    {
      s->listener[i] = fixture_open_listener (s->address[i]);
      addresses[i] = s->address[i];
    }
  fixture_start_tasks (&s->f);
  fixture_configure (&s->f, addresses, NULL);
}

static void
setup_clear (Setup *s)
{
  fixture_clear (&s->f);
}

/* Accepts the call at the engine that the daemon chose, and reads the attempt's id. Returns the
 * index of the engine. */
static int
accept_call_at_chosen_engine (Setup *s, Peer *peer, char id[96])
{
  Peer candidates[2] = { 0 };
  int chosen = -1;

  FIXTURE_WAIT_UNTIL (&s->f,
                      (chosen = endpoint_try_accept_call (s->listener[0], &candidates[0])   ? 0
                                : endpoint_try_accept_call (s->listener[1], &candidates[1]) ? 1
                                                                                            : -1)
                          >= 0);
  *peer = candidates[chosen];
  FIXTURE_WAIT_UNTIL (&s->f, peer_has_received (peer, "\"request_id\":\""));
  sscanf (strstr (peer->text, "\"request_id\":\"") + 14, "%95[^\"]", id);
  return chosen;
}

Test (calls, stream_is_forwarded_without_the_attempts_id)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, " one"));
  cr_assert_not (strstr (caller.text, id));
  cr_assert_not (strstr (caller.text, "[DONE]"));
  endpoint_send_token (&engine, id, 1, " two", true);
  endpoint_send_stream_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "data: [DONE]"));
  cr_assert (strstr (caller.text, "x-endpoint: e0"));
  cr_assert (strstr (caller.text, " two"));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* A caller with HTTP/1.0 would read the chunk headers as part of the answer. */
Test (calls, stream_to_an_http_1_0_caller_is_not_chunked)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  char *text = lb_asprintf ("POST /v1/completions HTTP/1.0\r\nContent-Length: %zu\r\n\r\n%s",
                            strlen (STREAM_BODY), STREAM_BODY);
  peer_send (&caller, text);
  free (text);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", true);
  endpoint_send_stream_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, peer_is_closed (&caller));
  cr_assert_not (strstr (caller.text, "chunked"), "%s", caller.text);
  cr_assert_not (strstr (caller.text, "Content-Length"), "%s", caller.text);
  cr_assert (strstr (caller.text, "\r\n\r\ndata: {"), "%s", caller.text);
  cr_assert_str_eq (caller.text + caller.length - strlen ("data: [DONE]\n\n"), "data: [DONE]\n\n");
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

Test (calls, buffered_reply_has_text_usage_and_versions)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", COMPLETION_BODY (""));
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  endpoint_send_token (&engine, id, 1, " two", true);
  endpoint_send_stream_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "completion_tokens"));
  cr_assert (strstr (caller.text, "\"text\":\" one two\""), "%s", caller.text);
  cr_assert (strstr (caller.text, "x-weight-versions: 40"));
  cr_assert (strstr (caller.text, "\"completion_tokens\":2"));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* The caller disconnects while its answer streams. The connection to the engine must be closed, or
 * the engine would generate more tokens that nobody reads. */
Test (calls, caller_disconnect_cancels_the_engines_stream)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, " one"));
  peer_close (&caller);
  FIXTURE_WAIT_UNTIL (&s.f, peer_is_closed (&engine));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  peer_close (&engine);
  setup_clear (&s);
}

/* The caller disconnects in the loop iteration in which its answer ends, so LN_CALLER_DISCONNECTED
 * is queued while the exchange is replied to. The exchange must not be freed before the queued
 * message is handled. */
Test (calls, caller_disconnect_while_the_answer_ends_does_not_crash)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  for (int i = 0; i < 20; i++)
    {
      caller_connect (&s.f, &caller);
      caller_send_post (&caller, "/v1/completions", "", i % 2 ? STREAM_BODY : COMPLETION_BODY (""));
      endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
      endpoint_send_stream_head (&engine);
      endpoint_send_token (&engine, id, 0, " one", true);
      endpoint_send_stream_end (&engine);
      peer_close (&caller);
      FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
      peer_close (&engine);
    }
  setup_clear (&s);
}

/* An engine or a proxy mixes up two streams, so a caller would read another caller's answer. An
 * event with the id of another attempt ends the attempt, and the text of the event is dropped. */
Test (calls, event_with_another_requests_id_is_dropped)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, "other-1.1", 0, " secret", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "error"));
  cr_assert_not (strstr (caller.text, "secret"));
  cr_assert (strstr (caller.text, "outcome_unknown"), "%s", caller.text);
  FIXTURE_WAIT_UNTIL (&s.f, peer_is_closed (&engine));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* An engine sends an event whose id is null. Comparing the null id as a string crashed the instance
 * with all its streams. */
Test (calls, event_with_a_null_id_ends_the_attempt)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_chunk (&engine,
                       "data: {\"id\":null,\"choices\":[{\"index\":0,\"text\":\"x\"}]}\n\n");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "outcome_unknown"));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* An engine replies with an error whose type is null. That is not a refusal, so it does not prove
 * that the call did not start. */
Test (calls, error_reply_with_a_null_type_may_have_run)
{
  Setup s;
  Peer caller, engine;
  char id[96];
  static const char body[] = "{\"error\":{\"type\":null}}";

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", COMPLETION_BODY (""));
  accept_call_at_chosen_engine (&s, &engine, id);
  char *reply
      = lb_asprintf ("HTTP/1.1 503 Busy\r\nContent-Length: %zu\r\n\r\n%s", sizeof body - 1, body);
  peer_send (&engine, reply);
  free (reply);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "endpoint_failed"));
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "\"not_run\":false"));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* A middlebox drops the state of the connection to the engine in the middle of the answer, so
 * nothing more arrives. After stream_silence_ms without even a keep-alive, the attempt counts as
 * broken. The stream is resumed at its last offset on a new connection, so that the caller gets the
 * complete answer. */
Test (calls, silent_stream_is_resumed_at_its_last_offset)
{
  Setup s;
  Peer caller, engine, resumed;
  char id[96];

  fixture_init (&s.f);
  s.f.settings.calls.stream_silence_ms = 1000;
  s.f.settings.calls.retry_budget = 1;
  s.listener[0] = fixture_open_listener (s.address[0]);
  s.listener[1] = fixture_open_listener (s.address[1]);
  fixture_start_tasks (&s.f);
  fixture_configure (&s.f, (const char *[]){ s.address[0], s.address[1], NULL }, NULL);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  accept_call_at_chosen_engine (&s, &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, " one"));
  accept_call_at_chosen_engine (&s, &resumed, id);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&resumed, "\"offset\":1"));
  cr_assert (strstr (resumed.text, "\"text\":\" one\""), "%s", resumed.text);
  endpoint_send_stream_head (&resumed);
  endpoint_send_token (&resumed, id, 1, " two", true);
  endpoint_send_stream_end (&resumed);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "data: [DONE]"));
  cr_assert (strstr (caller.text, " two"));
  peer_close (&engine);
  peer_close (&resumed);
  peer_close (&caller);
  setup_clear (&s);
}

/* A stream ends without its end marker. The caller must not take the partial answer for a complete
 * one. */
Test (calls, stream_without_end_marker_is_an_error)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  peer_send (&engine, "0\r\n\r\n");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "\"error\""));
  cr_assert_not (strstr (caller.text, "[DONE]"));
  cr_assert (strstr (caller.text, "\"not_run\":false"));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* Nothing listens at the endpoint's address. No byte was sent, so the error is "not run", even for
 * a call that is not repeatable. */
Test (calls, refused_connection_is_reported_as_not_run)
{
  Setup s;
  Peer caller;

  setup_init_with_engines (&s, 1);
  close (s.listener[0]);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\nx-deadline-ms: 1000\r\n",
                    COMPLETION_BODY (""));
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "not_run"));
  cr_assert (strstr (caller.text, "\"not_run\":true"), "%s", caller.text);
  cr_assert (strstr (caller.text, "x-not-run: 1"));
  peer_close (&caller);
  setup_clear (&s);
}

/* The engine receives the request and closes the connection before it answers, so the call may have
 * run. A call that is not repeatable gets "outcome unknown" and is not sent to another engine. */
Test (calls, connection_lost_after_sending_is_reported_as_outcome_unknown)
{
  Setup s;
  Peer caller, engine;
  Peer other = { 0 };
  char id[96];

  setup_init_with_engines (&s, 2);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", COMPLETION_BODY (""));
  int chosen = accept_call_at_chosen_engine (&s, &engine, id);
  peer_close (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "outcome_unknown"));
  cr_assert (strstr (caller.text, "\"not_run\":false"), "%s", caller.text);
  cr_assert_not (strstr (caller.text, "x-not-run"));
  cr_assert_not (endpoint_try_accept_call (s.listener[1 - chosen], &other));
  peer_close (&caller);
  setup_clear (&s);
}

/* An engine's refusal proves that the call did not start, so that even a call that is not
 * repeatable is sent to another engine. */
Test (calls, refused_call_is_sent_to_another_engine)
{
  Setup s;
  Peer caller, engine, next;
  char id[96];
  static const char body[] = "{\"error\":{\"type\":\"not_started\"}}";

  setup_init_with_engines (&s, 2);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", COMPLETION_BODY (""));
  accept_call_at_chosen_engine (&s, &engine, id);
  char *reply
      = lb_asprintf ("HTTP/1.1 503 Busy\r\nContent-Length: %zu\r\n\r\n%s", sizeof body - 1, body);
  peer_send (&engine, reply);
  free (reply);
  accept_call_at_chosen_engine (&s, &next, id);
  endpoint_send_stream_head (&next);
  endpoint_send_token (&next, id, 0, " one", true);
  endpoint_send_stream_end (&next);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "\"text\":\" one\""));
  peer_close (&engine);
  peer_close (&next);
  peer_close (&caller);
  setup_clear (&s);
}

static void
reply_with_one_token (Setup *s, Peer *engine, const char *id, const char *text)
{
  endpoint_send_stream_head (engine);
  endpoint_send_token (engine, id, 0, text, true);
  endpoint_send_stream_end (engine);
  FIXTURE_WAIT_UNTIL (&s->f, peer_read (engine));
}

/* A middlebox dropped the state of all idle connections to an endpoint, so requests on them get
 * lost. The first timeout must close all idle connections to the endpoint's address. The retry then
 * opens a new connection, which works. */
Test (calls, timeout_closes_all_idle_connections_to_the_address)
{
  Setup s;
  Peer caller, other, idle[2], fresh;
  char id[96];

  fixture_init (&s.f);
  s.f.settings.calls.stream_silence_ms = 1000;
  s.f.settings.calls.retry_budget = 1;
  s.listener[0] = fixture_open_listener (s.address[0]);
  fixture_start_tasks (&s.f);
  fixture_configure (&s.f, (const char *[]){ s.address[0], NULL }, NULL);
  caller_connect (&s.f, &caller);
  caller_connect (&s.f, &other);
  caller_send_post (&caller, "/v1/completions", "", COMPLETION_BODY (""));
  endpoint_accept_stream_call (&s.f, s.listener[0], &idle[0], id);
  caller_send_post (&other, "/v1/completions", "", COMPLETION_BODY (""));
  char second[96];
  endpoint_accept_stream_call (&s.f, s.listener[0], &idle[1], second);
  reply_with_one_token (&s, &idle[0], id, " one");
  reply_with_one_token (&s, &idle[1], second, " one");
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  peer_clear_text (&caller);
  peer_clear_text (&idle[0]);
  peer_clear_text (&idle[1]);

  caller_send_post (&caller, "/v1/completions", "", COMPLETION_BODY (""));
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&idle[0], "POST /v1")
                                || peer_has_received (&idle[1], "POST /v1"));
  endpoint_accept_stream_call (&s.f, s.listener[0], &fresh, id);
  reply_with_one_token (&s, &fresh, id, " two");
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "\"text\":\" two\""));
  FIXTURE_WAIT_UNTIL (&s.f, peer_is_closed (&idle[0]) && peer_is_closed (&idle[1]));
  cr_assert_not (strstr (idle[0].text, "POST") && strstr (idle[1].text, "POST"));
  peer_close (&idle[0]);
  peer_close (&idle[1]);
  peer_close (&fresh);
  peer_close (&caller);
  peer_close (&other);
  setup_clear (&s);
}

static void
clear_members_message (LnMessage *message)
{
  free (((LnMembersMessage *)message)->members);
}

/* Posts four members: this instance, a live one, a suspected one and a draining one. */
static void
post_members_of_four_instances (Setup *s)
{
  LnMembersMessage message = { .base = LN_MESSAGE (LN_MEMBERS), .n_members = 4 };

  message.base.clear = clear_members_message;
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

/* The instance is drained while an answer streams. New calls are refused as "not run", the stream
 * runs to its end, and only then is the instance idle. */
Test (calls, drain_refuses_new_calls_and_lets_streams_finish)
{
  Setup s;
  Peer caller, late, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, " one"));
  post_members_of_four_instances (&s);
  ln_hub_drain_tasks (s.f.context.hub);
  caller_connect (&s.f, &late);
  caller_send_post (&late, "/v1/completions", "", COMPLETION_BODY (""));
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&late, "draining"));
  cr_assert (strstr (late.text, "x-not-run: 1"));
  cr_assert (strstr (late.text, "x-entry-stale: 1"));
  cr_assert (strstr (late.text, "x-entry: 10.0.0.2:80\r\n"), "%s", late.text);
  FIXTURE_WAIT_UNTIL (&s.f, peer_is_closed (&late));
  cr_assert_not (ln_hub_is_idle (s.f.context.hub));
  endpoint_send_token (&engine, id, 1, " two", true);
  endpoint_send_stream_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, "data: [DONE]"));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  peer_close (&engine);
  peer_close (&caller);
  peer_close (&late);
  setup_clear (&s);
}

/* Sends as much of the text as the socket accepts; returns true when the whole text was sent. */
static bool
send_available_bytes (Peer *peer, const char *text, size_t length, size_t *sent)
{
  ssize_t n = send (peer->fd, text + *sent, length - *sent, 0);

  if (n > 0)
    *sent += (size_t)n;
  return *sent == length;
}

/* A caller stops reading in the middle of its answer but keeps its connection open, so the engine's
 * output would fill the daemon's memory. Above a limit on unsent output, the caller counts as
 * disconnected and the engine's stream is cancelled. */
Test (calls, caller_that_stops_reading_counts_as_disconnected)
{
  Setup s;
  Peer caller, engine;
  char id[96];
  const int text_length = 400000;
  char *text = lb_malloc ((size_t)text_length + 1);
  int offset = 0;

  memset (text, 'a', (size_t)text_length);
  text[text_length] = '\0';
  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  while (!engine.closed && offset < 200)
    {
      char *event = lb_asprintf ("data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"text\":\"%s\","
                                 "\"finish_reason\":null}],\"offset\":%d,\"tokens\":1,"
                                 "\"weight_version\":40}\n\n",
                                 id, text, offset++);
      char *chunk = lb_asprintf ("%zx\r\n%s\r\n", strlen (event), event);
      size_t sent = 0;
      FIXTURE_WAIT_UNTIL (&s.f, send_available_bytes (&engine, chunk, strlen (chunk), &sent)
                                    || peer_is_closed (&engine));
      free (event);
      free (chunk);
    }
  cr_assert (engine.closed, "the engine's stream was not cancelled after %d MB",
             offset * text_length >> 20);
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  free (text);
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* The engine is slow. The daemon sends keep-alives to the caller, who can tell the slow answer from
 * a dead connection. */
Test (calls, caller_of_a_slow_stream_gets_keep_alives)
{
  Setup s;
  Peer caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, " one"));
  FIXTURE_WAIT_UNTIL (&s.f, peer_has_received (&caller, ": keep-alive"));
  peer_close (&engine);
  peer_close (&caller);
  setup_clear (&s);
}

/* A service crashes in the middle of a reply without a length. The caller must not take the part
 * that was received for the complete reply. */
Test (calls, reply_whose_body_ends_by_close_is_outcome_unknown)
{
  Fixture f;
  Peer caller, service;
  LbName address;

  fixture_init (&f);
  int listener = fixture_open_listener (address);
  fixture_start_tasks (&f);
  fixture_configure (&f, NULL, (const char *[]){ address, NULL });
  caller_connect (&f, &caller);
  caller_send_post (&caller, "/services/s/orders", "", "a=b");
  endpoint_accept_call (&f, listener, &service);
  peer_send (&service, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an or");
  peer_close (&service);
  FIXTURE_WAIT_UNTIL (&f, peer_has_received (&caller, "outcome_unknown"));
  cr_assert_not (strstr (caller.text, "half"));
  peer_close (&caller);
  fixture_clear (&f);
}

Test (calls, service_call_and_reply_are_forwarded)
{
  Fixture f;
  Peer caller, service;
  LbName address;

  fixture_init (&f);
  int listener = fixture_open_listener (address);
  fixture_start_tasks (&f);
  fixture_configure (&f, NULL, (const char *[]){ address, NULL });
  caller_connect (&f, &caller);
  caller_send_post (&caller, "/services/s/orders?shop=4",
                    "x-shop: saigon\r\nContent-Type: application/x-www-form-urlencoded\r\n", "a=b");
  endpoint_accept_call (&f, listener, &service);
  FIXTURE_WAIT_UNTIL (&f, peer_has_received (&service, "a=b"));
  cr_assert (strstr (service.text, "POST /orders?shop=4 HTTP/1.1"), "%s", service.text);
  cr_assert (strstr (service.text, "x-shop: saigon"));
  peer_send (&service, "HTTP/1.1 418 Teapot\r\nx-kind: short\r\nContent-Length: 5\r\n\r\nstout");
  FIXTURE_WAIT_UNTIL (&f, peer_has_received (&caller, "stout"));
  cr_assert (strstr (caller.text, " 418 "));
  cr_assert (strstr (caller.text, "x-kind: short"));
  peer_close (&service);
  peer_close (&caller);
  fixture_clear (&f);
}
