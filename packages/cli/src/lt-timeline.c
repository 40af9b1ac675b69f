#include "lt-timeline.h"

#include "lt-timeline-summary.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Longer field values, such as lists of candidate endpoints, are truncated in the output. */
#define MAX_PRINTED_VALUE_LENGTH 160
/* State changes are printed from this long before the first line that names the id, because they
 * can explain that line. */
#define CONTEXT_BEFORE_MS 5000
/* Equal state-change events within this time count as repeats. One received message, such as a list
 * of endpoints, causes many of these events. */
#define REPEAT_WINDOW_MS 5

typedef struct
{
  int64_t time_ms;
  size_t order; /* position in the input; sorts lines with the same time */
  struct json_object *object;
  bool names_id;
} Line;

struct LtTimeline
{
  char *id;
  Line *lines;
  size_t n_lines;
  size_t capacity;
  size_t n_unreadable;
};

/* Log events that record a change of an instance itself, or of its view of endpoints, other
 * instances, the store or leases. */
static const char *const state_change_events[]
    = { "endpoint_listed",  "endpoint_lists_leaving", "endpoint_gone",     "endpoint-leaving",
        "instance_alive",   "instance_lost",          "store_lost",        "store_back",
        "desired_in_force", "engines_divided",        "lease_gained",      "lease_lost",
        "version_named",    "weights_ordered",        "started",           "stopped",
        "signal",           "log_lines_dropped",      "catalog_publisher", "endpoint_checked" };

LtTimeline *
lt_timeline_new (const char *id)
{
  LtTimeline *timeline = LB_NEW (LtTimeline);

  timeline->id = lb_strdup (id);
  return timeline;
}

void
lt_timeline_free (LtTimeline *timeline)
{
  for (size_t i = 0; i < timeline->n_lines; i++)
    json_object_put (timeline->lines[i].object);
  free (timeline->lines);
  free (timeline->id);
  free (timeline);
}

static void
add_log_line (LtTimeline *timeline, struct json_object *object)
{
  if (timeline->n_lines == timeline->capacity)
    {
      timeline->capacity = timeline->capacity ? timeline->capacity * 2 : 1024;
      timeline->lines = lb_realloc (timeline->lines, timeline->capacity * sizeof *timeline->lines);
    }
  timeline->lines[timeline->n_lines] = (Line){ .time_ms = lb_json_int (object, "time", 0),
                                               .order = timeline->n_lines,
                                               .object = object };
  timeline->n_lines++;
}

static void
parse_log_line (LtTimeline *timeline, const char *text)
{
  const char *brace = strchr (text, '{');
  struct json_object *object = brace ? json_tokener_parse (brace) : NULL;

  if (json_object_is_type (object, json_type_object))
    {
      add_log_line (timeline, object);
      return;
    }
  json_object_put (object);
  timeline->n_unreadable++;
}

bool
lt_timeline_read_log (LtTimeline *timeline, const char *path, LbError *error)
{
  FILE *in = fopen (path, "r");
  char *text = NULL;
  size_t size = 0;

  if (!in)
    return lb_error_set (error, LB_ERROR_IO, path, "cannot open the log");
  while (getline (&text, &size, in) >= 0)
    parse_log_line (timeline, text);
  free (text);
  fclose (in);
  return true;
}

/* Compares name with the timeline's id. In logs, '~' and a hash follow the id of an organisation's
 * batch; the comparison ignores them. */
static bool
matches_timeline_id (const LtTimeline *timeline, const char *name)
{
  size_t length = strlen (timeline->id);

  return strncmp (name, timeline->id, length) == 0 && (name[length] == '\0' || name[length] == '~');
}

static bool
log_line_names_id (const LtTimeline *timeline, struct json_object *object)
{
  static const char *const keys[] = { "id", "batch", "item", "caller", "content" };

  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    if (matches_timeline_id (timeline, lb_json_text (object, keys[i], "")))
      return true;
  return false;
}

static bool
is_state_change_event (struct json_object *object)
{
  const char *event = lb_json_text (object, "event", "");

  for (size_t i = 0; i < sizeof state_change_events / sizeof state_change_events[0]; i++)
    if (strcmp (event, state_change_events[i]) == 0)
      return true;
  return false;
}

/* Returns true if the instance that logged object also logged a line that names the id. State
 * changes of other instances did not affect the request. */
static bool
has_instance_logged_id (const LtTimeline *timeline, struct json_object *object)
{
  const char *instance = lb_json_text (object, "instance", "");

  for (size_t i = 0; i < timeline->n_lines; i++)
    if (timeline->lines[i].names_id
        && strcmp (lb_json_text (timeline->lines[i].object, "instance", ""), instance) == 0)
      return true;
  return false;
}

static int
compare_lines_by_time (const void *a, const void *b)
{
  const Line *first = a;
  const Line *second = b;

  if (first->time_ms != second->time_ms)
    return first->time_ms < second->time_ms ? -1 : 1;
  return first->order < second->order ? -1 : 1;
}

static bool
mark_lines_naming_id (LtTimeline *timeline, int64_t *first_ms, int64_t *last_ms)
{
  bool found = false;

  for (size_t i = 0; i < timeline->n_lines; i++)
    {
      Line *line = &timeline->lines[i];
      line->names_id = log_line_names_id (timeline, line->object);
      if (!line->names_id)
        continue;
      *first_ms = !found || line->time_ms < *first_ms ? line->time_ms : *first_ms;
      *last_ms = !found || line->time_ms > *last_ms ? line->time_ms : *last_ms;
      found = true;
    }
  return found;
}

static void
print_log_line (const Line *line, bool is_match, int64_t first_ms, FILE *out)
{
  static const char *const column_keys[] = { "time", "level", "instance", "event" };

  fprintf (out, "%c %+9.3f s  %-20s %-22s", is_match ? ' ' : '~',
           (double)(line->time_ms - first_ms) / 1000, lb_json_text (line->object, "instance", "?"),
           lb_json_text (line->object, "event", "?"));
  json_object_object_foreach (line->object, key, value)
  {
    bool skip = false;
    for (size_t i = 0; i < sizeof column_keys / sizeof column_keys[0]; i++)
      skip |= strcmp (key, column_keys[i]) == 0;
    if (skip)
      continue;
    const char *text = json_object_is_type (value, json_type_string)
                           ? json_object_get_string (value)
                           : json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN);
    bool is_long = strlen (text) > MAX_PRINTED_VALUE_LENGTH;
    fprintf (out, " %s=%.*s%s", key, MAX_PRINTED_VALUE_LENGTH, text, is_long ? "..." : "");
  }
  fputc ('\n', out);
}

/* Returns true if both lines are the same state-change event of the same instance, at most
 * REPEAT_WINDOW_MS apart. An instance that reads the list of endpoints logs one event per endpoint.
 */
static bool
is_repeated_state_change (const Line *line, const Line *previous)
{
  return previous && !line->names_id && !previous->names_id
         && line->time_ms - previous->time_ms <= REPEAT_WINDOW_MS
         && strcmp (lb_json_text (line->object, "event", ""),
                    lb_json_text (previous->object, "event", ""))
                == 0
         && strcmp (lb_json_text (line->object, "instance", ""),
                    lb_json_text (previous->object, "instance", ""))
                == 0;
}

static void
print_lines_with_context (const LtTimeline *timeline, int64_t first_ms, int64_t last_ms, FILE *out)
{
  const Line *last_printed = NULL;
  size_t n_repeats = 0;

  for (size_t i = 0; i < timeline->n_lines; i++)
    {
      const Line *line = &timeline->lines[i];
      bool is_in_time_range
          = line->time_ms >= first_ms - CONTEXT_BEFORE_MS && line->time_ms <= last_ms;
      if (!line->names_id
          && !(is_in_time_range && is_state_change_event (line->object)
               && has_instance_logged_id (timeline, line->object)))
        continue;
      if (is_repeated_state_change (line, last_printed))
        {
          n_repeats++;
          continue;
        }
      if (n_repeats > 0)
        fprintf (out, "~ and %zu more of these\n", n_repeats);
      n_repeats = 0;
      last_printed = line;
      print_log_line (line, line->names_id, first_ms, out);
    }
}

static void
print_summary (const LtTimeline *timeline, FILE *out)
{
  LtTimelineSummary summary = { 0 };

  for (size_t i = 0; i < timeline->n_lines; i++)
    if (timeline->lines[i].names_id)
      lt_timeline_summary_add_line (&summary, timeline->lines[i].object);
  lt_timeline_summary_print (&summary, out);
}

bool
lt_timeline_print (LtTimeline *timeline, FILE *out)
{
  int64_t first_ms = 0;
  int64_t last_ms = 0;

  if (!mark_lines_naming_id (timeline, &first_ms, &last_ms))
    return false;
  if (timeline->n_lines > 0)
    qsort (timeline->lines, timeline->n_lines, sizeof *timeline->lines, compare_lines_by_time);
  fprintf (out,
           "%s: %.3f s; lines that name the id, and marked ~ state changes of the same instances\n",
           timeline->id, (double)(last_ms - first_ms) / 1000);
  print_lines_with_context (timeline, first_ms, last_ms, out);
  print_summary (timeline, out);
  if (timeline->n_unreadable > 0)
    fprintf (out, "%zu lines could not be read\n", timeline->n_unreadable);
  return true;
}
