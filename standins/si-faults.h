#ifndef SI_FAULTS_H
#define SI_FAULTS_H

#include "lb-types.h"

struct json_object;
struct evhttp_request;

typedef enum
{
  SI_FAULT_CRASH,        /* exit without a reply, after `tokens` more tokens */
  SI_FAULT_REFUSE,       /* answer 503 not_started */
  SI_FAULT_BREAK,        /* close a stream after `tokens` tokens */
  SI_FAULT_HANG,         /* send no reply and no keep-alive; keep the connection open */
  SI_FAULT_OMIT_VERSION, /* send events without weight_version */
  SI_FAULT_CONTRADICT,   /* send two weight versions for one token */
  SI_FAULT_FAIL_SWAP,    /* fail a weight load */
  SI_FAULT_SLOW,         /* delay each token or call by `ms` */
  SI_FAULT_LEAVING,      /* report and answer `leaving` */
  SI_FAULT_LOSE_REPLY,   /* do the work, then close without a reply */
  SI_FAULT_DOWN,         /* close without doing the work */
  SI_FAULT_BUSY,         /* answer 503 busy */
  SI_N_FAULTS
} SiFaultMode;

typedef struct
{
  int64_t remaining; /* number of uses left; -1: unlimited until cleared; 0: off */
  int64_t tokens;
  LbTime delay;
  LbName path_prefix; /* applies only to paths with this prefix */
} SiFault;

typedef struct
{
  SiFault faults[SI_N_FAULTS];
} SiFaults;

/* Sets a fault from {"mode": "break", "count": 1, "tokens": 5, "ms": 0, "path": "/table"}. Count -1
 * or absent: until {"mode": "none"}. Returns false for an unknown mode. */
bool si_faults_set (SiFaults *faults, struct json_object *settings);
/* Handles POST /faults. */
void si_faults_handle (SiFaults *faults, struct evhttp_request *request);
bool si_faults_is_on (const SiFaults *faults, SiFaultMode mode);
/* Returns whether the fault applies now and, if so, counts one use of it. */
bool si_faults_consume (SiFaults *faults, SiFaultMode mode);
bool si_faults_consume_at_path (SiFaults *faults, SiFaultMode mode, const char *path);

#endif
