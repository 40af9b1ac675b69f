#ifndef LT_LOCAL_COMMANDS_H
#define LT_LOCAL_COMMANDS_H

/* This header declares the subcommands that don't connect to an instance: simulations, measurements
 * and log analysis. Each function parses argv and returns the exit code. */
int lt_run_bench_command (int argc, char **argv);
int lt_run_cost_command (int argc, char **argv);
int lt_run_replay_command (int argc, char **argv);
int lt_run_soak_command (int argc, char **argv);
int lt_run_explain_command (int argc, char **argv);

#endif
