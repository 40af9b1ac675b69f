#ifndef LC_LABEL_H
#define LC_LABEL_H

#include "lc-types.h"

void lc_label_init (LcLabel *label);
/* Adds the version that an engine stated for tokens offset .. offset + tokens - 1. A gap, an
 * overlap, a missing version or more than LC_MAX_SPANS spans set label->unlabelled for good, since
 * versions are never guessed. */
void lc_label_add_tokens (LcLabel *label, int64_t offset, int64_t tokens, LcVersion version);
/* Like lc_label_add_tokens, for tokens generated with KV cache that another version had computed.
 * Both versions count for staleness. */
void lc_label_add_tokens_kv_reused (
    LcLabel *label, int64_t offset, int64_t tokens, LcVersion version, LcVersion kv_reused_version);

/* Whether the spans cover exactly the first `tokens` tokens, without gap or overlap. */
bool lc_label_is_complete (const LcLabel *label, int64_t tokens);
/* Returns the oldest version in the label, reused KV cache included; 0 if the label is empty. */
LcVersion lc_label_oldest_version (const LcLabel *label);
/* Returns how many versions the label's oldest version is behind trainer_version; at least 0. */
int64_t lc_label_staleness (const LcLabel *label, LcVersion trainer_version);

#endif
