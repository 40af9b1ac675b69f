#ifndef LX_TRACE_H
#define LX_TRACE_H

#include "lx-site.h"

#define LX_TRACE_FORMAT_VERSION 1

typedef enum
{
  LX_EVENT_NONE,
  LX_EVENT_STEPS,   /* a trainer runs `count` steps, requesting each one step ahead */
  LX_EVENT_CALL,    /* a live call of the pool's model */
  LX_EVENT_SERVICE, /* a call of the service */
  LX_EVENT_VERSION, /* the weight store has a new version */
  LX_EVENT_CHANGE,  /* an operator changes the pool's live reserve */
  LX_EVENT_FAULT,   /* an LxFault at an endpoint or instance */
  LX_N_EVENTS
} LxTraceEvent;

typedef enum
{
  LX_EXPECT_NONE,
  LX_EXPECT_STEP_DONE,   /* all samples of the step delivered once, by_ms */
  LX_EXPECT_WHOLE,       /* the call has its complete answer by_ms */
  LX_EXPECT_NOT_RUN,     /* the call was refused as "not run" and no endpoint started it */
  LX_EXPECT_UNKNOWN,     /* the call ended with an error that does not say "not run" */
  LX_EXPECT_RUNS,        /* endpoints started the call at most `count` times */
  LX_EXPECT_STALENESS,   /* no sample of the trainer is over `count` versions old at delivery */
  LX_EXPECT_MIXED,       /* at least `count` samples of the trainer have more than one version */
  LX_EXPECT_NO_NEW_WORK, /* no new work is sent to the leaving endpoint after_ms */
  LX_EXPECT_IN_FORCE,    /* the revision is active on all running instances by_ms */
  LX_EXPECT_DRAINED,     /* the instance has completed its drain by_ms */
  LX_N_EXPECTS
} LxTraceExpect;

/* An event or an expectation: a line of a trace after the header. */
typedef struct
{
  int line;      /* in the file, from 1 */
  int event;     /* LxTraceEvent */
  int expect;    /* LxTraceExpect */
  int64_t at_ms; /* time of the event; all times count from the start of the run */
  int64_t by_ms; /* latest time to meet the expectation */
  int64_t after_ms;
  LbName call;
  LbName trainer;
  LbName instance;
  LbName endpoint;
  LbName fault;
  int64_t step;
  int64_t count;
  int64_t tokens;
  int64_t for_ms; /* duration of the fault */
  int64_t revision;
  int64_t deadline_ms;
  bool repeatable;
  double live_reserve;
} LxTraceLine;

/* A trace file: JSON lines, starting with a header. */
typedef struct
{
  char about[256];
  const LxSite *site;
  uint64_t seed;
  int64_t trainers;
  int64_t groups;   /* per step */
  int64_t samples;  /* per group */
  int64_t shortest; /* length of the shortest sample in tokens */
  int64_t train_ms; /* training time of a step */
  LxTraceLine *lines;
  size_t n_lines;
} LxTrace;

/* On failure, the error names file, line and key. */
bool lx_trace_read (LxTrace *trace, const char *path, LbError *error);
bool
lx_trace_parse (LxTrace *trace, const char *text, size_t length, const char *file, LbError *error);
void lx_trace_clear (LxTrace *trace);

const char *lx_trace_expect_name (LxTraceExpect expect);

#endif
