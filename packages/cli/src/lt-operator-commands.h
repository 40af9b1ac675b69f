#ifndef LT_OPERATOR_COMMANDS_H
#define LT_OPERATOR_COMMANDS_H

/* This header declares the subcommands that call an instance over HTTP. Each function parses argv
 * and returns the exit code. */
int lt_run_apply_command (int argc, char **argv);
int lt_run_delete_command (int argc, char **argv);
int lt_run_get_command (int argc, char **argv);
int lt_run_diff_command (int argc, char **argv);
int lt_run_watch_command (int argc, char **argv);
int lt_run_history_command (int argc, char **argv);
int lt_run_status_command (int argc, char **argv);

#endif
