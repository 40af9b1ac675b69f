#include "node-fixture.h"

static void
read_trace_file (const char *path, char *text, size_t size)
{
  FILE *in = fopen (path, "r");

  cr_assert (in);
  text[fread (text, 1, size - 1, in)] = '\0';
  fclose (in);
}

/* The trace, which a replay runs and checks later, must contain every call. It must expect a
 * complete answer ("expect": "whole") only for the calls that completed. */
Test (recorder, trace_expects_complete_answers_only_of_completed_calls)
{
  Fixture f;
  TestConnection caller, service, engine;
  LbName addresses[2];
  char directory[] = "/tmp/lentilspindle-trace-XXXXXX";
  char text[4096], path[64], id[96];

  cr_assert (mkdtemp (directory));
  snprintf (path, sizeof path, "%s/trace.jsonl", directory);
  fixture_init_settings_and_event_base (&f);
  LB_COPY (f.settings.instance.data_centre, "quan-bay");
  LB_COPY (f.settings.record, path);
  int engine_listener = fixture_open_listener (addresses[0]);
  int service_listener = fixture_open_listener (addresses[1]);
  fixture_start_front_and_calls (&f);
  fixture_apply_engines_and_services (&f, (const char *[]){ addresses[0], NULL },
                                      (const char *[]){ addresses[1], NULL });
  caller_connect (&f, &caller);
  caller_send_post (&caller, "/v1/completions", "x-deadline-ms: 9000\r\n",
                    "{\"model\":\"p\",\"prompt\":\"a\",\"max_tokens\":7}");
  endpoint_accept_stream_call (&f, engine_listener, &engine, id);
  endpoint_send_stream_head (&engine);
  endpoint_send_token (&engine, id, 0, " one", true);
  endpoint_send_stream_end (&engine);
  FIXTURE_WAIT_UNTIL (&f, connection_has_received (&caller, " one"));
  caller_send_post (&caller, "/services/s/order", "", "tea");
  endpoint_accept_call (&f, service_listener, &service);
  connection_close (&service);
  FIXTURE_WAIT_UNTIL (&f, connection_has_received (&caller, "outcome_unknown"));
  connection_close (&engine);
  connection_close (&caller);
  fixture_clear (&f);

  read_trace_file (path, text, sizeof text);
  cr_assert (strstr (text, "\"site\": \"hoa-sen\""), "expected site hoa-sen, got %s", text);
  cr_assert (strstr (text, "\"event\": \"call\", \"call\": \"c1\", \"tokens\": 7, "
                           "\"deadline_ms\": 9000 }"),
             "expected call c1 with 7 tokens and a deadline of 9000 ms, got %s", text);
  cr_assert (strstr (text, "\"event\": \"service\", \"call\": \"c2\", \"repeatable\": false"));
  cr_assert (strstr (text, "\"expect\": \"whole\", \"call\": \"c1\""));
  cr_assert_not (strstr (text, "\"expect\": \"whole\", \"call\": \"c2\""));
  unlink (path);
  rmdir (directory);
}
