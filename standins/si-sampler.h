#ifndef SI_SAMPLER_H
#define SI_SAMPLER_H

#include "si-rows.h"

#define SI_MAX_RUNS 256

/* A run as the engine saw it. */
typedef struct
{
  LbName id;
  int64_t from; /* events that came before it */
  int64_t sent; /* events that it sent */
  bool whole;
} SiRun;

/* An engine, or a plain service, of a shared platform: registers itself in the store, streams
 * texts, takes orders. */
typedef struct
{
  SiServer server;
  SiRows *rows;
  LbName name;
  LbName service;
  LbName model; /* empty: a plain service */
  int64_t version;
  int64_t next_version; /* being loaded; 0: none */
  int64_t orders;
  int64_t last_fence;
  bool leaving;
  int events;        /* of each text */
  int padding;       /* further bytes in each event */
  LbTime event_time; /* between two events */
  LbTime load_time;  /* of weights */
  struct event *beat;
  struct event *loaded;
  LbList streams;
  SiRun runs[SI_MAX_RUNS];
  size_t n_runs;
  int refused;   /* while it loaded */
  int misplaced; /* requests for another endpoint */
  int calls;     /* of a plain service */
  int cancelled; /* streams whose caller went away */
} SiSampler;

bool si_sampler_init (SiSampler *sampler,
                      struct event_base *base,
                      SiRows *rows,
                      const char *name,
                      const char *service,
                      const char *model);
void si_sampler_clear (SiSampler *sampler);
/* Tells the store what it is now. */
void si_sampler_register (SiSampler *sampler);

#endif
