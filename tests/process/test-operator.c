#include "pt-cluster.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define MAX_ARGS 16

static PtCluster test_cluster;
static PtProgram *instance;
static char stderr_text[4096]; /* standard error of the last command */
static char *stdout_text;      /* standard output of the last command */

static void
setup (void)
{
  pt_cluster_init (&test_cluster);
  test_cluster.has_memory_platform = true;
  instance = pt_start_instance (&test_cluster, "i1", "hall-a");
  pt_wait_until_ready (&test_cluster, instance);
}

static void
teardown (void)
{
  free (stdout_text);
  stdout_text = NULL;
  pt_cluster_clear (&test_cluster);
}

TestSuite (operator, .init = setup, .fini = teardown);

static char *
path_in_folder (const char *name)
{
  return lb_asprintf ("%s/%s", test_cluster.folder, name);
}

static void
write_file (const char *name, const char *text)
{
  char *path = path_in_folder (name);
  FILE *out = fopen (path, "w");

  cr_assert_not_null (out);
  fputs (text, out);
  fclose (out);
  free (path);
}

static bool
has_ended (PtCluster *cluster, void *user)
{
  (void)cluster;
  PtProcess *process = user;

  pt_process_poll (process);
  return process->ended;
}

/* Runs `lentilspindle ARGUMENTS...` against the instance and returns its exit code. An argument
 * that begins with '@' names a file in the test's folder. */
static int
run_command (const char *arguments)
{
  const char *argv[MAX_ARGS] = { "lentilspindle" };
  size_t n = 1;
  char *copy = lb_strdup (arguments);
  char *paths[MAX_ARGS] = { NULL };
  char *log_path = path_in_folder ("errors");
  PtProcess process;

  for (char *argument = strtok (copy, " "); argument; argument = strtok (NULL, " "))
    {
      paths[n] = argument[0] == '@' ? path_in_folder (argument + 1) : lb_strdup (argument);
      argv[n] = paths[n];
      n++;
    }
  remove (log_path);
  setenv ("LENTILSPINDLE_ADDRESS", instance->address, 1);
  pt_process_start (&process, argv, log_path);
  pt_wait_until (&test_cluster, "the command ends", has_ended, &process);
  int exit_code = WIFEXITED (process.status) ? WEXITSTATUS (process.status) : -1;
  free (stdout_text);
  stdout_text = lb_strdup (process.output);
  FILE *log = fopen (log_path, "r");
  size_t length = log ? fread (stderr_text, 1, sizeof stderr_text - 1, log) : 0;
  stderr_text[length] = '\0';
  if (log)
    fclose (log);
  pt_process_clear (&process);
  for (size_t i = 0; i < MAX_ARGS; i++)
    free (paths[i]);
  free (copy);
  free (log_path);
  return exit_code;
}

static void
assert_contains (const char *text, const char *expected)
{
  cr_assert_not_null (strstr (text, expected), "expected '%s' in: %s", expected, text);
}

Test (operator, apply_get_and_delete_a_resource)
{
  setenv ("LENTILSPINDLE_TOKEN", PT_OPERATOR_TOKEN, 1);
  write_file ("pool.json",
              "{ /* a pool */ \"resources\": [{\"kind\": \"pool\", \"name\": \"p\"}]}");
  cr_assert_eq (run_command ("diff -f @pool.json"), 1, "%s", stderr_text);
  assert_contains (stdout_text, "+ pool/p");
  cr_assert_eq (run_command ("apply --dry-run -f @pool.json"), 0, "%s", stderr_text);
  cr_assert_eq (run_command ("get pool p"), 1);
  assert_contains (stderr_text, "unknown_resource");
  cr_assert_eq (run_command ("apply -f @pool.json --wait 30"), 0, "%s", stderr_text);
  assert_contains (stdout_text, "accepted as revision 1");
  cr_assert_eq (run_command ("diff -f @pool.json"), 0, "%s", stderr_text);
  cr_assert_eq (run_command ("get -o json pool p"), 0, "%s", stderr_text);
  assert_contains (stdout_text, "\"queue_limit\": 4096");
  cr_assert_eq (run_command ("delete pool p"), 0, "%s", stderr_text);
  cr_assert_eq (run_command ("history"), 0, "%s", stderr_text);
  assert_contains (stdout_text, "\"delete\"");
  cr_assert_eq (run_command ("watch --once"), 0, "%s", stderr_text);
  assert_contains (stdout_text, "revision 2 in force on 1 of 1");
  cr_assert_eq (run_command ("status"), 0, "%s", stderr_text);
  assert_contains (stdout_text, "name=i1 revision=2");
}

/* The file was based on revision 0, and another change was applied since: it must not overwrite
 * that change. */
Test (operator, apply_on_an_old_revision_is_a_conflict)
{
  setenv ("LENTILSPINDLE_TOKEN", PT_OPERATOR_TOKEN, 1);
  write_file ("pool.json", "{\"resources\": [{\"kind\": \"pool\", \"name\": \"p\"}]}");
  cr_assert_eq (run_command ("apply -f @pool.json"), 0, "%s", stderr_text);
  cr_assert_eq (run_command ("apply -f @pool.json --revision 0"), 1);
  assert_contains (stderr_text, "conflict");
  assert_contains (stderr_text, "revision 1 is accepted now");
  cr_assert_eq (run_command ("apply -f @pool.json --force"), 0, "%s", stderr_text);
}

Test (operator, errors_have_a_location_and_an_exit_code)
{
  setenv ("LENTILSPINDLE_TOKEN", PT_OPERATOR_TOKEN, 1);
  cr_assert_eq (run_command ("apply"), 2);
  cr_assert_eq (run_command ("get --no-such-option"), 2);
  cr_assert_eq (run_command ("no-such-command"), 2);
  cr_assert_eq (run_command ("get -o xml"), 2);
  cr_assert_eq (run_command ("apply --help"), 0);
  cr_assert_eq (run_command ("apply -f @absent.json"), 2);
  assert_contains (stderr_text, "absent.json");
  write_file ("bad.json", "{\"resources\": [\n  {]}");
  cr_assert_eq (run_command ("apply -f @bad.json"), 2);
  assert_contains (stderr_text, "bad.json:2:4");
  write_file ("wrong.json",
              "{\"resources\": [{\"kind\": \"pool\", \"name\": \"p\", \"live_reserve\": 7}]}");
  cr_assert_eq (run_command ("apply -f @wrong.json"), 2);
  assert_contains (stderr_text, "wrong.json: pool/p: live_reserve: out_of_range");

  setenv ("LENTILSPINDLE_TOKEN", "wrong", 1);
  cr_assert_eq (run_command ("get"), 1);
  assert_contains (stderr_text, "unauthorized");
  cr_assert_eq (run_command ("get --address 127.0.0.1:1"), 1);
  assert_contains (stderr_text, "no reply");
}
