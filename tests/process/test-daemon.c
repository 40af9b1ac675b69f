#include "pt-process.h"

#include "lb-clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PROGRAM_TIMEOUT (30 * LB_SEC)

/* Runs a program and returns its exit code; -1: it did not exit with a code of 0 to 3 within
 * PROGRAM_TIMEOUT. Copies its standard output to `output`, unless `output` is NULL. */
static int
run_program_until_exit (const char *const *argv, const char *log_path, char *output, size_t size)
{
  PtProcess process = { 0 };
  LbTime end = lb_clock_monotonic () + PROGRAM_TIMEOUT;
  int exit_code = -1;

  pt_process_start (&process, argv, log_path);
  while (!process.ended && lb_clock_monotonic () < end)
    {
      pt_process_poll (&process);
      usleep (2000);
    }
  for (int i = 0; i < 4; i++)
    if (pt_process_has_exited (&process, i))
      exit_code = i;
  if (output)
    snprintf (output, size, "%s", process.output ? process.output : "");
  pt_process_clear (&process);
  return exit_code;
}

static int
run_program_for_exit_code (const char *const *argv, const char *log_path)
{
  return run_program_until_exit (argv, log_path, NULL, 0);
}

static void
read_text_file (const char *path, char *text, size_t size)
{
  FILE *in = fopen (path, "r");
  size_t length = in ? fread (text, 1, size - 1, in) : 0;

  text[length] = '\0';
  if (in)
    fclose (in);
}

static void
write_text_file (const char *path, const char *text)
{
  FILE *out = fopen (path, "w");

  cr_assert (out);
  fputs (text, out);
  fclose (out);
}

Test (daemon, exit_code_is_0_for_valid_and_2_for_invalid_options_or_settings)
{
  char folder[] = "/tmp/lentilspindle-daemon-XXXXXX";
  char settings_path[64], log_path[64], text[1024];

  cr_assert (mkdtemp (folder));
  snprintf (settings_path, sizeof settings_path, "%s/settings.json", folder);
  snprintf (log_path, sizeof log_path, "%s/log", folder);
  cr_assert_eq (run_program_for_exit_code ((const char *[]){ "lentilspindled", "--help", NULL },
                                           log_path),
                0);
  cr_assert_eq (run_program_for_exit_code ((const char *[]){ "lentilspindled", "--version", NULL },
                                           log_path),
                0);
  cr_assert_eq (run_program_for_exit_code ((const char *[]){ "lentilspindled", "--nonsense", NULL },
                                           log_path),
                2);

  write_text_file (settings_path, "{ \"seed\": 1 } // good\n");
  const char *const check[] = { "lentilspindled", "--check", "--config", settings_path, NULL };
  const char *const run[] = { "lentilspindled", "--config", settings_path, NULL };
  cr_assert_eq (run_program_for_exit_code (check, log_path), 0);
  write_text_file (settings_path, "{\n  \"http\": { \"max_body\": 1 } }\n");
  cr_assert_eq (run_program_for_exit_code (check, log_path), 2);
  cr_assert_eq (run_program_for_exit_code (run, log_path), 2);
  read_text_file (log_path, text, sizeof text);
  cr_assert (strstr (text, "http.max_body"), "expected http.max_body in the log, got %s", text);
  cr_assert (strstr (text, settings_path), "expected the path of the settings in the log, got %s",
             text);
  unlink (settings_path);
  cr_assert_eq (run_program_for_exit_code (run, log_path), 2);
  unlink (log_path);
  rmdir (folder);
}

/* Another process listens on the caller address of the settings. The daemon must log an error and
 * exit with 1. If it kept running, no caller could reach it. */
Test (daemon, address_in_use_is_a_start_failure)
{
  char folder[] = "/tmp/lentilspindle-daemon-XXXXXX";
  char settings_path[64], log_path[64], text[1024], address_settings[128];
  PtProcess port_owner = { 0 };
  int port = 0;

  cr_assert (mkdtemp (folder));
  snprintf (settings_path, sizeof settings_path, "%s/settings.json", folder);
  snprintf (log_path, sizeof log_path, "%s/log", folder);
  pt_process_start (&port_owner, (const char *[]){ "standin-service", "--port=0", NULL }, log_path);
  LbTime end = lb_clock_monotonic () + PROGRAM_TIMEOUT;
  while ((!port_owner.output || !strchr (port_owner.output, '\n')) && lb_clock_monotonic () < end)
    {
      pt_process_poll (&port_owner);
      usleep (2000);
    }
  cr_assert (port_owner.output);
  const char *address = strstr (port_owner.output, "127.0.0.1:");
  cr_assert (address);
  port = atoi (address + strlen ("127.0.0.1:"));
  snprintf (address_settings, sizeof address_settings,
            "{\"instance\": {\"caller_address\": \"127.0.0.1:%d\"}}", port);
  write_text_file (settings_path, address_settings);
  const char *const daemon_argv[] = { "lentilspindled", "--config", settings_path, NULL };
  cr_assert_eq (run_program_until_exit (daemon_argv, log_path, text, sizeof text), 1);
  cr_assert (strstr (text, "front_cannot_listen"),
             "expected event front_cannot_listen in the log, got %s", text);
  pt_process_clear (&port_owner);
  unlink (settings_path);
  unlink (log_path);
  rmdir (folder);
}
