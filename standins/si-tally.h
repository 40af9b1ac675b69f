#ifndef SI_TALLY_H
#define SI_TALLY_H

#include "si-live.h"

struct SiErrorCount;

/* What became of many live calls. */
typedef struct
{
  int64_t calls;
  int64_t outcomes[SI_N_LIVE];
  int64_t retries;
  struct SiErrorCount *errors;
  LbTime *took; /* of whole answers */
  LbTime *first;
  size_t n_took;
  struct json_object *not_run; /* keys of calls whose last answer was "not run" */
} SiTally;

void si_tally_init (SiTally *tally);
void si_tally_clear (SiTally *tally);
/* key tells the call in the endpoints' own logs. */
void si_tally_add (SiTally *tally, const SiLiveResult *result, const char *key);
bool si_tally_is_right (const SiTally *tally);
struct json_object *si_tally_to_json (SiTally *tally);

#endif
