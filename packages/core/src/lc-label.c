#include "lc-label.h"

#include <string.h>

void
lc_label_init (LcLabel *label)
{
  memset (label, 0, sizeof *label);
}

static bool
extends_last (const LcLabel *label, LcVersion version)
{
  return label->n_spans > 0 && label->spans[label->n_spans - 1].version == version;
}

void
lc_label_add (LcLabel *label, int64_t offset, int64_t tokens, LcVersion version)
{
  if (label->unlabelled || tokens == 0)
    return;
  if (offset != label->tokens || tokens < 0 || version <= 0)
    {
      label->unlabelled = true;
      return;
    }
  if (!extends_last (label, version))
    {
      if (label->n_spans == LC_MAX_SPANS)
        {
          label->unlabelled = true;
          return;
        }
      label->spans[label->n_spans++] = (LcSpan){ .version = version, .first = offset };
    }
  label->spans[label->n_spans - 1].count += tokens;
  label->tokens += tokens;
}

bool
lc_label_is_complete (const LcLabel *label, int64_t tokens)
{
  return !label->unlabelled && label->n_spans > 0 && label->tokens == tokens;
}

/* The version that staleness is judged by; 0 for an empty label. */
LcVersion
lc_label_oldest (const LcLabel *label)
{
  LcVersion oldest = 0;

  for (size_t i = 0; i < label->n_spans; i++)
    if (oldest == 0 || label->spans[i].version < oldest)
      oldest = label->spans[i].version;
  return oldest;
}
