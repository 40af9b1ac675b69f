#ifndef LC_LABEL_H
#define LC_LABEL_H

#include "lc-types.h"

void lc_label_init (LcLabel *label);
/* Adds the version that an engine stated for tokens offset .. offset + tokens - 1. After a gap, an
 * overlap, a missing version or more than LC_MAX_SPANS spans the label stays unlabelled for good,
 * since versions are never guessed. */
void lc_label_add_tokens (LcLabel *label, int64_t offset, int64_t tokens, LcVersion version);
/* The same for tokens that were generated with reused KV cache of another version; for staleness,
 * both versions count. */
void lc_label_add_tokens_kv_reused (
    LcLabel *label, int64_t offset, int64_t tokens, LcVersion version, LcVersion kv_reused_version);

/* Whether the spans cover exactly the first `tokens` tokens, without gap or overlap. */
bool lc_label_is_complete (const LcLabel *label, int64_t tokens);
/* 0 if the label is empty. */
LcVersion lc_label_oldest_version (const LcLabel *label);
/* How many versions the label's oldest is behind the trainer's; never below 0. */
int64_t lc_label_staleness (const LcLabel *label, LcVersion trainer_version);

#endif
