#ifndef SI_FAULTS_H
#define SI_FAULTS_H

#include "lb-types.h"

struct json_object;
struct evhttp_request;

typedef enum
{
  SI_FAULT_CRASH,        /* exit without a word, after `tokens` more tokens */
  SI_FAULT_REFUSE,       /* 503 before the start */
  SI_FAULT_BREAK,        /* close a stream after `tokens` of its tokens */
  SI_FAULT_HANG,         /* go silent: no answer, no keep-alive, the connection stays open */
  SI_FAULT_OMIT_VERSION, /* events without weight_version */
  SI_FAULT_CONTRADICT,   /* two versions for one token */
  SI_FAULT_FAIL_SWAP,    /* a load of weights fails partway */
  SI_FAULT_SLOW,         /* everything takes `ms` longer a token, or a call */
  SI_FAULT_LEAVING,      /* refuse new work as leaving */
  SI_FAULT_LOSE_REPLY,   /* do it, then close without an answer */
  SI_FAULT_DOWN,         /* close without an answer and without doing it */
  SI_FAULT_BUSY,         /* over the rate */
  SI_N_FAULTS
} SiFaultMode;

typedef struct
{
  int64_t remaining; /* how many times more; -1: until cleared; 0: off */
  int64_t tokens;
  LbTime delay;
  LbName path; /* only on paths that start so */
} SiFault;

typedef struct
{
  SiFault faults[SI_N_FAULTS];
} SiFaults;

/* {"mode": "break", "count": 1, "tokens": 5, "ms": 0, "path": "/table"}; count -1 or absent: until
 * {"mode": "none"}. False when the mode is not known. */
bool si_faults_set (SiFaults *faults, struct json_object *order);
/* Answers POST /faults. */
void si_faults_handle (SiFaults *faults, struct evhttp_request *request);
bool si_faults_is_on (const SiFaults *faults, SiFaultMode mode);
/* True when the fault is on; uses one of its times up. */
bool si_faults_consume (SiFaults *faults, SiFaultMode mode);
bool si_faults_consume_at_path (SiFaults *faults, SiFaultMode mode, const char *path);

#endif
