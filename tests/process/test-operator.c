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
static char errors[4096]; /* what the last command wrote to standard error */
static char *output;      /* and to standard output */

static void
setup (void)
{
  pt_cluster_init (&test_cluster);
  test_cluster.has_memory_platform = true;
  instance = pt_start_instance (&test_cluster, "i1", "hall-a");
  pt_wait_ready (&test_cluster, instance);
}

static void
teardown (void)
{
  free (output);
  output = NULL;
  pt_cluster_clear (&test_cluster);
}

TestSuite (operator, .init = setup, .fini = teardown);

static char *
file_of (const char *name)
{
  return lb_asprintf ("%s/%s", test_cluster.folder, name);
}

static void
write_file (const char *name, const char *text)
{
  char *path = file_of (name);
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

/* Runs `lentilspindle WORDS...` against the instance; its exit code. A word that begins with '@' is
 * a file of the test's folder. */
static int
run (const char *words)
{
  const char *argv[MAX_ARGS] = { "lentilspindle" };
  size_t n = 1;
  char *copy = lb_strdup (words);
  char *paths[MAX_ARGS] = { NULL };
  char *log = file_of ("errors");
  PtProcess process;

  for (char *word = strtok (copy, " "); word; word = strtok (NULL, " "))
    {
      paths[n] = word[0] == '@' ? file_of (word + 1) : lb_strdup (word);
      argv[n] = paths[n];
      n++;
    }
  remove (log);
  setenv ("LENTILSPINDLE_ADDRESS", instance->address, 1);
  pt_process_start (&process, argv, log);
  pt_wait (&test_cluster, "the command ends", has_ended, &process);
  int code = WIFEXITED (process.status) ? WEXITSTATUS (process.status) : -1;
  free (output);
  output = lb_strdup (process.output);
  FILE *in = fopen (log, "r");
  size_t length = in ? fread (errors, 1, sizeof errors - 1, in) : 0;
  errors[length] = '\0';
  if (in)
    fclose (in);
  pt_process_clear (&process);
  for (size_t i = 0; i < MAX_ARGS; i++)
    free (paths[i]);
  free (copy);
  free (log);
  return code;
}

static void
assert_has (const char *text, const char *part)
{
  cr_assert_not_null (strstr (text, part), "no '%s' in: %s", part, text);
}

Test (operator, applies_looks_and_deletes)
{
  setenv ("LENTILSPINDLE_TOKEN", PT_OPERATOR_TOKEN, 1);
  write_file ("pool.json",
              "{ /* a pool */ \"resources\": [{\"kind\": \"pool\", \"name\": \"p\"}]}");
  cr_assert_eq (run ("diff -f @pool.json"), 1, "%s", errors);
  assert_has (output, "+ pool/p");
  cr_assert_eq (run ("apply --dry-run -f @pool.json"), 0, "%s", errors);
  cr_assert_eq (run ("get pool p"), 1);
  assert_has (errors, "unknown_resource");
  cr_assert_eq (run ("apply -f @pool.json --wait 30"), 0, "%s", errors);
  assert_has (output, "accepted as revision 1");
  cr_assert_eq (run ("diff -f @pool.json"), 0, "%s", errors);
  cr_assert_eq (run ("get -o json pool p"), 0, "%s", errors);
  assert_has (output, "\"queue_limit\": 4096");
  cr_assert_eq (run ("delete pool p"), 0, "%s", errors);
  cr_assert_eq (run ("history"), 0, "%s", errors);
  assert_has (output, "\"delete\"");
  cr_assert_eq (run ("watch --once"), 0, "%s", errors);
  assert_has (output, "revision 2 in force on 1 of 1");
  cr_assert_eq (run ("status"), 0, "%s", errors);
  assert_has (output, "name=i1 revision=2");
}

/* An operator looked at revision 0, another one applied since. The file is not applied over it. */
Test (operator, old_revision_is_a_conflict)
{
  setenv ("LENTILSPINDLE_TOKEN", PT_OPERATOR_TOKEN, 1);
  write_file ("pool.json", "{\"resources\": [{\"kind\": \"pool\", \"name\": \"p\"}]}");
  cr_assert_eq (run ("apply -f @pool.json"), 0, "%s", errors);
  cr_assert_eq (run ("apply -f @pool.json --revision 0"), 1);
  assert_has (errors, "conflict");
  assert_has (errors, "revision 1 is accepted now");
  cr_assert_eq (run ("apply -f @pool.json --force"), 0, "%s", errors);
}

Test (operator, faults_have_a_line_and_an_exit_code)
{
  setenv ("LENTILSPINDLE_TOKEN", PT_OPERATOR_TOKEN, 1);
  cr_assert_eq (run ("apply"), 2);
  cr_assert_eq (run ("get --no-such-option"), 2);
  cr_assert_eq (run ("no-such-command"), 2);
  cr_assert_eq (run ("get -o xml"), 2);
  cr_assert_eq (run ("apply --help"), 0);
  cr_assert_eq (run ("apply -f @absent.json"), 2);
  assert_has (errors, "absent.json");
  write_file ("bad.json", "{\"resources\": [\n  {]}");
  cr_assert_eq (run ("apply -f @bad.json"), 2);
  assert_has (errors, "bad.json:2:4");
  write_file ("wrong.json",
              "{\"resources\": [{\"kind\": \"pool\", \"name\": \"p\", \"live_reserve\": 7}]}");
  cr_assert_eq (run ("apply -f @wrong.json"), 2);
  assert_has (errors, "wrong.json: pool/p: live_reserve: out_of_range");

  setenv ("LENTILSPINDLE_TOKEN", "wrong", 1);
  cr_assert_eq (run ("get"), 1);
  assert_has (errors, "unauthorized");
  cr_assert_eq (run ("get --address 127.0.0.1:1"), 1);
  assert_has (errors, "no reply");
}
