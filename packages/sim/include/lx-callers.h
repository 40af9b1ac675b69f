#ifndef LX_CALLERS_H
#define LX_CALLERS_H

#include "lx-text.h"

#include "lc-dispatch.h"

#include <gsl/gsl_rng.h>

struct LxWorld;

/* Outcome of a scripted call. */
typedef struct
{
  uint64_t job;
  LbTime ended_at; /* 0: in progress */
  LbErrorCode error;
} LxCallResult;

/* A call that a trace makes. */
typedef struct
{
  bool is_service_call;
  bool repeatable;
  int64_t tokens;
  LbTime timeout;
  const char *instance; /* "": any */
  LxCallResult *result; /* written while the call runs; must outlive it */
} LxCallSpec;

/* A call in progress, from the point of view of its caller. */
typedef struct LxCall
{
  LbLink link;
  uint64_t job;
  LcRequestKind kind;
  LbTime sent_at;
  LbTime first_piece_at; /* 0: none received */
  int64_t total_tokens;  /* of a complete answer */
  bool is_reported_stuck;
  LxText text;
  LxCallResult *result; /* NULL for a random call */
} LxCall;

/* Simulated callers. They send model and service calls at random times; the prompts of model calls
 * belong to families that share a prefix. */
typedef struct
{
  struct LxWorld *world;
  gsl_rng *random;
  LbList open_calls;
  uint64_t n_calls;
  int64_t answered;
  int64_t refused; /* calls with an error that rules out execution */
  int64_t failed;  /* calls with an error that does not rule out execution */
  /* one value per answered model call */
  double *latencies_ms;
  size_t n_latencies;
  double *first_piece_latencies_ms;
  size_t n_first_piece_latencies;
} LxCallers;

void lx_callers_init (LxCallers *callers, struct LxWorld *world);
void lx_callers_clear (LxCallers *callers);

/* commands */
void lx_callers_start (LxCallers *callers);
/* Sends one call of a trace. */
void lx_callers_submit_call (LxCallers *callers, const LxCallSpec *spec);
void
lx_callers_send_piece (LxCallers *callers, LxCall *call, uint64_t stream, const LcPiece *piece);
void lx_callers_send_result (LxCallers *callers, LxCall *call, LbErrorCode error);

/* queries */
/* Returns the latency at this quantile, 0 to 1; 0 if no call was answered. Sorts the latencies. */
double lx_callers_latency_percentile_ms (LxCallers *callers, double quantile);

#endif
