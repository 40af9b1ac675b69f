#ifndef LN_RECORDER_H
#define LN_RECORDER_H

#include "lb-error.h"

struct json_object;
typedef struct LnExchange LnExchange;

/* Records the requests of callers and trainers, and the replies, as a trace for `lentilspindle
 * replay` (docs/TRACES.md). The trace file is written when the process ends, since the header of
 * the file contains values that depend on the recorded steps. */
typedef struct LnRecorder LnRecorder;

LnRecorder *ln_recorder_new (const char *path, const char *data_centre, uint64_t seed, LbTime now);
/* Writes the trace file, then frees the recorder. NULL: does nothing. */
void ln_recorder_free (LnRecorder *recorder);
void ln_recorder_add_request (LnRecorder *recorder, const LnExchange *exchange, LbTime now);
/* Records a JSON reply, before it is sent. */
void ln_recorder_add_reply (LnRecorder *recorder,
                            const LnExchange *exchange,
                            int status,
                            struct json_object *reply,
                            LbTime now);
/* Records that the complete reply was sent to the caller. */
void ln_recorder_add_completion (LnRecorder *recorder, const LnExchange *exchange, LbTime now);

#endif
