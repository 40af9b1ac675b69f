#ifndef LN_BATCH_NAME_H
#define LN_BATCH_NAME_H

#include "lb-types.h"

/* This header builds the name under which a batch is stored: the id that the caller chose, followed
 * by a hash of the caller's organisation. Two organisations can therefore use the same id for
 * different batches, and a batch can be found only with an API key of its organisation. */

/* Builds the name of a batch. organisation is "" if the batch belongs to no organisation. Returns
 * false if the id is not valid. */
bool ln_batch_build_name (const char *organisation, const char *id, LbName name);

#endif
