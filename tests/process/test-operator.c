#include "pt-cluster.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define MAX_COMMAND_ARGS 16

static PtCluster test_cluster;
static PtProgram *instance;
static char stderr_text[4096]; /* standard error of the latest command */
static char *stdout_text;      /* standard output of the latest command */

static void
start_test_instance (void)
{
  pt_cluster_init (&test_cluster);
  test_cluster.has_memory_platform = true;
  instance = pt_start_instance (&test_cluster, "i1", "hall-a");
  pt_wait_until_instance_ready (&test_cluster, instance);
}

static void
clear_test_cluster (void)
{
  free (stdout_text);
  stdout_text = NULL;
  pt_cluster_clear (&test_cluster);
}

TestSuite (operator, .init = start_test_instance, .fini = clear_test_cluster);

static char *
make_path_in_test_folder (const char *name)
{
  return lb_asprintf ("%s/%s", test_cluster.folder, name);
}

static void
write_file_in_test_folder (const char *name, const char *text)
{
  char *path = make_path_in_test_folder (name);
  FILE *out = fopen (path, "w");

  cr_assert_not_null (out);
  fputs (text, out);
  fclose (out);
  free (path);
}

static bool
has_process_ended (PtCluster *cluster, void *user)
{
  (void)cluster;
  PtProcess *process = user;

  pt_process_poll (process);
  return process->ended;
}

/* Runs `lentilspindle ARGUMENTS` against the instance and returns the exit code; -1: killed by a
 * signal. An argument "@NAME" becomes the path of file NAME in the test's folder. */
static int
run_operator_command (const char *arguments)
{
  const char *argv[MAX_COMMAND_ARGS] = { "lentilspindle" };
  size_t n = 1;
  char *copy = lb_strdup (arguments);
  char *paths[MAX_COMMAND_ARGS] = { NULL };
  char *log_path = make_path_in_test_folder ("errors");
  PtProcess process;

  for (char *argument = strtok (copy, " "); argument; argument = strtok (NULL, " "))
    {
      paths[n]
          = argument[0] == '@' ? make_path_in_test_folder (argument + 1) : lb_strdup (argument);
      argv[n] = paths[n];
      n++;
    }
  remove (log_path);
  setenv ("LENTILSPINDLE_ADDRESS", instance->address, 1);
  pt_process_start (&process, argv, log_path);
  pt_wait_until (&test_cluster, "the command ends", has_process_ended, &process);
  int exit_code = WIFEXITED (process.status) ? WEXITSTATUS (process.status) : -1;
  free (stdout_text);
  stdout_text = lb_strdup (process.output);
  FILE *log = fopen (log_path, "r");
  size_t length = log ? fread (stderr_text, 1, sizeof stderr_text - 1, log) : 0;
  stderr_text[length] = '\0';
  if (log)
    fclose (log);
  pt_process_clear (&process);
  for (size_t i = 0; i < MAX_COMMAND_ARGS; i++)
    free (paths[i]);
  free (copy);
  free (log_path);
  return exit_code;
}

static void
assert_text_contains (const char *text, const char *expected)
{
  cr_assert_not_null (strstr (text, expected), "expected text '%s', got: %s", expected, text);
}

Test (operator, apply_get_and_delete_a_resource)
{
  setenv ("LENTILSPINDLE_TOKEN", PT_OPERATOR_TOKEN, 1);
  write_file_in_test_folder (
      "pool.json", "{ /* a pool */ \"resources\": [{\"kind\": \"pool\", \"name\": \"p\"}]}");
  cr_assert_eq (run_operator_command ("diff -f @pool.json"), 1,
                "expected exit code 1; standard error: %s", stderr_text);
  assert_text_contains (stdout_text, "+ pool/p");
  cr_assert_eq (run_operator_command ("apply --dry-run -f @pool.json"), 0,
                "expected exit code 0; standard error: %s", stderr_text);
  cr_assert_eq (run_operator_command ("get pool p"), 1);
  assert_text_contains (stderr_text, "unknown_resource");
  cr_assert_eq (run_operator_command ("apply -f @pool.json --wait 30"), 0,
                "expected exit code 0; standard error: %s", stderr_text);
  assert_text_contains (stdout_text, "accepted as revision 1");
  cr_assert_eq (run_operator_command ("diff -f @pool.json"), 0,
                "expected exit code 0; standard error: %s", stderr_text);
  cr_assert_eq (run_operator_command ("get -o json pool p"), 0,
                "expected exit code 0; standard error: %s", stderr_text);
  assert_text_contains (stdout_text, "\"queue_limit\": 4096");
  cr_assert_eq (run_operator_command ("delete pool p"), 0,
                "expected exit code 0; standard error: %s", stderr_text);
  cr_assert_eq (run_operator_command ("history"), 0, "expected exit code 0; standard error: %s",
                stderr_text);
  assert_text_contains (stdout_text, "\"delete\"");
  cr_assert_eq (run_operator_command ("watch --once"), 0,
                "expected exit code 0; standard error: %s", stderr_text);
  assert_text_contains (stdout_text, "revision 2 in force on 1 of 1");
  cr_assert_eq (run_operator_command ("status"), 0, "expected exit code 0; standard error: %s",
                stderr_text);
  assert_text_contains (stdout_text, "name=i1 revision=2");
}

/* An operator applies a file with --revision 0, but revision 1 was accepted in between. The command
 * must fail with a conflict, or it would overwrite the other change. */
Test (operator, apply_on_an_old_revision_is_a_conflict)
{
  setenv ("LENTILSPINDLE_TOKEN", PT_OPERATOR_TOKEN, 1);
  write_file_in_test_folder ("pool.json",
                             "{\"resources\": [{\"kind\": \"pool\", \"name\": \"p\"}]}");
  cr_assert_eq (run_operator_command ("apply -f @pool.json"), 0,
                "expected exit code 0; standard error: %s", stderr_text);
  cr_assert_eq (run_operator_command ("apply -f @pool.json --revision 0"), 1);
  assert_text_contains (stderr_text, "conflict");
  assert_text_contains (stderr_text, "revision 1 is accepted now");
  cr_assert_eq (run_operator_command ("apply -f @pool.json --force"), 0,
                "expected exit code 0; standard error: %s", stderr_text);
}

Test (operator, errors_have_a_location_and_an_exit_code)
{
  setenv ("LENTILSPINDLE_TOKEN", PT_OPERATOR_TOKEN, 1);
  cr_assert_eq (run_operator_command ("apply"), 2);
  cr_assert_eq (run_operator_command ("get --no-such-option"), 2);
  cr_assert_eq (run_operator_command ("no-such-command"), 2);
  cr_assert_eq (run_operator_command ("get -o xml"), 2);
  cr_assert_eq (run_operator_command ("apply --help"), 0);
  cr_assert_eq (run_operator_command ("apply -f @absent.json"), 2);
  assert_text_contains (stderr_text, "absent.json");
  write_file_in_test_folder ("bad.json", "{\"resources\": [\n  {]}");
  cr_assert_eq (run_operator_command ("apply -f @bad.json"), 2);
  assert_text_contains (stderr_text, "bad.json:2:4");
  write_file_in_test_folder (
      "wrong.json",
      "{\"resources\": [{\"kind\": \"pool\", \"name\": \"p\", \"live_reserve\": 7}]}");
  cr_assert_eq (run_operator_command ("apply -f @wrong.json"), 2);
  assert_text_contains (stderr_text, "wrong.json: pool/p: live_reserve: out_of_range");

  setenv ("LENTILSPINDLE_TOKEN", "wrong", 1);
  cr_assert_eq (run_operator_command ("get"), 1);
  assert_text_contains (stderr_text, "unauthorized");
  cr_assert_eq (run_operator_command ("get --address 127.0.0.1:1"), 1);
  assert_text_contains (stderr_text, "no reply");
}
