#include "lx-trace.h"

#include "lb-alloc.h"
#include "lb-settings.h"
#include "lx-faults.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_TIME_MS 86400000.0
#define MAX_FILE_BYTES ((size_t)16 << 20)

typedef struct
{
  int64_t format;
  LbName site;
  int64_t seed;
  char about[256];
  int64_t trainers;
  int64_t groups;
  int64_t samples;
  int64_t shortest;
  int64_t train_ms;
} Header;

static const char *const event_names[]
    = { "none", "steps", "call", "service", "version", "change", "fault", NULL };
static const char *const expect_names[]
    = { "none",      "step-done", "whole",       "not-run",  "unknown", "runs",
        "staleness", "mixed",     "no-new-work", "in-force", "drained", NULL };

#define INT_KEY(target, name, low, high)                                                           \
  {                                                                                                \
    .key = #name, .type = LB_SETTING_INT, .offset = offsetof (target, name), .min = (low),         \
    .max = (high)                                                                                  \
  }
#define TEXT_KEY(target, name)                                                                     \
  {                                                                                                \
    .key = #name, .type = LB_SETTING_TEXT, .offset = offsetof (target, name),                      \
    .size = sizeof (((target *)NULL)->name)                                                        \
  }

static const LbSettingSpec header_specs[] = {
  INT_KEY (Header, format, 1, 1000),     TEXT_KEY (Header, site),
  INT_KEY (Header, seed, 0, 1e15),       TEXT_KEY (Header, about),
  INT_KEY (Header, trainers, 0, 10),     INT_KEY (Header, groups, 1, 512),
  INT_KEY (Header, samples, 1, 64),      INT_KEY (Header, shortest, 1, 400),
  INT_KEY (Header, train_ms, 0, 600000), { .key = NULL },
};

static const LbSettingSpec line_specs[] = {
  { .key = "event",
    .type = LB_SETTING_CHOICE,
    .offset = offsetof (LxTraceLine, event),
    .choices = event_names },
  { .key = "expect",
    .type = LB_SETTING_CHOICE,
    .offset = offsetof (LxTraceLine, expect),
    .choices = expect_names },
  INT_KEY (LxTraceLine, at_ms, 0, MAX_TIME_MS),
  INT_KEY (LxTraceLine, by_ms, 0, MAX_TIME_MS),
  INT_KEY (LxTraceLine, after_ms, 0, MAX_TIME_MS),
  TEXT_KEY (LxTraceLine, call),
  TEXT_KEY (LxTraceLine, trainer),
  TEXT_KEY (LxTraceLine, instance),
  TEXT_KEY (LxTraceLine, endpoint),
  TEXT_KEY (LxTraceLine, fault),
  INT_KEY (LxTraceLine, step, 0, 1000),
  INT_KEY (LxTraceLine, count, 0, 100000),
  INT_KEY (LxTraceLine, tokens, 1, 4000),
  INT_KEY (LxTraceLine, for_ms, 0, MAX_TIME_MS),
  INT_KEY (LxTraceLine, revision, 1, 4000),
  INT_KEY (LxTraceLine, deadline_ms, 1, MAX_TIME_MS),
  { .key = "repeatable", .type = LB_SETTING_BOOL, .offset = offsetof (LxTraceLine, repeatable) },
  { .key = "live_reserve",
    .type = LB_SETTING_REAL,
    .offset = offsetof (LxTraceLine, live_reserve),
    .min = 0,
    .max = 0.9 },
  { .key = NULL },
};

const char *
lx_trace_expectation_name (LxTraceExpect expect)
{
  return expect_names[expect];
}

static bool
is_fault_name (const char *name)
{
  for (int i = 0; i < LX_N_FAULTS; i++)
    if (strcmp (lx_fault_name ((LxFault)i), name) == 0)
      return true;
  return false;
}

/* Checks that the line has the keys that its event or expectation requires. */
static bool
check_required_keys_of_line (const LxTraceLine *line, const char *where, LbError *error)
{
  bool needs_call = line->event == LX_EVENT_CALL || line->event == LX_EVENT_SERVICE
                    || (line->expect >= LX_EXPECT_WHOLE && line->expect <= LX_EXPECT_RUNS);
  bool needs_trainer = line->event == LX_EVENT_STEPS || line->expect == LX_EXPECT_STEP_DONE
                       || line->expect == LX_EXPECT_STALENESS || line->expect == LX_EXPECT_MIXED;

  if ((line->event == LX_EVENT_NONE) == (line->expect == LX_EXPECT_NONE))
    return lb_error_set (error, LB_ERROR_MISSING_KEY, where, "expected either event or expect");
  if (needs_call && !line->call[0])
    return lb_error_set (error, LB_ERROR_MISSING_KEY, where, "call: expected a name");
  if (needs_trainer && !line->trainer[0])
    return lb_error_set (error, LB_ERROR_MISSING_KEY, where, "trainer: expected a name");
  if (line->event == LX_EVENT_FAULT && !is_fault_name (line->fault))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where, "fault: unknown fault '%s'",
                         line->fault);
  if (line->expect == LX_EXPECT_NO_NEW_WORK && !line->endpoint[0])
    return lb_error_set (error, LB_ERROR_MISSING_KEY, where, "endpoint: expected a name");
  if (line->expect == LX_EXPECT_DRAINED && !line->instance[0])
    return lb_error_set (error, LB_ERROR_MISSING_KEY, where, "instance: expected a name");
  return true;
}

static bool
parse_trace_header (LxTrace *trace, struct json_object *object, const char *where, LbError *error)
{
  Header header
      = { .seed = 1, .trainers = 1, .groups = 8, .samples = 4, .shortest = 20, .train_ms = 1000 };

  if (!lb_settings_fill_struct (object, header_specs, &header, where, error))
    return false;
  if (header.format != LX_TRACE_FORMAT_VERSION)
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where, "format: expected %d",
                         LX_TRACE_FORMAT_VERSION);
  trace->site = lx_site_find (header.site);
  if (!trace->site)
    return lb_error_set (error, LB_ERROR_BAD_VALUE, where, "site: unknown site '%s'", header.site);
  LB_COPY (trace->about, header.about);
  trace->seed = (uint64_t)header.seed;
  trace->trainers = header.trainers;
  trace->groups = header.groups;
  trace->samples = header.samples;
  trace->shortest = header.shortest;
  trace->train_ms = header.train_ms;
  return true;
}

static bool
parse_and_add_trace_line (
    LxTrace *trace, struct json_object *object, int number, const char *where, LbError *error)
{
  LxTraceLine line = { .line = number,
                       .by_ms = (int64_t)MAX_TIME_MS,
                       .count = 1,
                       .tokens = 64,
                       .repeatable = true,
                       .deadline_ms = 60000,
                       .live_reserve = 0.3 };

  if (!lb_settings_fill_struct (object, line_specs, &line, where, error)
      || !check_required_keys_of_line (&line, where, error))
    return false;
  trace->lines = lb_realloc (trace->lines, (trace->n_lines + 1) * sizeof (LxTraceLine));
  trace->lines[trace->n_lines++] = line;
  return true;
}

static bool
parse_trace_header_or_line (
    LxTrace *trace, const char *text, size_t length, int number, const char *file, LbError *error)
{
  char where[256];

  snprintf (where, sizeof where, "%s:%d", file, number);
  if (strspn (text, " \t\r") >= length)
    return true;
  struct json_object *object = lb_settings_parse (text, length, where, error);
  if (!object)
    return false;
  bool ok = trace->site ? parse_and_add_trace_line (trace, object, number, where, error)
                        : parse_trace_header (trace, object, where, error);
  json_object_put (object);
  return ok;
}

bool
lx_trace_parse (LxTrace *trace, const char *text, size_t length, const char *file, LbError *error)
{
  const char *end = text + length;
  int number = 0;

  memset (trace, 0, sizeof *trace);
  while (text < end)
    {
      const char *stop = memchr (text, '\n', (size_t)(end - text));
      char *line = lb_strndup (text, (size_t)((stop ? stop : end) - text));
      bool ok = parse_trace_header_or_line (trace, line, strlen (line), ++number, file, error);

      free (line);
      if (!ok)
        goto fail;
      text = stop ? stop + 1 : end;
    }
  if (trace->site)
    return true;
  lb_error_set (error, LB_ERROR_MISSING_KEY, file, "expected a header line, found none");
fail:
  lx_trace_clear (trace);
  return false;
}

bool
lx_trace_read (LxTrace *trace, const char *path, LbError *error)
{
  FILE *in = fopen (path, "r");
  char *text = NULL;
  size_t length = 0;
  bool ok = false;

  memset (trace, 0, sizeof *trace);
  if (!in)
    return lb_error_set (error, LB_ERROR_IO, path, "%s", strerror (errno));
  do
    {
      text = lb_realloc (text, length + 65536);
      size_t got = fread (text + length, 1, 65536, in);
      length += got;
      if (got < 65536)
        break;
    }
  while (length < MAX_FILE_BYTES);
  if (ferror (in) || length >= MAX_FILE_BYTES)
    lb_error_set (error, LB_ERROR_IO, path, "read failed, or the file has %zu bytes or more",
                  MAX_FILE_BYTES);
  else
    ok = lx_trace_parse (trace, text, length, path, error);
  free (text);
  fclose (in);
  return ok;
}

void
lx_trace_clear (LxTrace *trace)
{
  free (trace->lines);
  memset (trace, 0, sizeof *trace);
}
