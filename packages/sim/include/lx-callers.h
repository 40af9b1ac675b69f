#ifndef LX_CALLERS_H
#define LX_CALLERS_H

#include "lx-text.h"

#include "lc-dispatch.h"

#include <gsl/gsl_rng.h>

struct LxWorld;

/* How a call ended. */
typedef struct
{
  uint64_t job;
  LbTime ended; /* 0: not yet */
  LbErrorCode error;
} LxCallResult;

/* What a script asks for. */
typedef struct
{
  bool of_service;
  bool repeatable;
  int64_t tokens;
  LbTime deadline;      /* from now */
  const char *instance; /* "": any */
  LxCallResult *result; /* filled by and by; must outlive the call */
} LxCallSpec;

/* A live call as its caller sees it. */
typedef struct LxCall
{
  LbLink link;
  uint64_t job;
  LcRequestKind kind;
  LbTime asked;
  LbTime first_piece; /* 0: none yet */
  int64_t length;
  bool reported; /* as one without an answer */
  LxText text;
  LxCallResult *result; /* NULL: nobody asks */
} LxCall;

/* Live callers: calls at random moments, with prompts that share prefixes by families. */
typedef struct
{
  struct LxWorld *world;
  gsl_rng *random;
  LbList open;
  uint64_t n_calls;
  int64_t answered;
  int64_t refused;
  int64_t failed; /* an honest error that may have run */
  /* milliseconds, one per answered model call */
  double *latencies;
  size_t n_latencies;
  double *first_pieces;
  size_t n_first_pieces;
} LxCallers;

void lx_callers_init (LxCallers *callers, struct LxWorld *world);
void lx_callers_clear (LxCallers *callers);

/* commands */
void lx_callers_start (LxCallers *callers);
void lx_callers_submit (LxCallers *callers, const LxCallSpec *order);
void
lx_callers_send_piece (LxCallers *callers, LxCall *call, uint64_t stream, const LcPiece *piece);
void lx_callers_send_result (LxCallers *callers, LxCall *call, LbErrorCode error);

/* queries */
/* The share-th smallest latency in milliseconds, 0 without calls. Sorts the latencies. */
double lx_callers_latency_percentile_ms (LxCallers *callers, double share);

#endif
