#ifndef LC_LABEL_H
#define LC_LABEL_H

#include "lc-types.h"

void lc_label_init (LcLabel *label);
/* Adds to the label the weight version that an engine stated for tokens offset .. offset + tokens -
 * 1 of a sample. A gap, an overlap, a missing version or more than LC_MAX_SPANS spans (runs of
 * tokens with one version) set label->unlabelled for good, since versions are never guessed. */
void lc_label_add_tokens (LcLabel *label, int64_t offset, int64_t tokens, LcVersion version);
/* Like lc_label_add_tokens, for tokens that the weights `version` generated from KV cache that the
 * weights kv_reused_version had computed. Both versions count for staleness. */
void lc_label_add_tokens_kv_reused (
    LcLabel *label, int64_t offset, int64_t tokens, LcVersion version, LcVersion kv_reused_version);

/* Whether the label's spans cover exactly the first `tokens` tokens of the sample, without gap or
 * overlap. */
bool lc_label_is_complete (const LcLabel *label, int64_t tokens);
/* Returns the oldest weight version in the label, including versions that computed reused KV cache;
 * 0 if the label is empty. */
LcVersion lc_label_oldest_version (const LcLabel *label);
/* Returns by how many versions the oldest weight version in the label is behind trainer_version; at
 * least 0. */
int64_t lc_label_staleness (const LcLabel *label, LcVersion trainer_version);

#endif
