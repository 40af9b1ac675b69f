#ifndef LB_TYPES_H
#define LB_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Monotonic time or a duration, in microseconds. */
typedef int64_t LbTime;

#define LB_MSEC ((LbTime)1000)
#define LB_SEC ((LbTime)1000000)
#define LB_TIME_NEVER INT64_MAX

/* Name of an instance, endpoint, caller, pool etc., or an address: at most LB_NAME_MAX bytes with
 * the terminating NUL. */
#define LB_NAME_MAX 64
typedef char LbName[LB_NAME_MAX];

#endif
