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

  fixture_init_settings_and_event_base (&s->f);
  for (int i = 0; i < n_engines; i++)
    {
      s->listener[i] = fixture_open_listener (s->address[i]);
      addresses[i] = s->address[i];
    }
  fixture_start_front_and_calls (&s->f);
  fixture_apply_engines_and_services (&s->f, addresses, NULL);
}

static void
setup_clear (Setup *s)
{
  fixture_clear (&s->f);
}

/* Accepts the call at the engine to which the daemon sent it and stores the request's id.
 * Returns the index of that engine. */
static int
accept_call_at_chosen_engine (Setup *s, TestConnection *connection, char id[96])
{
  TestConnection candidates[2] = { 0 };
  int chosen = -1;

  FIXTURE_WAIT_UNTIL (&s->f,
                      (chosen = endpoint_try_accept_call (s->listener[0], &candidates[0])   ? 0
                                : endpoint_try_accept_call (s->listener[1], &candidates[1]) ? 1
                                                                                            : -1)
                          >= 0);
  *connection = candidates[chosen];
  FIXTURE_WAIT_UNTIL (&s->f, connection_has_received (connection, "\"request_id\":\""));
  sscanf (strstr (connection->text, "\"request_id\":\"") + 14, "%95[^\"]", id);
  return chosen;
}

Test (calls, stream_is_forwarded_without_the_engines_request_id)
{
  Setup s;
  TestConnection caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, " one"));
  cr_assert_not (strstr (caller.text, id));
  cr_assert_not (strstr (caller.text, "[DONE]"));
  endpoint_send_token (&engine, id, 1, " two", true);
  endpoint_send_stream_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "data: [DONE]"));
  cr_assert (strstr (caller.text, "x-endpoint: e0"));
  cr_assert (strstr (caller.text, " two"));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  connection_close (&engine);
  connection_close (&caller);
  setup_clear (&s);
}

/* A caller with HTTP/1.0 would read the chunk headers as part of the answer. */
Test (calls, stream_to_an_http_1_0_caller_is_not_chunked)
{
  Setup s;
  TestConnection caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  char *text = lb_asprintf ("POST /v1/completions HTTP/1.0\r\nContent-Length: %zu\r\n\r\n%s",
                            strlen (STREAM_BODY), STREAM_BODY);
  connection_send_text (&caller, text);
  free (text);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", true);
  endpoint_send_stream_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, connection_is_closed_by_daemon (&caller));
  cr_assert_not (strstr (caller.text, "chunked"), "expected no chunked reply, got %s", caller.text);
  cr_assert_not (strstr (caller.text, "Content-Length"), "expected no Content-Length, got %s",
                 caller.text);
  cr_assert (strstr (caller.text, "\r\n\r\ndata: {"), "expected an event after the header, got %s",
             caller.text);
  cr_assert_str_eq (caller.text + caller.length - strlen ("data: [DONE]\n\n"), "data: [DONE]\n\n");
  connection_close (&engine);
  connection_close (&caller);
  setup_clear (&s);
}

Test (calls, buffered_reply_has_text_usage_and_versions)
{
  Setup s;
  TestConnection caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", COMPLETION_BODY (""));
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  endpoint_send_token (&engine, id, 1, " two", true);
  endpoint_send_stream_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "completion_tokens"));
  cr_assert (strstr (caller.text, "\"text\":\" one two\""), "expected text ' one two', got %s",
             caller.text);
  cr_assert (strstr (caller.text, "x-weight-versions: 40"));
  cr_assert (strstr (caller.text, "\"completion_tokens\":2"));
  connection_close (&engine);
  connection_close (&caller);
  setup_clear (&s);
}

/* The caller disconnects while its answer streams. The connection to the engine must be closed, or
 * the engine would generate more tokens that nobody reads. */
Test (calls, caller_disconnect_cancels_the_engines_stream)
{
  Setup s;
  TestConnection caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, " one"));
  connection_close (&caller);
  FIXTURE_WAIT_UNTIL (&s.f, connection_is_closed_by_daemon (&engine));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  connection_close (&engine);
  setup_clear (&s);
}

/* The caller disconnects in the loop iteration in which its answer ends, so the message
 * LN_CALLER_DISCONNECTED is queued while the reply is completed. The state of the call (the
 * exchange) must not be freed before that message is handled. */
Test (calls, caller_disconnect_while_the_answer_ends_does_not_crash)
{
  Setup s;
  TestConnection caller, engine;
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
      connection_close (&caller);
      FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
      connection_close (&engine);
    }
  setup_clear (&s);
}

/* An engine or a proxy mixes up two streams, so a caller would read another caller's answer. An
 * event whose id is not that of the request ends the stream, and the text of the event is
 * dropped. */
Test (calls, event_with_another_requests_id_is_dropped)
{
  Setup s;
  TestConnection caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, "other-1.1", 0, " secret", false);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "error"));
  cr_assert_not (strstr (caller.text, "secret"));
  cr_assert (strstr (caller.text, "outcome_unknown"), "expected outcome_unknown, got %s",
             caller.text);
  FIXTURE_WAIT_UNTIL (&s.f, connection_is_closed_by_daemon (&engine));
  connection_close (&engine);
  connection_close (&caller);
  setup_clear (&s);
}

/* An engine sends an event whose id is null. Comparing the null id as a string crashed the instance
 * with all its streams. */
Test (calls, event_with_a_null_id_ends_the_call_as_outcome_unknown)
{
  Setup s;
  TestConnection caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_chunk (&engine,
                       "data: {\"id\":null,\"choices\":[{\"index\":0,\"text\":\"x\"}]}\n\n");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "outcome_unknown"));
  connection_close (&engine);
  connection_close (&caller);
  setup_clear (&s);
}

/* An engine replies with an error whose type is null. That is not a refusal, so it does not prove
 * that the call did not start. */
Test (calls, call_may_have_run_after_an_error_reply_with_a_null_type)
{
  Setup s;
  TestConnection caller, engine;
  char id[96];
  static const char body[] = "{\"error\":{\"type\":null}}";

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", COMPLETION_BODY (""));
  accept_call_at_chosen_engine (&s, &engine, id);
  char *reply
      = lb_asprintf ("HTTP/1.1 503 Busy\r\nContent-Length: %zu\r\n\r\n%s", sizeof body - 1, body);
  connection_send_text (&engine, reply);
  free (reply);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "endpoint_failed"));
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "\"not_run\":false"));
  connection_close (&engine);
  connection_close (&caller);
  setup_clear (&s);
}

/* A middlebox drops the state of the connection to the engine in the middle of the answer, so
 * nothing more arrives. After stream_silence_ms without even a keep-alive, the connection counts
 * as broken. The stream is resumed at its last offset on a new connection, so that the caller
 * gets the complete answer. */
Test (calls, silent_stream_is_resumed_at_its_last_offset)
{
  Setup s;
  TestConnection caller, engine, resumed;
  char id[96];

  fixture_init_settings_and_event_base (&s.f);
  s.f.settings.calls.stream_silence_ms = 1000;
  s.f.settings.calls.retry_budget = 1;
  s.listener[0] = fixture_open_listener (s.address[0]);
  s.listener[1] = fixture_open_listener (s.address[1]);
  fixture_start_front_and_calls (&s.f);
  fixture_apply_engines_and_services (&s.f, (const char *[]){ s.address[0], s.address[1], NULL },
                                      NULL);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  accept_call_at_chosen_engine (&s, &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, " one"));
  accept_call_at_chosen_engine (&s, &resumed, id);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&resumed, "\"offset\":1"));
  cr_assert (strstr (resumed.text, "\"text\":\" one\""),
             "expected the received text ' one', got %s", resumed.text);
  endpoint_send_stream_head (&resumed);
  endpoint_send_token (&resumed, id, 1, " two", true);
  endpoint_send_stream_end (&resumed);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "data: [DONE]"));
  cr_assert (strstr (caller.text, " two"));
  connection_close (&engine);
  connection_close (&resumed);
  connection_close (&caller);
  setup_clear (&s);
}

/* A stream ends without its end marker. The caller must not take the partial answer for a complete
 * one. */
Test (calls, stream_without_end_marker_is_an_error)
{
  Setup s;
  TestConnection caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  connection_send_text (&engine, "0\r\n\r\n");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "\"error\""));
  cr_assert_not (strstr (caller.text, "[DONE]"));
  cr_assert (strstr (caller.text, "\"not_run\":false"));
  connection_close (&engine);
  connection_close (&caller);
  setup_clear (&s);
}

/* Nothing listens at the endpoint's address. No byte was sent, so the error is "not run", even for
 * a call that is not repeatable. */
Test (calls, refused_connection_is_reported_as_not_run)
{
  Setup s;
  TestConnection caller;

  setup_init_with_engines (&s, 1);
  close (s.listener[0]);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\nx-deadline-ms: 1000\r\n",
                    COMPLETION_BODY (""));
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "not_run"));
  cr_assert (strstr (caller.text, "\"not_run\":true"), "expected not_run true, got %s",
             caller.text);
  cr_assert (strstr (caller.text, "x-not-run: 1"));
  connection_close (&caller);
  setup_clear (&s);
}

/* The engine receives the request and closes the connection before it answers, so the call may have
 * run. A call that is not repeatable gets "outcome unknown" and is not sent to another engine. */
Test (calls, connection_lost_after_sending_is_reported_as_outcome_unknown)
{
  Setup s;
  TestConnection caller, engine;
  TestConnection other = { 0 };
  char id[96];

  setup_init_with_engines (&s, 2);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", COMPLETION_BODY (""));
  int chosen = accept_call_at_chosen_engine (&s, &engine, id);
  connection_close (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "outcome_unknown"));
  cr_assert (strstr (caller.text, "\"not_run\":false"), "expected not_run false, got %s",
             caller.text);
  cr_assert_not (strstr (caller.text, "x-not-run"));
  cr_assert_not (endpoint_try_accept_call (s.listener[1 - chosen], &other));
  connection_close (&caller);
  setup_clear (&s);
}

/* An engine's refusal proves that the call did not start, so that even a call that is not
 * repeatable is sent to another engine. */
Test (calls, refused_call_is_sent_to_another_engine)
{
  Setup s;
  TestConnection caller, engine, next;
  char id[96];
  static const char body[] = "{\"error\":{\"type\":\"not_started\"}}";

  setup_init_with_engines (&s, 2);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-not-repeatable: 1\r\n", COMPLETION_BODY (""));
  accept_call_at_chosen_engine (&s, &engine, id);
  char *reply
      = lb_asprintf ("HTTP/1.1 503 Busy\r\nContent-Length: %zu\r\n\r\n%s", sizeof body - 1, body);
  connection_send_text (&engine, reply);
  free (reply);
  accept_call_at_chosen_engine (&s, &next, id);
  endpoint_send_stream_head (&next);
  endpoint_send_token (&next, id, 0, " one", true);
  endpoint_send_stream_end (&next);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "\"text\":\" one\""));
  connection_close (&engine);
  connection_close (&next);
  connection_close (&caller);
  setup_clear (&s);
}

static void
reply_with_one_token (Setup *s, TestConnection *engine, const char *id, const char *text)
{
  endpoint_send_stream_head (engine);
  endpoint_send_token (engine, id, 0, text, true);
  endpoint_send_stream_end (engine);
  FIXTURE_WAIT_UNTIL (&s->f, connection_receive_available (engine));
}

/* A middlebox dropped the state of all idle connections to an endpoint, so requests on them get
 * lost. The first timeout must close all idle connections to the endpoint's address. The retry then
 * opens a new connection, which works. */
Test (calls, timeout_closes_all_idle_connections_to_the_address)
{
  Setup s;
  TestConnection caller, other, idle[2], fresh;
  char id[96];

  fixture_init_settings_and_event_base (&s.f);
  s.f.settings.calls.stream_silence_ms = 1000;
  s.f.settings.calls.retry_budget = 1;
  s.listener[0] = fixture_open_listener (s.address[0]);
  fixture_start_front_and_calls (&s.f);
  fixture_apply_engines_and_services (&s.f, (const char *[]){ s.address[0], NULL }, NULL);
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
  connection_clear_received_text (&caller);
  connection_clear_received_text (&idle[0]);
  connection_clear_received_text (&idle[1]);

  caller_send_post (&caller, "/v1/completions", "", COMPLETION_BODY (""));
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&idle[0], "POST /v1")
                                || connection_has_received (&idle[1], "POST /v1"));
  endpoint_accept_stream_call (&s.f, s.listener[0], &fresh, id);
  reply_with_one_token (&s, &fresh, id, " two");
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "\"text\":\" two\""));
  FIXTURE_WAIT_UNTIL (&s.f, connection_is_closed_by_daemon (&idle[0])
                                && connection_is_closed_by_daemon (&idle[1]));
  cr_assert_not (strstr (idle[0].text, "POST") && strstr (idle[1].text, "POST"));
  connection_close (&idle[0]);
  connection_close (&idle[1]);
  connection_close (&fresh);
  connection_close (&caller);
  connection_close (&other);
  setup_clear (&s);
}

static void
free_member_list (LnMessage *message)
{
  free (((LnMembersMessage *)message)->members);
}

/* Sends the tasks of the instance under test a list of four members: that instance itself, a live
 * one, a suspected one and a draining one. */
static void
post_members_of_four_instances (Setup *s)
{
  LnMembersMessage message = { .base = LN_MESSAGE (LN_MEMBERS), .n_members = 4 };

  message.base.clear = free_member_list;
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
  fixture_run_event_loop_once (&s->f);
}

/* The instance is drained while an answer streams. New calls are refused as "not run", the stream
 * runs to its end also after the drain time, its connection is closed, and only then is the
 * instance idle. */
Test (calls, drain_refuses_new_calls_and_lets_streams_finish)
{
  Setup s;
  TestConnection caller, late, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, " one"));
  post_members_of_four_instances (&s);
  ln_hub_drain_tasks (s.f.context.hub);
  caller_connect (&s.f, &late);
  caller_send_post (&late, "/v1/completions", "", COMPLETION_BODY (""));
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&late, "draining"));
  cr_assert (strstr (late.text, "x-not-run: 1"));
  cr_assert (strstr (late.text, "x-entry-stale: 1"));
  cr_assert (strstr (late.text, "x-entry: 10.0.0.2:80\r\n"), "expected entry 10.0.0.2:80, got %s",
             late.text);
  FIXTURE_WAIT_UNTIL (&s.f, connection_is_closed_by_daemon (&late));
  ln_hub_stop_accepting (s.f.context.hub);
  cr_assert_not (ln_hub_is_idle (s.f.context.hub));
  endpoint_send_token (&engine, id, 1, " two", true);
  endpoint_send_stream_end (&engine);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "data: [DONE]"));
  FIXTURE_WAIT_UNTIL (&s.f, connection_is_closed_by_daemon (&caller));
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  connection_close (&engine);
  connection_close (&caller);
  connection_close (&late);
  setup_clear (&s);
}

/* Sends as much of the text after its first *sent bytes as the socket accepts, and adds the
 * number of bytes sent to *sent; returns true when the whole text was sent. */
static bool
send_available_bytes (TestConnection *connection, const char *text, size_t length, size_t *sent)
{
  ssize_t n = send (connection->fd, text + *sent, length - *sent, 0);

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
  TestConnection caller, engine;
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
                                    || connection_is_closed_by_daemon (&engine));
      free (event);
      free (chunk);
    }
  cr_assert (engine.closed, "the engine's stream was not cancelled after %d MB",
             offset * text_length >> 20);
  FIXTURE_WAIT_UNTIL (&s.f, ln_hub_is_idle (s.f.context.hub));
  free (text);
  connection_close (&engine);
  connection_close (&caller);
  setup_clear (&s);
}

/* The engine is slow. The daemon sends keep-alives to the caller, who can tell the slow answer from
 * a dead connection. */
Test (calls, caller_of_a_slow_stream_gets_keep_alives)
{
  Setup s;
  TestConnection caller, engine;
  char id[96];

  setup_init_with_engines (&s, 1);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/v1/completions", "", STREAM_BODY);
  endpoint_accept_stream_call (&s.f, s.listener[0], &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", false);
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, " one"));
  FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, ": keep-alive"));
  connection_close (&engine);
  connection_close (&caller);
  setup_clear (&s);
}

/* A service crashes in the middle of a reply without a length. The caller must not take the part
 * that was received for the complete reply. */
Test (calls, reply_whose_body_ends_by_close_is_outcome_unknown)
{
  Fixture f;
  TestConnection caller, service;
  LbName address;

  fixture_init_settings_and_event_base (&f);
  int listener = fixture_open_listener (address);
  fixture_start_front_and_calls (&f);
  fixture_apply_engines_and_services (&f, NULL, (const char *[]){ address, NULL });
  caller_connect (&f, &caller);
  caller_send_post (&caller, "/services/s/orders", "", "a=b");
  endpoint_accept_call (&f, listener, &service);
  connection_send_text (&service, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an or");
  connection_close (&service);
  FIXTURE_WAIT_UNTIL (&f, connection_has_received (&caller, "outcome_unknown"));
  cr_assert_not (strstr (caller.text, "half"));
  connection_close (&caller);
  fixture_clear (&f);
}

Test (calls, service_call_and_reply_are_forwarded)
{
  Fixture f;
  TestConnection caller, service;
  LbName address;

  fixture_init_settings_and_event_base (&f);
  int listener = fixture_open_listener (address);
  fixture_start_front_and_calls (&f);
  fixture_apply_engines_and_services (&f, NULL, (const char *[]){ address, NULL });
  caller_connect (&f, &caller);
  caller_send_post (&caller, "/services/s/orders?shop=4",
                    "x-shop: saigon\r\nContent-Type: application/x-www-form-urlencoded\r\n", "a=b");
  endpoint_accept_call (&f, listener, &service);
  FIXTURE_WAIT_UNTIL (&f, connection_has_received (&service, "a=b"));
  cr_assert (strstr (service.text, "POST /orders?shop=4 HTTP/1.1"),
             "expected path /orders?shop=4, got %s", service.text);
  cr_assert (strstr (service.text, "x-shop: saigon"));
  connection_send_text (&service,
                        "HTTP/1.1 418 Teapot\r\nx-kind: short\r\nContent-Length: 5\r\n\r\nstout");
  FIXTURE_WAIT_UNTIL (&f, connection_has_received (&caller, "stout"));
  cr_assert (strstr (caller.text, " 418 "));
  cr_assert (strstr (caller.text, "x-kind: short"));
  connection_close (&service);
  connection_close (&caller);
  fixture_clear (&f);
}
