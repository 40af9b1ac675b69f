#include "sk-watchdog.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static const SkWorld *watched_world;
static const char *current_phase = "the start";
static char report_start[96];

static void
write_text (const char *text)
{
  ssize_t written = write (STDOUT_FILENO, text, strlen (text));

  (void)written;
}

/* Saves what the instance's process has written so far. */
static void
save_output (const SkInstance *instance)
{
  const int directory = open (watched_world->directory, O_DIRECTORY | O_CLOEXEC);
  const int file = openat (directory, instance->name, O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  ssize_t written = 0;

  if (file >= 0)
    written = write (file, instance->process.output, instance->process.output_length);
  (void)written;
  close (file);
  close (directory);
}

/* Calls only functions that are safe in a signal handler. */
static void
on_time_limit (int signal_number)
{
  (void)signal_number;
  write_text (report_start);
  write_text (current_phase);
  write_text (" (logs in ");
  write_text (watched_world->directory);
  write_text (")\n");
  for (size_t i = 0; i < watched_world->n_instances; i++)
    {
      const SkInstance *instance = &watched_world->instances[i];
      if (instance->process.pid <= 0)
        continue;
      kill (instance->process.pid, SIGKILL);
      save_output (instance);
    }
  _exit (1);
}

void
sk_watchdog_start (const SkWorld *world, uint64_t seed, LbTime limit)
{
  const unsigned seconds = (unsigned)(limit / LB_SEC);

  watched_world = world;
  snprintf (report_start, sizeof report_start,
            "BROKEN seed %llu: the run ends in time: after %u s it still waits for ",
            (unsigned long long)seed, seconds);
  signal (SIGALRM, on_time_limit);
  alarm (seconds);
}

void
sk_watchdog_stop (void)
{
  alarm (0);
}

void
sk_watchdog_set_phase (const char *phase)
{
  current_phase = phase;
}
