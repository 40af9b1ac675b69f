#ifndef LX_TRACE_H
#define LX_TRACE_H

#include "lx-site.h"

#define LX_TRACE_FORMAT_VERSION 1

typedef enum
{
  LX_EVENT_NONE,
  LX_EVENT_STEPS,   /* a trainer runs `count` steps, each requested during the previous step */
  LX_EVENT_CALL,    /* a live call of the pool's model */
  LX_EVENT_SERVICE, /* a call of the service */
  LX_EVENT_VERSION, /* a new weight version is published */
  LX_EVENT_CHANGE,  /* an operator changes the share of the pool that is kept for live calls */
  LX_EVENT_FAULT,   /* an LxFault is injected */
  LX_N_EVENTS
} LxTraceEvent;

typedef enum
{
  LX_EXPECT_NONE,
  LX_EXPECT_STEP_DONE,   /* each sample of the step is delivered once, no later than by_ms */
  LX_EXPECT_WHOLE,       /* the caller has the complete answer no later than by_ms */
  LX_EXPECT_NOT_RUN,     /* the call ended as "not run" and no endpoint started the call */
  LX_EXPECT_UNKNOWN,     /* the call ended with an error other than "not run" */
  LX_EXPECT_RUNS,        /* endpoints started the call at most `count` times */
  LX_EXPECT_STALENESS,   /* no sample of the trainer is over `count` versions old at delivery */
  LX_EXPECT_MIXED,       /* at least `count` samples of the trainer mix weight versions */
  LX_EXPECT_NO_NEW_WORK, /* no new work is sent to the leaving endpoint after after_ms */
  LX_EXPECT_IN_FORCE, /* the configuration revision is active on all running instances at by_ms */
  LX_EXPECT_DRAINED,  /* the instance completes a drain no later than by_ms */
  LX_N_EXPECTS
} LxTraceExpect;

/* A line of a trace file after the header: an event or an expectation. */
typedef struct
{
  int line;      /* line number in the file, from 1 */
  int event;     /* an LxTraceEvent */
  int expect;    /* an LxTraceExpect */
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
  int64_t groups;   /* number of groups per step */
  int64_t samples;  /* number of samples per group */
  int64_t shortest; /* length of the shortest sample in tokens */
  int64_t train_ms; /* training time of a step */
  LxTraceLine *lines;
  size_t n_lines;
} LxTrace;

/* Reads a trace from a file. On failure, the error names the file, the line and the key. */
bool lx_trace_read (LxTrace *trace, const char *path, LbError *error);
bool
lx_trace_parse (LxTrace *trace, const char *text, size_t length, const char *file, LbError *error);
void lx_trace_clear (LxTrace *trace);

const char *lx_trace_expectation_name (LxTraceExpect expect);

#endif
