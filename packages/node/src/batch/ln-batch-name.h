#ifndef LN_BATCH_NAME_H
#define LN_BATCH_NAME_H

#include "lb-types.h"

/* A batch is stored under the id that its caller chose, followed by a hash of its organisation. So
 * two organisations can use the same id for different batches, and a batch can be found only with a
 * key of its organisation. */

/* organisation: "" for a batch without one. False: the id is not valid. */
bool ln_batch_build_name (const char *organisation, const char *id, LbName name);

#endif
