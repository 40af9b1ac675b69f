#include "lb-log.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const char *const level_names[] = { "debug", "info", "warning", "error", "off" };

static struct
{
  LbLogLevel level;
  int fd;
  LbName instance;
} log_state = { .level = LB_LOG_WARNING, .fd = 2 };

/* Sets the lowest level that is written, where to (a file descriptor that stays the caller's) and
 * the instance name shown on each line. */
void
lb_log_init (LbLogLevel level, int fd, const char *instance)
{
  log_state.level = level;
  log_state.fd = fd;
  LB_COPY (log_state.instance, instance ? instance : "");
}

bool
lb_log_enabled (LbLogLevel level)
{
  return level >= log_state.level && level < LB_LOG_OFF;
}

static struct json_object *
field_value (const LbLogField *field)
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

/* Writes one JSON line: time (ms since 1970), level, instance, event and the fields. */
void
lb_log_fields (LbLogLevel level, const char *event, const LbLogField *fields)
{
  struct json_object *line = json_object_new_object ();

  json_object_object_add (line, "time", json_object_new_int64 (lb_clock_wall_ms ()));
  json_object_object_add (line, "level", json_object_new_string (level_names[level]));
  if (log_state.instance[0])
    json_object_object_add (line, "instance", json_object_new_string (log_state.instance));
  json_object_object_add (line, "event", json_object_new_string (event));
  for (; fields->type != LB_FIELD_END; fields++)
    json_object_object_add (line, fields->key, field_value (fields));

  const char *text = json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN);
  char *with_newline = lb_asprintf ("%s\n", text);
  write_all (with_newline, strlen (with_newline));
  free (with_newline);
  json_object_put (line);
}

void
lb_log_error (LbLogLevel level, const char *event, const LbError *error)
{
  lb_log (level, event, LB_TEXT ("error", lb_error_name (error->code)),
          LB_TEXT ("where", error->where), LB_TEXT ("detail", error->detail));
}
