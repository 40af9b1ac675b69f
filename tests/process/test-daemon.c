#include "pt-process.h"

#include "lb-clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PATIENCE (30 * LB_SEC)

/* Runs a program to its end: its exit code, and what it wrote on standard output when `output`
 * is given. */
static int
run_to_end (const char *const *argv, const char *log, char *output, size_t size)
{
  PtProcess process = { 0 };
  LbTime end = lb_clock_monotonic () + PATIENCE;
  int code = -1;

  pt_process_start (&process, argv, log);
  while (!process.ended && lb_clock_monotonic () < end)
    {
      pt_process_poll (&process);
      usleep (2000);
    }
  for (int i = 0; i < 4; i++)
    if (pt_process_has_exited (&process, i))
      code = i;
  if (output)
    snprintf (output, size, "%s", process.output ? process.output : "");
  pt_process_clear (&process);
  return code;
}

static int
exit_code_of (const char *const *argv, const char *log)
{
  return run_to_end (argv, log, NULL, 0);
}

static void
read_file (const char *path, char *text, size_t size)
{
  FILE *in = fopen (path, "r");
  size_t length = in ? fread (text, 1, size - 1, in) : 0;

  text[length] = '\0';
  if (in)
    fclose (in);
}

static void
write_file (const char *path, const char *text)
{
  FILE *out = fopen (path, "w");

  cr_assert (out);
  fputs (text, out);
  fclose (out);
}

Test (daemon, options_and_settings_have_the_usual_exit_codes)
{
  char folder[] = "/tmp/lentilspindle-daemon-XXXXXX";
  char settings[64], log[64], text[1024];

  cr_assert (mkdtemp (folder));
  snprintf (settings, sizeof settings, "%s/settings.json", folder);
  snprintf (log, sizeof log, "%s/log", folder);
  cr_assert_eq (exit_code_of ((const char *[]){ "lentilspindled", "--help", NULL }, log), 0);
  cr_assert_eq (exit_code_of ((const char *[]){ "lentilspindled", "--version", NULL }, log), 0);
  cr_assert_eq (exit_code_of ((const char *[]){ "lentilspindled", "--nonsense", NULL }, log), 2);

  write_file (settings, "{ \"seed\": 1 } // good\n");
  const char *const check[] = { "lentilspindled", "--check", "--config", settings, NULL };
  const char *const run[] = { "lentilspindled", "--config", settings, NULL };
  cr_assert_eq (exit_code_of (check, log), 0);
  write_file (settings, "{\n  \"http\": { \"max_body\": 1 } }\n");
  cr_assert_eq (exit_code_of (check, log), 2);
  cr_assert_eq (exit_code_of (run, log), 2);
  read_file (log, text, sizeof text);
  cr_assert (strstr (text, "http.max_body"), "%s", text);
  cr_assert (strstr (text, settings), "%s", text);
  unlink (settings);
  cr_assert_eq (exit_code_of (run, log), 2);
  unlink (log);
  rmdir (folder);
}

/* The address that the settings name belongs to another process: the daemon says so in its log and
 * ends, instead of running on as an instance that no caller can reach. */
Test (daemon, address_in_use_ends_it)
{
  char folder[] = "/tmp/lentilspindle-daemon-XXXXXX";
  char settings[64], log[64], text[1024], line[128];
  PtProcess first = { 0 };
  int port = 0;

  cr_assert (mkdtemp (folder));
  snprintf (settings, sizeof settings, "%s/settings.json", folder);
  snprintf (log, sizeof log, "%s/log", folder);
  pt_process_start (&first, (const char *[]){ "standin-service", "--port=0", NULL }, log);
  LbTime end = lb_clock_monotonic () + PATIENCE;
  while ((!first.output || !strchr (first.output, '\n')) && lb_clock_monotonic () < end)
    {
      pt_process_poll (&first);
      usleep (2000);
    }
  cr_assert (first.output);
  const char *address = strstr (first.output, "127.0.0.1:");
  cr_assert (address);
  port = atoi (address + strlen ("127.0.0.1:"));
  snprintf (line, sizeof line, "{\"instance\": {\"caller_address\": \"127.0.0.1:%d\"}}", port);
  write_file (settings, line);
  const char *const second[] = { "lentilspindled", "--config", settings, NULL };
  cr_assert_eq (run_to_end (second, log, text, sizeof text), 1);
  cr_assert (strstr (text, "front_cannot_listen"), "%s", text);
  pt_process_clear (&first);
  unlink (settings);
  unlink (log);
  rmdir (folder);
}
