#ifndef LT_BENCH_H
#define LT_BENCH_H

int lt_bench_run (int argc, char **argv);

#endif
