#include "dispatch-fixture.h"

#include "lb-log.h"

#include <fcntl.h>
#include <unistd.h>

#define SERVICE_TIME (100 * LB_MSEC)
#define CALL_DEADLINE (1500 * LB_MSEC)
#define MAX_LOG_BYTES 65536

static const LcDispatchSettings settings = { .max_report_age = LB_TIME_NEVER, .seed = 1 };

/* Ends of the pipe that the log is written to. Reads do not block, so that a missing line fails the
 * test. */
static int log_pipe[2];

static void
start_log (void)
{
  cr_assert_eq (pipe2 (log_pipe, O_NONBLOCK), 0);
  lb_log_init (LB_LOG_INFO, log_pipe[1], "a");
}

/* Stops the log. Returns the part of it from this event on; NULL if the event was not logged. */
static const char *
stop_log_and_find_event (const char *event)
{
  static char text[MAX_LOG_BYTES];
  ssize_t length = read (log_pipe[0], text, sizeof text - 1);

  lb_log_init (LB_LOG_OFF, STDERR_FILENO, "a");
  close (log_pipe[0]);
  close (log_pipe[1]);
  text[length > 0 ? length : 0] = '\0';
  return strstr (text, event);
}

static LcRequestId
submit_call (Fixture *f, const char *external_id)
{
  LcRequestSpec spec = fixture_make_request_spec (f, LC_KIND_SERVICE);

  spec.external_id = external_id;
  spec.expected_tokens = 1;
  spec.deadline = f->now + CALL_DEADLINE;
  cr_assert (fixture_submit_request (f, &spec));
  return spec.id;
}

static void
run_call (Fixture *f)
{
  LcRequestId id = submit_call (f, "run");
  LcAction send = fixture_expect_action_of_request (f, LC_ACTION_SEND, id);

  fixture_tick_dispatch_at (f, f->now + SERVICE_TIME);
  fixture_deliver_piece (f, id, send.attempt, 0, 1, true);
  fixture_end_attempt (f, id, send.attempt, LC_END_COMPLETE);
  fixture_expect_action_of_request (f, LC_ACTION_FINISH, id);
}

/* The reason of a refusal is only in the line call_refused. Without the id in the line, the logs do
 * not show which call it belongs to, since request numbers repeat after a restart. */
Test (refusal_log, refusal_at_admission_names_the_id)
{
  Fixture f;

  fixture_init (&f, &settings, 1, 1);
  LcRequestSpec spec = fixture_make_request_spec (&f, LC_KIND_SERVICE);
  spec.external_id = "caller-id-1";
  spec.deadline = f.now;
  start_log ();
  cr_assert_not (fixture_submit_request (&f, &spec));
  const char *line = stop_log_and_find_event ("\"call_refused\"");
  cr_assert_not_null (line);
  cr_assert_not_null (strstr (line, "\"id\":\"caller-id-1\""), "%s", line);
  fixture_clear (&f);
}

/* The endpoints stop answering, so the waiting call is refused. The submitter's text of the id is
 * no longer valid then, so the line must have a copy. */
Test (refusal_log, refusal_while_waiting_names_the_id)
{
  char external_id[] = "caller-id-2";
  Fixture f;

  fixture_init (&f, &settings, 1, 1);
  for (int i = 0; i < 10; i++)
    run_call (&f);
  submit_call (&f, "first");
  submit_call (&f, "second");
  submit_call (&f, external_id);
  memset (external_id, 'x', sizeof external_id - 1);
  start_log ();
  for (LbTime end = f.now + CALL_DEADLINE; f.now < end;)
    fixture_tick_dispatch_at (&f, f.now + 10 * LB_MSEC);
  const char *line = stop_log_and_find_event ("\"waiting_call_refused\"");
  cr_assert_not_null (line);
  cr_assert_not_null (strstr (line, "\"id\":\"caller-id-2\""), "%s", line);
  fixture_clear (&f);
}
