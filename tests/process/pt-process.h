#ifndef PT_PROCESS_H
#define PT_PROCESS_H

#include "lb-types.h"

#include <sys/types.h>

#define PT_MAX_ARGS 32

/* A child process that runs a program of the build. The kernel kills it when the test process
 * ends. */
typedef struct
{
  pid_t pid;     /* process id; 0: the process was not started, or was cleared */
  int output_fd; /* read end of the pipe from the child's standard output; non-blocking */
  char *output;  /* standard output received until the last poll, NUL-terminated */
  size_t output_length;
  int status; /* wait status from waitpid; valid if ended is true */
  bool ended; /* the child has ended and was reaped */
} PtProcess;

/* Starts the program build/bin/argv[0] and appends its standard error to the file log_path. */
void pt_process_start (PtProcess *process, const char *const *argv, const char *log_path);
/* Kills the process if it is running, reaps it and frees its output. */
void pt_process_clear (PtProcess *process);
void pt_process_signal (const PtProcess *process, int signal_number);
/* Reads available output into process->output and reaps the process if it has ended. Never
 * blocks. */
void pt_process_poll (PtProcess *process);

/* Returns whether the process has exited by itself with this exit code. */
bool pt_process_has_exited (const PtProcess *process, int code);

#endif
