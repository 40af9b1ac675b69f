#ifndef PT_ASSERT_H
#define PT_ASSERT_H

#include <stdio.h>
#include <stdlib.h>

/* Assertions for helpers that also run outside Criterion tests; failures are printed to standard
 * error. */
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
