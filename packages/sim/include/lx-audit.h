#ifndef LX_AUDIT_H
#define LX_AUDIT_H

#include "lx-text.h"

#include "lc-types.h"

/* Kinds of violations that LxAudit counts. The audit compares what the engines generated and
 * executed with what callers and trainers received, and does not depend on checks inside core. */

typedef enum
{
  LX_VIOLATION_LOST,        /* a step was reported complete although samples are missing */
  LX_VIOLATION_DOUBLED,     /* a trainer received the same sample twice */
  LX_VIOLATION_STALE,       /* weights of a delivered sample were too old by the engines' record */
  LX_VIOLATION_MISLABELLED, /* weight versions of a sample are wrong by the engines' record */
  LX_VIOLATION_NOT_WHOLE,   /* a complete answer has missing, duplicate or surplus tokens */
  LX_VIOLATION_RAN_AFTER_NOT_RUN, /* an endpoint started a request reported as "not run" */
  LX_VIOLATION_RAN_TWICE,         /* a non-repeatable request was started twice */
  LX_VIOLATION_SENT_TO_LEAVING, /* new work was sent to an endpoint long after it began to leave */
  LX_VIOLATION_CUT_BY_DRAIN,    /* a graceful shutdown aborted a request in progress */
  LX_VIOLATION_REVERTED,        /* an older configuration was used after a newer one */
  LX_VIOLATION_NOT_IN_FORCE,    /* an accepted revision was not active within the time bound */
  LX_VIOLATION_STUCK,           /* a call, step or drain made no progress within its timeout */
  LX_VIOLATION_CORE_INVARIANT,  /* core counted a failed check of its own invariants */
  LX_N_VIOLATIONS
} LxViolation;

/* A unit of requested work: a call, or one generation of a sample. */
typedef struct
{
  LcRequestKind kind;
  bool repeatable;
  bool reported_not_run;
  int64_t n_starts;     /* number of starts of the job on all endpoints */
  int64_t total_tokens; /* length of the complete answer */
  uint64_t step;        /* for a sample: index of the step in LxAudit.steps */
} LxJob;

#define LX_MAX_STREAM_SPANS 12

/* Record of the weight versions that generated the tokens of an engine's stream. */
typedef struct
{
  uint64_t job;
  LbTime started_at;
  LbTime last_token_at;
  LcSpan spans[LX_MAX_STREAM_SPANS]; /* token ranges by weight version */
  size_t n_spans;
} LxStreamRecord;

/* Number of tokens generated and delivered for the samples of a step. */
typedef struct
{
  int64_t generated;
  int64_t delivered;
  bool is_done; /* the trainer has finished the step */
} LxStepTokens;

typedef struct
{
  int64_t violations[LX_N_VIOLATIONS];
  char first_violation[256]; /* description of the first violation; "": none */
  uint64_t first_event;      /* number of the event that caused the first violation */
  LxJob *jobs;
  size_t n_jobs;
  LxStreamRecord *streams;
  size_t n_streams;
  LxStepTokens *steps; /* indexed by step * number of trainers + trainer */
  size_t n_steps;
} LxAudit;

void lx_audit_init (LxAudit *audit);
void lx_audit_clear (LxAudit *audit);

/* --- functions that add to the audit --- */
void lx_audit_report_violation (
    LxAudit *audit, LxViolation violation, LbTime now, uint64_t event, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
/* Returns the number of the new job, counted from 1. */
uint64_t lx_audit_add_job (LxAudit *audit, const LxJob *job);
/* Returns the number of the new stream, counted from 1. */
uint64_t lx_audit_add_stream (LxAudit *audit, uint64_t job, LbTime now);
void lx_audit_add_generated_tokens (
    LxAudit *audit, uint64_t stream, int64_t offset, int64_t tokens, LcVersion version, LbTime now);

/* Returns the entry of LxAudit.steps at index `step`; adds missing entries. */
LxStepTokens *lx_audit_get_or_add_step_tokens (LxAudit *audit, uint64_t step);

/* --- functions that only read the audit --- */
LxJob *lx_audit_get_job (LxAudit *audit, uint64_t job);
int64_t lx_audit_count_violations (const LxAudit *audit);
/* Computes the weight versions of the tokens of a text from the engines' record. */
void lx_audit_compute_version_label (const LxAudit *audit, const LxText *text, LcLabel *label);
/* Returns the share, 0..1, of the tokens generated for completed steps that no trainer received. */
double lx_audit_compute_wasted_token_ratio (const LxAudit *audit);

#endif
