#include "pt-process.h"

#include "pt-assert.h"

#include "lb-alloc.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static void
exec_program (const char *const *argv, const char *log_path, int stdout_fd)
{
  char *program_path = lb_asprintf ("%s/%s", PT_BIN, argv[0]);
  int log_fd = open (log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

  /* The kernel kills this child when the test process ends, even if the test crashes. */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  signal (SIGPIPE, SIG_DFL);
  dup2 (stdout_fd, STDOUT_FILENO);
  dup2 (log_fd, STDERR_FILENO);
  execv (program_path, (char *const *)argv);
  _exit (127);
}

void
pt_process_start (PtProcess *process, const char *const *argv, const char *log_path)
{
  int pipe_fds[2];

  memset (process, 0, sizeof *process);
  PT_ASSERT (pipe2 (pipe_fds, O_CLOEXEC) == 0);
  process->pid = fork ();
  PT_ASSERT (process->pid >= 0);
  if (process->pid == 0)
    exec_program (argv, log_path, pipe_fds[1]);
  close (pipe_fds[1]);
  fcntl (pipe_fds[0], F_SETFL, O_NONBLOCK);
  process->output_fd = pipe_fds[0];
  process->output = lb_strdup ("");
}

void
pt_process_clear (PtProcess *process)
{
  if (process->pid == 0)
    return;
  if (!process->ended)
    {
      kill (process->pid, SIGKILL);
      waitpid (process->pid, &process->status, 0);
    }
  close (process->output_fd);
  free (process->output);
  memset (process, 0, sizeof *process);
}

void
pt_process_signal (const PtProcess *process, int signal_number)
{
  PT_ASSERT (process->pid > 0 && !process->ended);
  PT_ASSERT (kill (process->pid, signal_number) == 0);
}

static void
read_process_output (PtProcess *process)
{
  char buffer[4096];
  ssize_t n;

  while ((n = read (process->output_fd, buffer, sizeof buffer)) > 0)
    {
      process->output = lb_realloc (process->output, process->output_length + (size_t)n + 1);
      memcpy (process->output + process->output_length, buffer, (size_t)n);
      process->output_length += (size_t)n;
      process->output[process->output_length] = '\0';
    }
}

void
pt_process_poll (PtProcess *process)
{
  if (process->pid > 0 && !process->ended)
    process->ended = waitpid (process->pid, &process->status, WNOHANG) == process->pid;
  if (process->pid > 0)
    read_process_output (process);
}

bool
pt_process_has_exited (const PtProcess *process, int code)
{
  return process->ended && WIFEXITED (process->status) && WEXITSTATUS (process->status) == code;
}
