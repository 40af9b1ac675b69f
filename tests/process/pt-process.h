#ifndef PT_PROCESS_H
#define PT_PROCESS_H

#include "lb-types.h"

#include <sys/types.h>

#define PT_MAX_ARGS 32

/* A child process that runs a program of the build. It is killed when the test ends. */
typedef struct
{
  pid_t pid;     /* 0: not started */
  int output_fd; /* read end of the pipe from its standard output; non-blocking */
  char *output;  /* standard output read so far, NUL-terminated */
  size_t output_length;
  int status; /* from waitpid; valid once ended is true */
  bool ended;
} PtProcess;

/* Starts the program build/bin/argv[0]; its standard error is appended to log_path. */
void pt_process_start (PtProcess *process, const char *const *argv, const char *log_path);
/* Kills the process if it still runs, and frees its output. */
void pt_process_clear (PtProcess *process);
void pt_process_signal (const PtProcess *process, int signal_number);
/* Reads pending output and reaps the process if it has ended; does not block. */
void pt_process_poll (PtProcess *process);

bool pt_process_has_exited (const PtProcess *process, int code);

#endif
