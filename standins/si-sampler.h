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

/* What a test wants to hear of an endpoint; any may be NULL. */
typedef struct SiSampler SiSampler;

typedef struct
{
  void (*on_call) (SiSampler *sampler, const char *id, void *user); /* of a plain service */
  void (*on_run) (SiSampler *sampler, const char *id, void *user);  /* a text begins or goes on */
  /* Such a request begins; who hears of it ends the sampler, which does not by itself then. */
  void (*on_fatal) (SiSampler *sampler, const char *id, void *user);
  /* accepted: 202 was answered */
  void (*on_order) (
      SiSampler *sampler, const char *holder, int64_t fence, bool accepted, void *user);
} SiSamplerListener;

/* An engine, or a plain service, of a shared platform: registers itself in the store, streams
 * texts, takes orders. */
struct SiSampler
{
  SiServer server;
  SiRows *rows;
  LbName name;
  LbName service;
  LbName model; /* empty: a plain service */
  int64_t version;
  int64_t next_version; /* being loaded; 0: none */
  int64_t orders;
  int64_t born;  /* Unix ms of its start; another one for each start */
  int64_t beats; /* entries that it wrote */
  int64_t last_fence;
  bool leaving;
  int events;        /* of each text */
  int padding;       /* further bytes in each event */
  LbTime event_time; /* between two events */
  LbTime load_time;  /* of weights */
  struct event *beat;
  struct event *loaded;
  LbList streams;
  LbList calls_running; /* of a plain service */
  SiRun runs[SI_MAX_RUNS];
  size_t n_runs;
  int refused;   /* while it loaded */
  int misplaced; /* requests for another endpoint */
  /* Whose its last request was, as it says; the names that it gives, one after the other. */
  LbName organisation;
  int keys;               /* requests that gave a caller's key away */
  int calls;              /* of a plain service */
  int cancelled;          /* streams whose caller went away */
  bool tells_version;     /* events say with which weights they were made */
  LbName reached_at;      /* where callers are told to connect; empty: the server itself */
  LbTime call_time;       /* of a plain service's answer */
  const char *crashes_on; /* a request with this body ends it; NULL: none does */
  LbTime down_time;       /* from such an end to its next start, under another id */
  int crash_runs;         /* requests with that body that it began */
  int crashes;
  struct event *crash;
  struct event *restart;
  const SiSamplerListener *listener; /* NULL: none */
  void *user;
};

bool si_sampler_init (SiSampler *sampler,
                      struct event_base *base,
                      SiRows *rows,
                      const char *name,
                      const char *service,
                      const char *model);
void si_sampler_clear (SiSampler *sampler);
/* Tells the store what it is now. */
void si_sampler_register (SiSampler *sampler);
/* Its entry goes and is not written again, as when it is gone; si_sampler_register brings it back.
 */
void si_sampler_unregister (SiSampler *sampler);
/* A new process under the same id and at the same address: it holds and knows nothing of before but
 * its weights. */
void si_sampler_start_again (SiSampler *sampler);
/* Breaks all its streams off, as when its process ends. */
void si_sampler_break_streams (SiSampler *sampler);

#endif
