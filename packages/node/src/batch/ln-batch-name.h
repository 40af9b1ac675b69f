#ifndef LN_BATCH_NAME_H
#define LN_BATCH_NAME_H

#include "lb-types.h"

/* The name under which a batch is kept: its caller's id, and behind it a hash of the organisation
 * that it belongs to. So two organisations that choose the same id have two batches, and nobody
 * finds one by a key that is not its organisation's. */

/* organisation: "" where the batch belongs to nobody in particular. False: the id can't be one. */
bool ln_batch_name (const char *organisation, const char *id, LbName name);

#endif
