#ifndef LC_LABEL_H
#define LC_LABEL_H

#include "lc-types.h"

void lc_label_init (LcLabel *label);
/* Adds what an engine said of the tokens offset .. offset + tokens - 1. A gap, an overlap, a
 * missing version or too many spans make the label final as unlabelled: it is never guessed. */
void lc_label_add_tokens (LcLabel *label, int64_t offset, int64_t tokens, LcVersion version);
/* The same for tokens made over reused KV cache of another version, which counts as much. */
void lc_label_add_tokens_kv_reused (
    LcLabel *label, int64_t offset, int64_t tokens, LcVersion version, LcVersion kv_reused_version);

/* All of the first tokens are labelled, without gap or overlap. */
bool lc_label_is_complete (const LcLabel *label, int64_t tokens);
LcVersion lc_label_oldest_version (const LcLabel *label);
/* Versions between the trainer's and the label's oldest; never below 0. */
int64_t lc_label_staleness (const LcLabel *label, LcVersion trainer);

#endif
