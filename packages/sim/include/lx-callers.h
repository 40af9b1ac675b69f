#ifndef LX_CALLERS_H
#define LX_CALLERS_H

#include "lx-text.h"

#include "lc-dispatch.h"

#include <gsl/gsl_rng.h>

struct LxWorld;

/* Outcome of a call that a trace requests. */
typedef struct
{
  uint64_t job;
  LbTime ended_at; /* when the call ended; 0: it is in progress */
  LbErrorCode error;
} LxCallResult;

/* A call that a trace requests. */
typedef struct
{
  bool is_service_call;
  bool repeatable;
  int64_t tokens;
  LbTime timeout;
  const char *instance; /* name of the instance that receives the call; "": any */
  LxCallResult *result; /* written while the call runs, so it must outlive the call */
} LxCallSpec;

/* A call in progress, as its caller sees it. */
typedef struct LxCall
{
  LbLink link;
  uint64_t job;
  LcRequestKind kind;
  LbTime sent_at;
  LbTime first_piece_at; /* when the first piece was received; 0: none yet */
  int64_t total_tokens;  /* length of the complete answer */
  bool is_reported_stuck;
  LxText text;
  LxCallResult *result; /* result of a call that a trace requests; NULL: any other call */
} LxCall;

/* Simulated callers that send model and service calls at random times. The prompts of model calls
 * belong to families with a common prefix. */
typedef struct
{
  struct LxWorld *world;
  gsl_rng *random;
  LbList open_calls;
  uint64_t n_calls;
  int64_t answered;
  int64_t refused; /* number of calls that ended with a "not run" error */
  int64_t failed;  /* number of calls that ended with any other error; these may have run */
  /* latencies of the answered model calls */
  double *latencies_ms;
  size_t n_latencies;
  double *first_piece_latencies_ms;
  size_t n_first_piece_latencies;
} LxCallers;

void lx_callers_init (LxCallers *callers, struct LxWorld *world);
void lx_callers_clear (LxCallers *callers);

/* --- functions that send calls and answers --- */
void lx_callers_start (LxCallers *callers);
/* Sends a call that a trace requests. */
void lx_callers_submit_call (LxCallers *callers, const LxCallSpec *spec);
void lx_callers_schedule_piece_arrival (LxCallers *callers,
                                        LxCall *call,
                                        uint64_t stream,
                                        const LcPiece *piece);
void lx_callers_schedule_result_arrival (LxCallers *callers, LxCall *call, LbErrorCode error);

/* --- functions that evaluate the answers --- */
/* Returns the latency of answered model calls at this quantile, 0..1; 0 if there are none. Sorts
 * latencies_ms. */
double lx_callers_latency_percentile_ms (LxCallers *callers, double quantile);

#endif
