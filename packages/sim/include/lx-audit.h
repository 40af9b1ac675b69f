#ifndef LX_AUDIT_H
#define LX_AUDIT_H

#include "lx-text.h"

#include "lc-types.h"

/* Checks the system from outside of core: compares what the engines generated and executed with
 * what callers and trainers received. The counts do not depend on checks inside core. */

typedef enum
{
  LX_VIOLATION_LOST,              /* a step was reported complete without all its samples */
  LX_VIOLATION_DOUBLED,           /* a trainer received a slot twice */
  LX_VIOLATION_STALE,             /* staleness over the bound at delivery, by the engines' record */
  LX_VIOLATION_MISLABELLED,       /* the label differs from the engines' record */
  LX_VIOLATION_NOT_WHOLE,         /* a complete answer lacks tokens or mixes attempts */
  LX_VIOLATION_RAN_AFTER_NOT_RUN, /* reported "not run", but an endpoint started it */
  LX_VIOLATION_RAN_TWICE,         /* a non-repeatable request was started twice */
  LX_VIOLATION_SENT_TO_LEAVING,   /* new work sent to a leaving endpoint after the time bound */
  LX_VIOLATION_CUT_BY_DRAIN,      /* a graceful shutdown aborted a request in progress */
  LX_VIOLATION_REVERTED,          /* an older revision active after a newer one */
  LX_VIOLATION_NOT_IN_FORCE,      /* an accepted revision not active in time */
  LX_VIOLATION_STUCK,             /* no answer or progress within the timeout */
  LX_VIOLATION_CORE_INVARIANT,    /* core's own counter of failed invariants increased */
  LX_N_VIOLATIONS
} LxViolation;

/* Unit of requested work: a call, or one generation of a sample. */
typedef struct
{
  LcRequestKind kind;
  bool repeatable;
  bool reported_not_run;
  int64_t n_starts;     /* on all endpoints */
  int64_t total_tokens; /* of a complete answer */
  uint64_t step;        /* of a sample: index in LxAudit.steps */
} LxJob;

#define LX_MAX_STREAM_SPANS 12

/* Which versions generated the tokens of an engine's stream. */
typedef struct
{
  uint64_t job;
  LbTime started_at;
  LbTime last_token_at;
  LcSpan spans[LX_MAX_STREAM_SPANS];
  size_t n_spans;
} LxStreamRecord;

/* Tokens of a step's samples. */
typedef struct
{
  int64_t generated;
  int64_t delivered;
  bool is_done;
} LxStepTokens;

typedef struct
{
  int64_t violations[LX_N_VIOLATIONS];
  char first_violation[256]; /* description for people */
  uint64_t first_event;      /* number of the event that caused the first violation */
  LxJob *jobs;
  size_t n_jobs;
  LxStreamRecord *streams;
  size_t n_streams;
  LxStepTokens *steps; /* by step and trainer */
  size_t n_steps;
} LxAudit;

void lx_audit_init (LxAudit *audit);
void lx_audit_clear (LxAudit *audit);

/* commands; numbers of jobs and streams start at 1, the caller numbers the steps */
void lx_audit_report_violation (
    LxAudit *audit, LxViolation violation, LbTime now, uint64_t event, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
uint64_t lx_audit_add_job (LxAudit *audit, const LxJob *job);
uint64_t lx_audit_add_stream (LxAudit *audit, uint64_t job, LbTime now);
void lx_audit_add_generated_tokens (
    LxAudit *audit, uint64_t stream, int64_t offset, int64_t tokens, LcVersion version, LbTime now);

/* The step with this number; created at its first use. */
LxStepTokens *lx_audit_ensure_step_tokens (LxAudit *audit, uint64_t step);

/* queries */
LxJob *lx_audit_get_job (LxAudit *audit, uint64_t job);
int64_t lx_audit_count_violations (const LxAudit *audit);
/* Computes the correct label of a text from the engines' record. */
void lx_audit_compute_label (const LxAudit *audit, const LxText *text, LcLabel *label);
/* Share of the tokens generated for completed steps that were not delivered to a trainer. */
double lx_audit_compute_wasted_ratio (const LxAudit *audit);

#endif
