#ifndef LX_TEXT_H
#define LX_TEXT_H

#include "lb-types.h"

/* A range of the tokens of an engine's stream. Simulated answers consist of segments instead of
 * text, so that the receiver can compare an answer with what the engines generated. */
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
/* Removes all but the first `tokens` tokens. */
void lx_text_truncate (LxText *text, int64_t tokens);
/* Appends text written by lx_text_render; returns false on any other input. */
bool lx_text_parse (LxText *text, const char *rendered);

char *lx_text_render (const LxText *text);
int64_t lx_text_count_tokens (const LxText *text);
/* Returns true if the tokens are numbered from `first` without gap or overlap. */
bool lx_text_is_contiguous_from (const LxText *text, int64_t first);

#endif
