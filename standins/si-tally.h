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
  LbTime *durations; /* durations of the calls with complete answers */
  LbTime *times_to_first_byte;
  size_t n_durations;               /* length of durations and of times_to_first_byte */
  struct json_object *not_run_keys; /* JSON array: keys of calls with outcome SI_CALL_NOT_RUN */
} SiTally;

void si_tally_init (SiTally *tally);
void si_tally_clear (SiTally *tally);
/* Records the final result of a call. key: the key under which endpoints count the executions of
 * this call. */
void si_tally_add_result (SiTally *tally, const SiCheckedCallResult *result, const char *key);
bool si_tally_has_no_wrong_or_truncated_answers (const SiTally *tally);
/* Returns the counts and the latency percentiles; sorts the recorded times. */
struct json_object *si_tally_to_json (SiTally *tally);

#endif
