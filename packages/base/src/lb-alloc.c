#include "lb-alloc.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
abort_if_out_of_memory (void *memory)
{
  if (!memory)
    {
      fputs ("out of memory\n", stderr);
      abort ();
    }
  return memory;
}

void *
lb_malloc (size_t size)
{
  return abort_if_out_of_memory (malloc (size ? size : 1));
}

void *
lb_calloc (size_t count, size_t size)
{
  return abort_if_out_of_memory (calloc (count ? count : 1, size ? size : 1));
}

void *
lb_realloc (void *memory, size_t size)
{
  return abort_if_out_of_memory (realloc (memory, size ? size : 1));
}

void *
lb_memdup (const void *memory, size_t size)
{
  void *copy = lb_malloc (size);

  if (size > 0)
    memcpy (copy, memory, size);
  return copy;
}

char *
lb_strdup (const char *text)
{
  return abort_if_out_of_memory (strdup (text));
}

char *
lb_strndup (const char *text, size_t length)
{
  return abort_if_out_of_memory (strndup (text, length));
}

char *
lb_asprintf (const char *format, ...)
{
  char *text = NULL;
  va_list args;

  va_start (args, format);
  int length = vasprintf (&text, format, args);
  va_end (args);
  return abort_if_out_of_memory (length < 0 ? NULL : text);
}

size_t
lb_strlcpy (char *target, const char *text, size_t size)
{
  size_t length = strlen (text);
  size_t copied = length < size ? length : size - 1;

  memcpy (target, text, copied);
  target[copied] = '\0';
  return length;
}
