#include "lt-operator-commands.h"

#include "lc-change.h"
#include "lt-command.h"
#include "lt-resources.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define CALL_IDLE_TIMEOUT (15 * LB_SEC)

typedef struct
{
  struct arg_str *kind;
  struct arg_str *name;
  struct arg_file *files;
  LtArguments common;
} Options;

/* Prints the resource on one line: kind, name, then the other fields as KEY=VALUE. */
static void
print_resource (struct json_object *resource)
{
  printf ("%-14s %-24s", lt_json_get_text (resource, "kind"), lt_json_get_text (resource, "name"));
  json_object_object_foreach (resource, key, value)
  {
    if (strcmp (key, "kind") == 0 || strcmp (key, "name") == 0)
      continue;
    printf (" %s=%s", key,
            json_object_is_type (value, json_type_string)
                ? json_object_get_string (value)
                : json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN));
  }
  putchar ('\n');
}

static void
print_resources (struct json_object *body)
{
  struct json_object *list = json_object_object_get (body, "resources");

  printf ("revision %lld\n", (long long)lt_json_get_integer (body, "revision"));
  for (size_t i = 0; i < json_object_array_length (list); i++)
    print_resource (json_object_array_get_idx (list, i));
}

static int
fetch_and_print_resources (const Options *options)
{
  char path[256];
  LtReply reply;
  LbError error = { .code = LB_OK };
  int code = LT_EXIT_OK;
  const LtCall call = { .method = "GET", .path = path, .idle_timeout = CALL_IDLE_TIMEOUT };
  LtClient *client = lt_arguments_new_client (&options->common);

  snprintf (path, sizeof path, "/v1/resources%s%s%s%s", options->kind->count > 0 ? "/" : "",
            options->kind->count > 0 ? options->kind->sval[0] : "",
            options->name->count > 0 ? "/" : "",
            options->name->count > 0 ? options->name->sval[0] : "");
  if (!lt_client_call (client, &call, &reply, &error))
    code = lt_print_error (&error);
  else if (lt_arguments_wants_json (&options->common))
    lt_print_json (reply.body);
  else
    print_resources (reply.body);
  lt_reply_clear (&reply);
  lt_client_free (client);
  return code;
}

int
lt_run_get_command (int argc, char **argv)
{
  int code;
  Options options;
  void *table[2 + LT_N_COMMON_ARGUMENTS];

  table[0] = options.kind
      = arg_str0 (NULL, NULL, "KIND", "pool, subscription, version_bound or endpoint");
  table[1] = options.name = arg_str0 (NULL, NULL, "NAME", "name of the resource");
  lt_arguments_init (&options.common, table + 2);
  if (lt_arguments_parse (&options.common, table, 2 + LT_N_COMMON_ARGUMENTS, argc, argv,
                          "Prints the accepted resources.", &code))
    code = fetch_and_print_resources (&options);
  arg_freetable (table, 2 + LT_N_COMMON_ARGUMENTS);
  return code;
}

static struct json_object *
find_resource_by_kind_and_name (struct json_object *list, struct json_object *wanted)
{
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *resource = json_object_array_get_idx (list, i);
      if (strcmp (lt_json_get_text (resource, "kind"), lt_json_get_text (wanted, "kind")) == 0
          && strcmp (lt_json_get_text (resource, "name"), lt_json_get_text (wanted, "name")) == 0)
        return resource;
    }
  return NULL;
}

static void
print_changed_resource_keys (struct json_object *before, struct json_object *after)
{
  printf ("~ %s/%s\n", lt_json_get_text (after, "kind"), lt_json_get_text (after, "name"));
  json_object_object_foreach (after, key, value)
  {
    struct json_object *old = json_object_object_get (before, key);
    if (json_object_equal (old, value))
      continue;
    printf ("    %s: %s", key, json_object_to_json_string_ext (old, JSON_C_TO_STRING_PLAIN));
    printf (" -> %s\n", json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN));
  }
}

/* Prints the resources that were added or changed and returns their number. Ignores deletions
 * because applying files deletes no resource. */
static size_t
print_added_and_changed_resources (const LcResourceSet *before, const LcResourceSet *after)
{
  size_t n_different = 0;
  struct json_object *old_set = lc_resource_set_to_json (before);
  struct json_object *new_set = lc_resource_set_to_json (after);
  struct json_object *old_list = json_object_object_get (old_set, "resources");
  struct json_object *new_list = json_object_object_get (new_set, "resources");

  for (size_t i = 0; i < json_object_array_length (new_list); i++)
    {
      struct json_object *resource = json_object_array_get_idx (new_list, i);
      struct json_object *old = find_resource_by_kind_and_name (old_list, resource);
      if (old && json_object_equal (old, resource))
        continue;
      n_different++;
      if (old)
        print_changed_resource_keys (old, resource);
      else
        printf ("+ %s/%s\n", lt_json_get_text (resource, "kind"),
                lt_json_get_text (resource, "name"));
    }
  json_object_put (old_set);
  json_object_put (new_set);
  return n_different;
}

static int
print_diff_with_accepted_resources (const Options *options)
{
  LbError error = { .code = LB_OK };
  int code = LT_EXIT_USAGE;
  LcResourceSet *set = NULL, *new_set = NULL;
  LtClient *client = lt_arguments_new_client (&options->common);
  struct json_object *change
      = lt_resources_read_files (options->files->filename, (size_t)options->files->count, &error);

  if (!change)
    {
      lt_print_error (&error);
      goto out;
    }
  set = lt_resources_fetch (client, &error);
  if (!set)
    {
      code = lt_print_error (&error);
      goto out;
    }
  new_set = lc_change_apply_to_resource_set (set, change, options->files->filename[0], &error);
  if (!new_set)
    {
      lt_print_error (&error);
      goto out;
    }
  code = print_added_and_changed_resources (set, new_set) > 0 ? LT_EXIT_FAILED : LT_EXIT_OK;
out:
  lc_resource_set_free (new_set);
  lc_resource_set_free (set);
  json_object_put (change);
  lt_client_free (client);
  return code;
}

int
lt_run_diff_command (int argc, char **argv)
{
  int code;
  Options options;
  void *table[1 + LT_N_COMMON_ARGUMENTS];

  table[0] = options.files
      = arg_filen ("f", "file", "FILE", 1, 16, "resource file, JSON with comments");
  lt_arguments_init (&options.common, table + 1);
  if (lt_arguments_parse (
          &options.common, table, 1 + LT_N_COMMON_ARGUMENTS, argc, argv,
          "Prints what applying the files would change; exits with 1 if they change anything.",
          &code))
    code = print_diff_with_accepted_resources (&options);
  arg_freetable (table, 1 + LT_N_COMMON_ARGUMENTS);
  return code;
}
