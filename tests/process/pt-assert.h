#ifndef PT_ASSERT_H
#define PT_ASSERT_H

#include <stdio.h>
#include <stdlib.h>

/* Assertions for test helpers that also run in programs without Criterion. A failure prints the
 * condition to standard error and aborts. */
#define PT_ASSERT(condition) PT_ASSERT_MSG (condition, "%s", "")

#define PT_ASSERT_MSG(condition, ...)                                                              \
  do                                                                                               \
    {                                                                                              \
      if (!(condition))                                                                            \
        {                                                                                          \
          fprintf (stderr, "%s:%d: assertion failed: %s ", __FILE__, __LINE__, #condition);        \
          fprintf (stderr, __VA_ARGS__);                                                           \
          fputc ('\n', stderr);                                                                    \
          abort ();                                                                                \
        }                                                                                          \
    }                                                                                              \
  while (false)

#endif
