#include "lc-label.h"

#include <string.h>

void
lc_label_init (LcLabel *label)
{
  memset (label, 0, sizeof *label);
}

static bool
extends_last_span (const LcLabel *label, const LcSpan *span)
{
  const LcSpan *last = label->n_spans > 0 ? &label->spans[label->n_spans - 1] : NULL;

  return last && last->version == span->version
         && last->kv_reused_version == span->kv_reused_version;
}

void
lc_label_add_tokens (LcLabel *label, int64_t offset, int64_t tokens, LcVersion version)
{
  lc_label_add_tokens_kv_reused (label, offset, tokens, version, 0);
}

/* A gap or an overlap in the offsets means that tokens of two generations are mixed, and a missing
 * weight version can't be derived from other data. The label would be wrong, so it becomes
 * unlabelled for good. */
void
lc_label_add_tokens_kv_reused (
    LcLabel *label, int64_t offset, int64_t tokens, LcVersion version, LcVersion kv_reused_version)
{
  LcSpan span = { .version = version, .first = offset, .kv_reused_version = kv_reused_version };

  if (label->unlabelled || tokens == 0)
    return;
  if (offset != label->tokens || tokens < 0 || version <= 0 || kv_reused_version < 0)
    {
      label->unlabelled = true;
      return;
    }
  if (!extends_last_span (label, &span))
    {
      if (label->n_spans == LC_MAX_SPANS)
        {
          label->unlabelled = true;
          return;
        }
      label->spans[label->n_spans++] = span;
    }
  label->spans[label->n_spans - 1].count += tokens;
  label->tokens += tokens;
}

bool
lc_label_is_complete (const LcLabel *label, int64_t tokens)
{
  int64_t covered = 0;

  if (label->unlabelled || label->n_spans == 0 || label->tokens != tokens)
    return false;
  for (size_t i = 0; i < label->n_spans; i++)
    {
      if (label->spans[i].version <= 0 || label->spans[i].first != covered)
        return false;
      covered += label->spans[i].count;
    }
  return covered == tokens;
}

/* Returns the older of two versions; ignores a version of 0, which means none. */
static LcVersion
older_known_version (LcVersion a, LcVersion b)
{
  if (a == 0 || b == 0)
    return a + b;
  return a < b ? a : b;
}

LcVersion
lc_label_oldest_version (const LcLabel *label)
{
  LcVersion oldest = 0;

  for (size_t i = 0; i < label->n_spans; i++)
    {
      oldest = older_known_version (oldest, label->spans[i].version);
      oldest = older_known_version (oldest, label->spans[i].kv_reused_version);
    }
  return oldest;
}

int64_t
lc_label_staleness (const LcLabel *label, LcVersion trainer_version)
{
  int64_t lag = trainer_version - lc_label_oldest_version (label);

  return lag > 0 ? lag : 0;
}
