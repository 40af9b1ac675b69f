#include "lb-log.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <json-c/json.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Buffer for lines not written yet. A quarter is reserved for warnings and errors, which explain
 * what went wrong just when most lines are logged. */
#define BUFFER_BYTES ((size_t)(256 << 10))
#define MAX_ORDINARY_BYTES (BUFFER_BYTES / 4 * 3)
/* Several times what an instance logs under full load, but low enough that a burst of refusals
 * doesn't use up its CPU time. */
#define MAX_LINES_PER_SECOND 2000
#define MAX_BYTES_PER_SECOND (1 << 20)
/* A write of up to this size doesn't block on a pipe that poll reports as writable. */
#define MAX_WRITE_BYTES ((size_t)4096)

static const char *const level_names[] = { "debug", "info", "warning", "error", "off" };

static struct
{
  LbLogLevel level;
  int fd;
  LbName instance;
  /* buffered */
  char *buffer; /* NULL: lines are written at once */
  size_t length;
  int64_t dropped;
  int64_t dropped_reported; /* of these, how many a log line has reported */
  int64_t lines_in_second;
  int64_t bytes_in_second;
  LbTime second; /* that the two counts are for */
} log_state = { .level = LB_LOG_WARNING, .fd = 2 };

/* Sets the lowest level to write, the output (a file descriptor that stays owned by the caller) and
 * the instance name shown in each line. */
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
    log_state.buffer = lb_malloc (BUFFER_BYTES);
}

int64_t
lb_log_count_dropped_lines (void)
{
  return log_state.dropped;
}

bool
lb_log_is_enabled (LbLogLevel level)
{
  return level >= log_state.level && level < LB_LOG_OFF;
}

static struct json_object *
field_to_json (const LbLogField *field)
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
write_all (const char *text, size_t length)
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

static bool
is_within_rate (size_t length)
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

/* A reader that stops reading must not block requests, so lines that don't fit are dropped. */
static void
buffer_line (LbLogLevel level, const char *line, size_t length)
{
  bool is_urgent = level >= LB_LOG_WARNING;
  size_t capacity = is_urgent ? BUFFER_BYTES : MAX_ORDINARY_BYTES;

  if (log_state.length + length > capacity || (!is_within_rate (length) && !is_urgent))
    {
      log_state.dropped++;
      return;
    }
  memcpy (log_state.buffer + log_state.length, line, length);
  log_state.length += length;
}

static void
log_dropped_lines (void)
{
  int64_t dropped = log_state.dropped - log_state.dropped_reported;

  if (dropped == 0 || log_state.length > MAX_ORDINARY_BYTES)
    return;
  log_state.dropped_reported = log_state.dropped;
  lb_log (LB_LOG_WARNING, "log_lines_dropped", LB_INT ("lines", dropped),
          LB_INT ("in_all", log_state.dropped));
}

static bool
can_write (void)
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
  log_dropped_lines ();
  while (done < log_state.length && can_write ())
    {
      size_t left = log_state.length - done;
      ssize_t written = write (log_state.fd, log_state.buffer + done,
                               left < MAX_WRITE_BYTES ? left : MAX_WRITE_BYTES);
      if (written <= 0)
        break;
      done += (size_t)written;
    }
  memmove (log_state.buffer, log_state.buffer + done, log_state.length - done);
  log_state.length -= done;
}

/* Writes one JSON line: time (ms since 1970), level, instance, event and the fields. */
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
    json_object_object_add (line, fields->key, field_to_json (fields));

  size_t length;
  const char *text = json_object_to_json_string_length (line, JSON_C_TO_STRING_PLAIN, &length);
  char *with_newline = lb_asprintf ("%s\n", text);
  if (log_state.buffer)
    buffer_line (level, with_newline, length + 1);
  else
    write_all (with_newline, length + 1);
  free (with_newline);
  json_object_put (line);
}

void
lb_log_error (LbLogLevel level, const char *event, const LbError *error)
{
  lb_log (level, event, LB_TEXT ("error", lb_error_name (error->code)),
          LB_TEXT ("where", error->where), LB_TEXT ("detail", error->detail));
}
