#include "lt-operator-commands.h"

#include "lt-command.h"
#include "lt-resources.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define LONG_POLL_WAIT_MS 10000
#define CALL_IDLE_TIMEOUT (30 * LB_SEC)
#define DEFAULT_HISTORY_LIMIT 20

typedef struct
{
  struct arg_int *number; /* argument of `watch --after` or `history --limit` */
  struct arg_lit *once;
  LtArguments common;
} Options;

static void
print_instance_names (struct json_object *names)
{
  for (size_t i = 0; i < json_object_array_length (names); i++)
    printf (" %s", json_object_get_string (json_object_array_get_idx (names, i)));
}

static void
print_revision_watch_report (struct json_object *body)
{
  struct json_object *in_force = json_object_object_get (body, "in_force");

  json_object_object_foreach (in_force, revision, counts)
  {
    printf ("accepted %lld, revision %s in force on %lld of %lld",
            (long long)lt_json_get_integer (body, "accepted"), revision,
            (long long)lt_json_get_integer (counts, "on"),
            (long long)lt_json_get_integer (counts, "of"));
    struct json_object *behind = json_object_object_get (counts, "behind");
    if (behind && json_object_array_length (behind) > 0)
      {
        fputs (", behind:", stdout);
        print_instance_names (behind);
      }
    putchar ('\n');
  }
  fflush (stdout);
}

static int
watch_revisions (const Options *options)
{
  char path[128];
  LtReply reply;
  LbError error = { .code = LB_OK };
  int code = LT_EXIT_OK;
  bool keep_watching = true;
  long long after = options->number->count > 0 ? options->number->ival[0] : -1;
  const LtCall call = { .method = "GET", .path = path, .idle_timeout = CALL_IDLE_TIMEOUT };
  LtClient *client = lt_arguments_new_client (&options->common);

  while (keep_watching)
    {
      /* Without --after the first call doesn't wait for a new revision. */
      snprintf (path, sizeof path, "/v1/resources/watch?after=%lld&wait_ms=%d",
                after < 0 ? 0 : after, after < 0 ? 0 : LONG_POLL_WAIT_MS);
      keep_watching = lt_client_call (client, &call, &reply, &error);
      if (!keep_watching)
        code = lt_print_error (&error);
      else if (lt_arguments_wants_json (&options->common))
        lt_print_json (reply.body);
      else
        print_revision_watch_report (reply.body);
      after = keep_watching ? lt_json_get_integer (reply.body, "accepted") : after;
      keep_watching = keep_watching && options->once->count == 0;
      lt_reply_clear (&reply);
    }
  lt_client_free (client);
  return code;
}

int
lt_run_watch_command (int argc, char **argv)
{
  int code;
  Options options;
  void *table[2 + LT_N_COMMON_ARGUMENTS];

  table[0] = options.number
      = arg_int0 (NULL, "after", "REVISION", "wait for a newer revision before the first report");
  table[1] = options.once = arg_lit0 ("1", "once", "print one report and exit");
  lt_arguments_init (&options.common, table + 2);
  if (lt_arguments_parse (
          &options.common, table, 2 + LT_N_COMMON_ARGUMENTS, argc, argv,
          "Prints the accepted revision and on how many instances each revision is in force.",
          &code))
    code = watch_revisions (&options);
  arg_freetable (table, 2 + LT_N_COMMON_ARGUMENTS);
  return code;
}

static void
print_change_history_row (struct json_object *row)
{
  char at[32];
  time_t seconds = (time_t)(lt_json_get_integer (row, "at_ms") / 1000);
  struct tm utc;
  struct json_object *change = json_object_object_get (row, "change");

  gmtime_r (&seconds, &utc);
  strftime (at, sizeof at, "%Y-%m-%dT%H:%M:%SZ", &utc);
  printf ("%-9lld %s %-24s %s\n", (long long)lt_json_get_integer (row, "revision"), at,
          lt_json_get_text (row, "who"),
          json_object_to_json_string_ext (change, JSON_C_TO_STRING_PLAIN));
}

static void
print_change_history (struct json_object *body)
{
  struct json_object *rows = json_object_object_get (body, "changes");

  printf ("%-9s %-20s %-24s %s\n", "REVISION", "WHEN", "WHO", "CHANGE");
  for (size_t i = 0; i < json_object_array_length (rows); i++)
    print_change_history_row (json_object_array_get_idx (rows, i));
}

static void
print_cluster_status_list (struct json_object *body, const char *key)
{
  struct json_object *list = json_object_object_get (body, key);

  if (!list || !json_object_is_type (list, json_type_array))
    return;
  printf ("\n%s\n", key);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      fputs (" ", stdout);
      json_object_object_foreach (item, name, value)
      {
        printf (" %s=%s", name, json_object_get_string (value));
      }
      putchar ('\n');
    }
}

static void
print_cluster_status (struct json_object *body)
{
  json_object_object_foreach (body, key, value)
  {
    if (!json_object_is_type (value, json_type_array))
      printf ("%-22s %s\n", key, json_object_get_string (value));
  }
  print_cluster_status_list (body, "instances");
  print_cluster_status_list (body, "leases");
  print_cluster_status_list (body, "roll_outs");
}

static int
fetch_and_print_reply_body (const Options *options,
                            const char *path,
                            void (*print_body) (struct json_object *body))
{
  LtReply reply;
  LbError error = { .code = LB_OK };
  int code = LT_EXIT_OK;
  const LtCall call = { .method = "GET", .path = path, .idle_timeout = CALL_IDLE_TIMEOUT };
  LtClient *client = lt_arguments_new_client (&options->common);

  if (!lt_client_call (client, &call, &reply, &error))
    code = lt_print_error (&error);
  else if (lt_arguments_wants_json (&options->common))
    lt_print_json (reply.body);
  else
    print_body (reply.body);
  lt_reply_clear (&reply);
  lt_client_free (client);
  return code;
}

int
lt_run_history_command (int argc, char **argv)
{
  int code;
  char path[64];
  Options options;
  void *table[1 + LT_N_COMMON_ARGUMENTS];

  table[0] = options.number = arg_int0 ("l", "limit", "N", "number of changes (default: 20)");
  lt_arguments_init (&options.common, table + 1);
  if (lt_arguments_parse (&options.common, table, 1 + LT_N_COMMON_ARGUMENTS, argc, argv,
                          "Prints the last changes with author and time.", &code))
    {
      snprintf (path, sizeof path, "/v1/history?limit=%d",
                options.number->count > 0 ? options.number->ival[0] : DEFAULT_HISTORY_LIMIT);
      code = fetch_and_print_reply_body (&options, path, print_change_history);
    }
  arg_freetable (table, 1 + LT_N_COMMON_ARGUMENTS);
  return code;
}

int
lt_run_status_command (int argc, char **argv)
{
  int code;
  Options options;
  void *table[LT_N_COMMON_ARGUMENTS];

  lt_arguments_init (&options.common, table);
  if (lt_arguments_parse (
          &options.common, table, LT_N_COMMON_ARGUMENTS, argc, argv,
          "Prints the instance's state, all instances and revisions, leases and roll-outs.", &code))
    code = fetch_and_print_reply_body (&options, "/v1/status", print_cluster_status);
  arg_freetable (table, LT_N_COMMON_ARGUMENTS);
  return code;
}
