#ifndef LT_LOCAL_COMMANDS_H
#define LT_LOCAL_COMMANDS_H

/* Subcommands that call no instance: simulations, measurements and log analysis. Each is the run
 * function of an LtCommand. */
int lt_bench_run (int argc, char **argv);
int lt_cost_run (int argc, char **argv);
int lt_replay_run (int argc, char **argv);
int lt_soak_run (int argc, char **argv);
int lt_explain_run (int argc, char **argv);

#endif
