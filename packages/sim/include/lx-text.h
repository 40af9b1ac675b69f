#ifndef LX_TEXT_H
#define LX_TEXT_H

#include "lb-types.h"

/* Which tokens of which engine stream an answer is made of. Fakes pass this in place of words, so
 * that the receiver of an answer can hold it against what the engines really did. */
typedef struct
{
  uint64_t stream;
  int64_t first;
  int64_t count;
} LxSegment;

typedef struct
{
  LxSegment *segments;
  size_t n_segments;
} LxText;

void lx_text_clear (LxText *text);
void lx_text_append (LxText *text, uint64_t stream, int64_t first, int64_t count);
void lx_text_copy (LxText *target, const LxText *source);
void lx_text_truncate (LxText *text, int64_t tokens);
bool lx_text_parse (LxText *text, const char *rendered);

char *lx_text_render (const LxText *text);
int64_t lx_text_count_tokens (const LxText *text);
/* First token, counting on from it without gap or overlap. */
bool lx_text_is_contiguous (const LxText *text, int64_t first);

#endif
