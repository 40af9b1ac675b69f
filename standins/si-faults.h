#ifndef SI_FAULTS_H
#define SI_FAULTS_H

#include "lb-types.h"

struct json_object;
struct evhttp_request;

typedef enum
{
  SI_FAULT_CRASH,        /* exit the process without a reply after `tokens` more tokens */
  SI_FAULT_REFUSE,       /* refuse a request with 503 not_started */
  SI_FAULT_BREAK,        /* close the connection of a stream after `tokens` tokens */
  SI_FAULT_HANG,         /* send no reply and no keep-alive; keep the connection open */
  SI_FAULT_OMIT_VERSION, /* send events without weight_version */
  SI_FAULT_CONTRADICT,   /* report two different weight versions for one token */
  SI_FAULT_FAIL_SWAP,    /* let a weight load fail */
  SI_FAULT_SLOW,         /* delay each token or reply by `ms` milliseconds */
  SI_FAULT_LEAVING,      /* report state `leaving` and refuse requests with error `leaving` */
  SI_FAULT_LOSE_REPLY,   /* execute the call, then close the connection without a reply */
  SI_FAULT_DOWN,         /* close the connection without executing the call */
  SI_FAULT_BUSY,         /* refuse a call with 503 busy */
  SI_N_FAULTS
} SiFaultMode;

typedef struct
{
  int64_t remaining; /* number of times the fault still applies; -1: until cleared; 0: off */
  int64_t tokens;
  LbTime delay;
  LbName path_prefix; /* the fault applies only to request paths with this prefix */
} SiFault;

typedef struct
{
  SiFault faults[SI_N_FAULTS];
} SiFaults;

/* Sets a fault from JSON such as {"mode": "break", "count": 1, "tokens": 5, "ms": 0, "path":
 * "/table"}. With count -1 or without a count the fault stays on until {"mode": "none"} clears all
 * faults. Returns false for an unknown mode. */
bool si_faults_set (SiFaults *faults, struct json_object *settings);
/* Handles POST /faults: sets the fault in the body, or replies with 400 if the body is invalid. */
void si_faults_set_from_request (SiFaults *faults, struct evhttp_request *request);
bool si_faults_is_on (const SiFaults *faults, SiFaultMode mode);
/* Returns whether the fault is on and, if so, reduces the number of times it still applies. */
bool si_faults_consume_occurrence (SiFaults *faults, SiFaultMode mode);
bool si_faults_consume_occurrence_at_path (SiFaults *faults, SiFaultMode mode, const char *path);

#endif
