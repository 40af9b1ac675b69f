#include "lt-timeline.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* A list of all candidates would fill the screen. */
#define MAX_VALUE 160
/* Beliefs that were formed so long before the first line of the story still explain it. */
#define BELIEFS_BEFORE_MS 5000
/* Lines that one message brings are written within this time. */
#define SAME_NEWS_MS 5

typedef struct
{
  int64_t time; /* ms */
  size_t order; /* as read */
  struct json_object *line;
  bool chosen;
} Line;

struct LtTimeline
{
  char *id;
  Line *lines;
  size_t n_lines;
  size_t capacity;
  size_t n_unreadable;
};

static const char *const beliefs[]
    = { "endpoint_listed",  "endpoint_lists_leaving", "endpoint_gone",     "endpoint-leaving",
        "instance_alive",   "instance_lost",          "store_lost",        "store_back",
        "desired_in_force", "engines_divided",        "lease_gained",      "lease_lost",
        "version_named",    "weights_ordered",        "started",           "stopped",
        "signal",           "log_lines_dropped",      "catalog_publisher", "endpoint_checked" };

LtTimeline *
lt_timeline_new (const char *id)
{
  LtTimeline *story = LB_NEW (LtTimeline);

  story->id = lb_strdup (id);
  return story;
}

void
lt_timeline_free (LtTimeline *story)
{
  for (size_t i = 0; i < story->n_lines; i++)
    json_object_put (story->lines[i].line);
  free (story->lines);
  free (story->id);
  free (story);
}

static void
add_line (LtTimeline *story, struct json_object *object)
{
  if (story->n_lines == story->capacity)
    {
      story->capacity = story->capacity ? story->capacity * 2 : 1024;
      story->lines = lb_realloc (story->lines, story->capacity * sizeof *story->lines);
    }
  story->lines[story->n_lines]
      = (Line){ .time = lb_json_int (object, "time", 0), .order = story->n_lines, .line = object };
  story->n_lines++;
}

static void
read_line (LtTimeline *story, const char *text)
{
  const char *brace = strchr (text, '{');
  struct json_object *object = brace ? json_tokener_parse (brace) : NULL;

  if (json_object_is_type (object, json_type_object))
    {
      add_line (story, object);
      return;
    }
  json_object_put (object);
  story->n_unreadable++;
}

bool
lt_timeline_read_log (LtTimeline *story, const char *path, LbError *error)
{
  FILE *in = fopen (path, "r");
  char *text = NULL;
  size_t size = 0;

  if (!in)
    return lb_error_set (error, LB_ERROR_IO, path, "cannot open the log");
  while (getline (&text, &size, in) >= 0)
    read_line (story, text);
  free (text);
  fclose (in);
  return true;
}

/* A batch that belongs to an organisation is named by its id and, behind a '~', a hash. */
static bool
is_id (const LtTimeline *story, const char *name)
{
  size_t length = strlen (story->id);

  return strncmp (name, story->id, length) == 0 && (name[length] == '\0' || name[length] == '~');
}

static bool
names_id (const LtTimeline *story, struct json_object *line)
{
  static const char *const keys[] = { "id", "batch", "item", "caller", "content" };

  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    if (is_id (story, lb_json_text (line, keys[i], "")))
      return true;
  return false;
}

static bool
is_belief (struct json_object *line)
{
  const char *event = lb_json_text (line, "event", "");

  for (size_t i = 0; i < sizeof beliefs / sizeof beliefs[0]; i++)
    if (strcmp (event, beliefs[i]) == 0)
      return true;
  return false;
}

/* Instances that had a part in the story; the beliefs of others did not decide anything. */
static bool
is_involved (const LtTimeline *story, struct json_object *line)
{
  const char *instance = lb_json_text (line, "instance", "");

  for (size_t i = 0; i < story->n_lines; i++)
    if (story->lines[i].chosen
        && strcmp (lb_json_text (story->lines[i].line, "instance", ""), instance) == 0)
      return true;
  return false;
}

static int
by_time (const void *a, const void *b)
{
  const Line *first = a;
  const Line *second = b;

  if (first->time != second->time)
    return first->time < second->time ? -1 : 1;
  return first->order < second->order ? -1 : 1;
}

static bool
choose_own (LtTimeline *story, int64_t *first, int64_t *last)
{
  bool found = false;

  for (size_t i = 0; i < story->n_lines; i++)
    {
      Line *line = &story->lines[i];
      line->chosen = names_id (story, line->line);
      if (!line->chosen)
        continue;
      *first = !found || line->time < *first ? line->time : *first;
      *last = !found || line->time > *last ? line->time : *last;
      found = true;
    }
  return found;
}

static void
print_line (const Line *line, bool is_own, int64_t first, FILE *out)
{
  static const char *const shown_already[] = { "time", "level", "instance", "event" };

  fprintf (out, "%c %+9.3f s  %-20s %-22s", is_own ? ' ' : '~', (double)(line->time - first) / 1000,
           lb_json_text (line->line, "instance", "?"), lb_json_text (line->line, "event", "?"));
  json_object_object_foreach (line->line, key, value)
  {
    bool skip = false;
    for (size_t i = 0; i < sizeof shown_already / sizeof shown_already[0]; i++)
      skip |= strcmp (key, shown_already[i]) == 0;
    if (skip)
      continue;
    const char *text = json_object_is_type (value, json_type_string)
                           ? json_object_get_string (value)
                           : json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN);
    bool is_long = strlen (text) > MAX_VALUE;
    fprintf (out, " %s=%.*s%s", key, MAX_VALUE, text, is_long ? "..." : "");
  }
  fputc ('\n', out);
}

/* Whether `line` tells the same kind of news of the same instance and moment as `last` did, as when
 * an instance reads the whole list of endpoints. */
static bool
is_more_of (const Line *line, const Line *last)
{
  return last && !line->chosen && !last->chosen && line->time - last->time <= SAME_NEWS_MS
         && strcmp (lb_json_text (line->line, "event", ""), lb_json_text (last->line, "event", ""))
                == 0
         && strcmp (lb_json_text (line->line, "instance", ""),
                    lb_json_text (last->line, "instance", ""))
                == 0;
}

static void
print_lines (const LtTimeline *story, int64_t first, int64_t last, FILE *out)
{
  const Line *shown = NULL;
  size_t n_more = 0;

  for (size_t i = 0; i < story->n_lines; i++)
    {
      const Line *line = &story->lines[i];
      bool in_time = line->time >= first - BELIEFS_BEFORE_MS && line->time <= last;
      if (!line->chosen && !(in_time && is_belief (line->line) && is_involved (story, line->line)))
        continue;
      if (is_more_of (line, shown))
        {
          n_more++;
          continue;
        }
      if (n_more > 0)
        fprintf (out, "~ and %zu more of these\n", n_more);
      n_more = 0;
      shown = line;
      print_line (line, line->chosen, first, out);
    }
}

bool
lt_timeline_print (LtTimeline *story, FILE *out)
{
  int64_t first = 0;
  int64_t last = 0;

  if (!choose_own (story, &first, &last))
    return false;
  if (story->n_lines > 0)
    qsort (story->lines, story->n_lines, sizeof *story->lines, by_time);
  fprintf (out, "%s: %.3f s; lines of the story, and marked ~ what its instances came to believe\n",
           story->id, (double)(last - first) / 1000);
  print_lines (story, first, last, out);
  if (story->n_unreadable > 0)
    fprintf (out, "%zu lines could not be read\n", story->n_unreadable);
  return true;
}
