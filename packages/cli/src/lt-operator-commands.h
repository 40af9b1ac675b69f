#ifndef LT_OPERATOR_COMMANDS_H
#define LT_OPERATOR_COMMANDS_H

/* Subcommands that call an instance; each is the run function of an LtCommand. */
int lt_apply_run (int argc, char **argv);
int lt_delete_run (int argc, char **argv);
int lt_get_run (int argc, char **argv);
int lt_diff_run (int argc, char **argv);
int lt_watch_run (int argc, char **argv);
int lt_history_run (int argc, char **argv);
int lt_status_run (int argc, char **argv);

#endif
