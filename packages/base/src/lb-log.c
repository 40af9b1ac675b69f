#include "lb-log.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <json-c/json.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Size of the buffer of lines that wait to be written. A quarter is reserved for warnings and
 * errors, which explain a fault just when most lines are logged. */
#define LOG_BUFFER_BYTES ((size_t)(256 << 10))
#define UNRESERVED_BUFFER_BYTES (LOG_BUFFER_BYTES / 4 * 3)
/* Rate limits of log lines: several times what an instance logs under full load, but low enough
 * that a burst of refused requests doesn't use up its CPU time. */
#define MAX_LINES_PER_SECOND 2000
#define MAX_BYTES_PER_SECOND (1 << 20)
/* Largest write that doesn't block on a pipe that poll reports as writable. */
#define MAX_WRITE_BYTES ((size_t)4096)

static const char *const level_names[] = { "debug", "info", "warning", "error", "off" };

static struct
{
  LbLogLevel level;
  int fd;
  LbName instance;
  char *buffer; /* NULL: buffering is off, each line is written immediately */
  size_t buffered_bytes;
  int64_t n_dropped_lines;  /* lines dropped since the process started */
  int64_t n_reported_lines; /* dropped lines that log_lines_dropped events have reported */
  int64_t lines_in_second;
  int64_t bytes_in_second;
  LbTime second; /* monotonic time in seconds that lines_in_second and bytes_in_second are for */
} log_state = { .level = LB_LOG_WARNING, .fd = 2 };

/* Sets the lowest level that is logged, the file descriptor to write to (the caller keeps ownership
 * of it) and the instance name in each line; NULL: no instance name. */
void
lb_log_init (LbLogLevel level, int fd, const char *instance)
{
  log_state.level = level;
  log_state.fd = fd;
  LB_COPY (log_state.instance, instance ? instance : "");
}

void
lb_log_enable_buffering (void)
{
  if (!log_state.buffer)
    log_state.buffer = lb_malloc (LOG_BUFFER_BYTES);
}

int64_t
lb_log_count_dropped_lines (void)
{
  return log_state.n_dropped_lines;
}

bool
lb_log_is_enabled (LbLogLevel level)
{
  return level >= log_state.level && level < LB_LOG_OFF;
}

static struct json_object *
log_field_to_json (const LbLogField *field)
{
  struct json_object *parsed;

  switch (field->type)
    {
    case LB_FIELD_TEXT:
      return field->value.text ? json_object_new_string (field->value.text) : NULL;
    case LB_FIELD_INT:
      return json_object_new_int64 (field->value.integer);
    case LB_FIELD_REAL:
      return json_object_new_double (field->value.real);
    case LB_FIELD_BOOL:
      return json_object_new_boolean (field->value.boolean);
    case LB_FIELD_JSON:
      parsed = field->value.text ? json_tokener_parse (field->value.text) : NULL;
      return parsed;
    case LB_FIELD_END:
      break;
    }
  return NULL;
}

static void
write_log_line_blocking (const char *text, size_t length)
{
  while (length > 0)
    {
      ssize_t written = write (log_state.fd, text, length);
      if (written <= 0)
        return;
      text += written;
      length -= (size_t)written;
    }
}

/* Counts a line of this many bytes. Returns false if the lines of the current second exceed the
 * limit of lines or bytes. */
static bool
count_log_line_against_rate_limit (size_t length)
{
  LbTime second = lb_clock_monotonic () / LB_SEC;

  if (second != log_state.second)
    {
      log_state.second = second;
      log_state.lines_in_second = 0;
      log_state.bytes_in_second = 0;
    }
  log_state.lines_in_second++;
  log_state.bytes_in_second += (int64_t)length;
  return log_state.lines_in_second <= MAX_LINES_PER_SECOND
         && log_state.bytes_in_second <= MAX_BYTES_PER_SECOND;
}

/* Drops lines that don't fit into the buffer, so that a log reader that stops reading can't block
 * requests. Lines below warning are also dropped above the rate limit. */
static void
buffer_or_drop_log_line (LbLogLevel level, const char *line, size_t length)
{
  bool is_urgent = level >= LB_LOG_WARNING;
  size_t capacity = is_urgent ? LOG_BUFFER_BYTES : UNRESERVED_BUFFER_BYTES;

  if (log_state.buffered_bytes + length > capacity
      || (!count_log_line_against_rate_limit (length) && !is_urgent))
    {
      log_state.n_dropped_lines++;
      return;
    }
  memcpy (log_state.buffer + log_state.buffered_bytes, line, length);
  log_state.buffered_bytes += length;
}

static void
log_number_of_dropped_lines (void)
{
  int64_t dropped = log_state.n_dropped_lines - log_state.n_reported_lines;

  if (dropped == 0 || log_state.buffered_bytes > UNRESERVED_BUFFER_BYTES)
    return;
  log_state.n_reported_lines = log_state.n_dropped_lines;
  lb_log (LB_LOG_WARNING, "log_lines_dropped", LB_INT ("lines", dropped),
          LB_INT ("in_all", log_state.n_dropped_lines));
}

static bool
can_write_log_without_blocking (void)
{
  struct pollfd ready = { .fd = log_state.fd, .events = POLLOUT };

  return poll (&ready, 1, 0) > 0 && (ready.revents & POLLOUT);
}

void
lb_log_flush (void)
{
  size_t done = 0;

  if (!log_state.buffer)
    return;
  log_number_of_dropped_lines ();
  while (done < log_state.buffered_bytes && can_write_log_without_blocking ())
    {
      size_t left = log_state.buffered_bytes - done;
      ssize_t written = write (log_state.fd, log_state.buffer + done,
                               left < MAX_WRITE_BYTES ? left : MAX_WRITE_BYTES);
      if (written <= 0)
        break;
      done += (size_t)written;
    }
  memmove (log_state.buffer, log_state.buffer + done, log_state.buffered_bytes - done);
  log_state.buffered_bytes -= done;
}

/* Logs one JSON line: time (ms since 1970), level, instance, event and the fields, an array that
 * ends with LB_FIELD_END. */
void
lb_log_write_event (LbLogLevel level, const char *event, const LbLogField *fields)
{
  struct json_object *line = json_object_new_object ();

  json_object_object_add (line, "time", json_object_new_int64 (lb_clock_wall_ms ()));
  json_object_object_add (line, "level", json_object_new_string (level_names[level]));
  if (log_state.instance[0])
    json_object_object_add (line, "instance", json_object_new_string (log_state.instance));
  json_object_object_add (line, "event", json_object_new_string (event));
  for (; fields->type != LB_FIELD_END; fields++)
    json_object_object_add (line, fields->key, log_field_to_json (fields));

  size_t length;
  const char *text = json_object_to_json_string_length (line, JSON_C_TO_STRING_PLAIN, &length);
  char *with_newline = lb_asprintf ("%s\n", text);
  if (log_state.buffer)
    buffer_or_drop_log_line (level, with_newline, length + 1);
  else
    write_log_line_blocking (with_newline, length + 1);
  free (with_newline);
  json_object_put (line);
}

void
lb_log_error (LbLogLevel level, const char *event, const LbError *error)
{
  lb_log (level, event, LB_TEXT ("error", lb_error_name (error->code)),
          LB_TEXT ("where", error->where), LB_TEXT ("detail", error->detail));
}
