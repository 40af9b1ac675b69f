#include "lx-text.h"

#include "lb-alloc.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

void
lx_text_clear (LxText *text)
{
  free (text->segments);
  *text = (LxText){ 0 };
}

void
lx_text_append (LxText *text, uint64_t stream, int64_t first, int64_t count)
{
  if (text->n_segments > 0)
    {
      LxSegment *last = &text->segments[text->n_segments - 1];
      if (last->stream == stream && last->first + last->count == first)
        {
          last->count += count;
          return;
        }
    }
  text->segments = lb_realloc (text->segments, (text->n_segments + 1) * sizeof (LxSegment));
  text->segments[text->n_segments++]
      = (LxSegment){ .stream = stream, .first = first, .count = count };
}

void
lx_text_copy (LxText *target, const LxText *source)
{
  lx_text_clear (target);
  for (size_t i = 0; i < source->n_segments; i++)
    lx_text_append (target, source->segments[i].stream, source->segments[i].first,
                    source->segments[i].count);
}

void
lx_text_truncate (LxText *text, int64_t tokens)
{
  for (size_t i = 0; i < text->n_segments; i++)
    {
      if (text->segments[i].count > tokens)
        text->segments[i].count = tokens;
      tokens -= text->segments[i].count;
    }
  while (text->n_segments > 0 && text->segments[text->n_segments - 1].count == 0)
    text->n_segments--;
}

bool
lx_text_parse (LxText *text, const char *rendered)
{
  while (*rendered)
    {
      char *end;
      uint64_t stream = strtoull (rendered, &end, 10);
      if (*end != ':')
        return false;
      int64_t first = strtoll (end + 1, &end, 10);
      if (*end != ':')
        return false;
      int64_t count = strtoll (end + 1, &end, 10);
      if (*end != ';')
        return false;
      lx_text_append (text, stream, first, count);
      rendered = end + 1;
    }
  return true;
}

char *
lx_text_render (const LxText *text)
{
  char *rendered = lb_malloc (text->n_segments * 64 + 1);
  size_t length = 0;

  rendered[0] = '\0';
  for (size_t i = 0; i < text->n_segments; i++)
    length += (size_t)sprintf (rendered + length, "%" PRIu64 ":%" PRId64 ":%" PRId64 ";",
                               text->segments[i].stream, text->segments[i].first,
                               text->segments[i].count);
  return rendered;
}

int64_t
lx_text_count_tokens (const LxText *text)
{
  int64_t tokens = 0;

  for (size_t i = 0; i < text->n_segments; i++)
    tokens += text->segments[i].count;
  return tokens;
}

bool
lx_text_is_contiguous_from (const LxText *text, int64_t first)
{
  for (size_t i = 0; i < text->n_segments; i++)
    {
      if (text->segments[i].first != first)
        return false;
      first += text->segments[i].count;
    }
  return true;
}
