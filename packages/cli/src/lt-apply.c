#include "lt-operator-commands.h"

#include "lc-change.h"
#include "lt-command.h"
#include "lt-resources.h"

#include <json-c/json.h>

typedef struct
{
  struct arg_file *files;
  struct arg_str *kind;
  struct arg_str *name;
  struct arg_lit *dry_run;
  struct arg_lit *force;
  struct arg_int *revision;
  struct arg_int *wait;
  LtArguments common;
} Options;

static void
init_resource_change_options (Options *options)
{
  options->dry_run = arg_lit0 ("n", "dry-run", "validate the change without applying it");
  options->force
      = arg_lit0 (NULL, "force", "apply the change to any accepted revision, without a check");
  options->revision
      = arg_int0 ("r", "revision", "N",
                  "revision that the change is based on (default: the accepted revision)");
  options->wait = arg_int0 ("w", "wait", "SECONDS",
                            "maximum wait until all instances use the change (default: no wait)");
}

/* Validates the change locally before sending it, so that an error names the operator's file.
 * source_name stands for the change in such an error: the file's name, or "delete". */
static int
validate_and_send_change (const Options *options,
                          LtClient *client,
                          struct json_object *change,
                          const char *source_name)
{
  LbError error = { .code = LB_OK };
  LcResourceSet *new_set = NULL;
  int code = LT_EXIT_FAILED;
  LcResourceSet *set = lt_resources_fetch (client, &error);

  if (!set)
    {
      lt_print_error (&error);
      goto out;
    }
  new_set = lc_change_apply_to_resource_set (set, change, source_name, &error);
  if (!new_set)
    {
      lt_print_error (&error);
      code = LT_EXIT_USAGE;
      goto out;
    }
  const LtChangeRequest request
      = { .client = client,
          .change = change,
          .expected_revision
          = options->revision->count > 0 ? options->revision->ival[0] : set->revision,
          .force = options->force->count > 0,
          .dry_run = options->dry_run->count > 0,
          .json = lt_arguments_wants_json (&options->common),
          .active_timeout = options->wait->count > 0 ? options->wait->ival[0] * LB_SEC : 0 };
  code = lt_change_request_send (&request);
out:
  lc_resource_set_free (new_set);
  lc_resource_set_free (set);
  return code;
}

/* Connects to an instance and sends the change. Takes ownership of change. */
static int
connect_and_send_change (const Options *options,
                         struct json_object *change,
                         const char *source_name)
{
  LtClient *client = lt_arguments_new_client (&options->common);
  int code = validate_and_send_change (options, client, change, source_name);

  lt_client_free (client);
  json_object_put (change);
  return code;
}

static int
apply_resource_files (const Options *options)
{
  LbError error = { .code = LB_OK };
  struct json_object *change
      = lt_resources_read_files (options->files->filename, (size_t)options->files->count, &error);

  if (!change)
    {
      lt_print_error (&error);
      return LT_EXIT_USAGE;
    }
  return connect_and_send_change (options, change, options->files->filename[0]);
}

int
lt_run_apply_command (int argc, char **argv)
{
  int code;
  Options options;
  void *table[5 + LT_N_COMMON_ARGUMENTS];

  init_resource_change_options (&options);
  options.files = arg_filen ("f", "file", "FILE", 1, 16, "resource file, JSON with comments");
  table[0] = options.files;
  table[1] = options.dry_run;
  table[2] = options.force;
  table[3] = options.revision;
  table[4] = options.wait;
  lt_arguments_init (&options.common, table + 5);
  if (lt_arguments_parse (&options.common, table, 5 + LT_N_COMMON_ARGUMENTS, argc, argv,
                          "Adds resources, or replaces those of the same kind and name.", &code))
    code = apply_resource_files (&options);
  arg_freetable (table, 5 + LT_N_COMMON_ARGUMENTS);
  return code;
}

static int
delete_resource (const Options *options)
{
  struct json_object *change = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  struct json_object *resource = json_object_new_object ();

  json_object_object_add (resource, "kind", json_object_new_string (options->kind->sval[0]));
  json_object_object_add (resource, "name", json_object_new_string (options->name->sval[0]));
  json_object_array_add (list, resource);
  json_object_object_add (change, "delete", list);
  return connect_and_send_change (options, change, "delete");
}

int
lt_run_delete_command (int argc, char **argv)
{
  int code;
  Options options;
  void *table[6 + LT_N_COMMON_ARGUMENTS];

  init_resource_change_options (&options);
  options.kind = arg_str1 (NULL, NULL, "KIND", "pool, subscription, version_bound or endpoint");
  options.name = arg_str1 (NULL, NULL, "NAME", "name of the resource");
  table[0] = options.kind;
  table[1] = options.name;
  table[2] = options.dry_run;
  table[3] = options.force;
  table[4] = options.revision;
  table[5] = options.wait;
  lt_arguments_init (&options.common, table + 6);
  if (lt_arguments_parse (&options.common, table, 6 + LT_N_COMMON_ARGUMENTS, argc, argv,
                          "Deletes one resource.", &code))
    code = delete_resource (&options);
  arg_freetable (table, 6 + LT_N_COMMON_ARGUMENTS);
  return code;
}
