#ifndef PT_PROCESS_H
#define PT_PROCESS_H

#include "lb-types.h"

#include <sys/types.h>

#define PT_MAX_ARGS 32

/* A program of the build that a test started. It dies with the test. */
typedef struct
{
  pid_t pid;     /* 0: not running */
  int output_fd; /* its standard output */
  char *output;  /* what it has written there so far */
  size_t output_length;
  int status; /* of waitpid, once it has ended */
  bool ended;
} PtProcess;

/* argv[0] is the name of a program in build/bin; standard error goes to the file log. */
void pt_process_start (PtProcess *process, const char *const *argv, const char *log);
/* Kills it when it still runs. */
void pt_process_clear (PtProcess *process);
void pt_process_signal (const PtProcess *process, int number);
/* Reads what it has written and whether it has ended; does not block. */
void pt_process_poll (PtProcess *process);

bool pt_process_has_exited (const PtProcess *process, int code);

#endif
