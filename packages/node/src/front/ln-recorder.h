#ifndef LN_RECORDER_H
#define LN_RECORDER_H

#include "lb-error.h"

struct json_object;
typedef struct LnExchange LnExchange;

/* Records what callers and trainers asked for and what they were answered, as a trace for
 * `lentilspindle replay` (docs/TRACES.md). Written as one file at the end of the process, since the
 * header states what only the steps tell. */
typedef struct LnRecorder LnRecorder;

LnRecorder *ln_recorder_new (const char *path, const char *data_centre, uint64_t seed, LbTime now);
/* Writes the file. */
void ln_recorder_free (LnRecorder *recorder);
void ln_recorder_request (LnRecorder *recorder, const LnExchange *exchange, LbTime now);
/* A JSON reply on its way. */
void ln_recorder_reply (LnRecorder *recorder,
                        const LnExchange *exchange,
                        int status,
                        struct json_object *reply,
                        LbTime now);
/* The caller has the whole answer. */
void ln_recorder_whole (LnRecorder *recorder, const LnExchange *exchange, LbTime now);

#endif
