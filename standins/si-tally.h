#ifndef SI_TALLY_H
#define SI_TALLY_H

#include "si-checked-call.h"

struct SiErrorCount;

/* Outcomes and latencies of many checked calls. */
typedef struct
{
  int64_t n_calls;
  int64_t outcomes[SI_N_CALL_OUTCOMES];
  int64_t retries;
  struct SiErrorCount *errors;
  LbTime *durations; /* of complete answers */
  LbTime *times_to_first_byte;
  size_t n_durations;               /* of both arrays */
  struct json_object *not_run_keys; /* keys of calls whose last outcome was "not run" */
} SiTally;

void si_tally_init (SiTally *tally);
void si_tally_clear (SiTally *tally);
/* key: under which the endpoints' run logs count the call. */
void si_tally_add (SiTally *tally, const SiCheckedCallResult *result, const char *key);
bool si_tally_has_no_wrong_answers (const SiTally *tally);
/* Sorts the recorded times. */
struct json_object *si_tally_to_json (SiTally *tally);

#endif
