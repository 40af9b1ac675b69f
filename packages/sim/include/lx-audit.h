#ifndef LX_AUDIT_H
#define LX_AUDIT_H

#include "lx-text.h"

#include "lc-types.h"

/* What the harness saw from outside of core: what engines really made and ran, held against what
 * callers and trainers were told. Core can't make these counts zero by itself. */

typedef enum
{
  LX_VIOLATION_LOST,              /* a step said to be done lacks a sample */
  LX_VIOLATION_DOUBLED,           /* a trainer got a slot twice */
  LX_VIOLATION_STALE,             /* older than the bound at delivery, by the engines' own record */
  LX_VIOLATION_MISLABELLED,       /* the label differs from the engines' record */
  LX_VIOLATION_NOT_WHOLE,         /* an answer said to be whole lacks tokens or mixes generations */
  LX_VIOLATION_RAN_AFTER_NOT_RUN, /* told "not run", but an endpoint started it */
  LX_VIOLATION_RAN_TWICE,         /* a request that may not be repeated started twice */
  LX_VIOLATION_SENT_TO_LEAVING,   /* new work for a leaving endpoint after the bound */
  LX_VIOLATION_CUT_BY_DRAIN,      /* a graceful shutdown cut a request in progress */
  LX_VIOLATION_REVERTED,          /* an older configuration in force after a newer one */
  LX_VIOLATION_NOT_IN_FORCE,      /* an accepted configuration not in force in time */
  LX_VIOLATION_STUCK,             /* no answer at all within the harness's patience */
  LX_VIOLATION_CORE_INVARIANT,    /* core's own counter of broken invariants moved */
  LX_N_VIOLATIONS
} LxViolation;

/* One thing asked of the system: a call, or one generation of a sample. */
typedef struct
{
  LcRequestKind kind;
  bool repeatable;
  bool not_run; /* the asker was told that it did not run */
  int64_t runs; /* how often an endpoint started it */
  int64_t length;
  uint64_t step; /* sample: the harness's number of the step */
} LxJob;

#define LX_MAX_STREAM_SPANS 12

/* What an engine stream really was made by. */
typedef struct
{
  uint64_t job;
  LbTime begun;
  LbTime ended; /* its last tokens so far */
  LcSpan spans[LX_MAX_STREAM_SPANS];
  size_t n_spans;
} LxStreamRecord;

typedef struct
{
  int64_t generated;
  int64_t delivered;
  bool done;
} LxStepTokens;

typedef struct
{
  int64_t violations[LX_N_VIOLATIONS];
  char first_violation[256]; /* the first breach in words */
  uint64_t first_event;
  LxJob *jobs;
  size_t n_jobs;
  LxStreamRecord *streams;
  size_t n_streams;
  LxStepTokens *steps;
  size_t n_steps;
} LxAudit;

void lx_audit_init (LxAudit *audit);
void lx_audit_clear (LxAudit *audit);

/* commands; numbers of jobs and streams start at 1, those of steps are the caller's */
void lx_audit_report_violation (
    LxAudit *audit, LxViolation breach, LbTime now, uint64_t event, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
uint64_t lx_audit_add_job (LxAudit *audit, const LxJob *job);
uint64_t lx_audit_add_stream (LxAudit *audit, uint64_t job, LbTime now);
void lx_audit_add_tokens (
    LxAudit *audit, uint64_t stream, int64_t offset, int64_t tokens, LcVersion version, LbTime now);

LxStepTokens *lx_audit_step (LxAudit *audit, uint64_t step);

/* queries */
LxJob *lx_audit_job (LxAudit *audit, uint64_t job);
int64_t lx_audit_count_violations (const LxAudit *audit);
/* The label that a text must have by the engines' record. */
void lx_audit_compute_label (const LxAudit *audit, const LxText *text, LcLabel *label);
double lx_audit_wasted_ratio (const LxAudit *audit);

#endif
