#ifndef LC_TYPES_H
#define LC_TYPES_H

#include "lb-error.h"
#include "lb-list.h"

/* A request inside one process: unique for the life of the process, never reused. */
typedef uint64_t LcRequestId;

/* A weight version as engines, trainers and the weight store name it; 0 is "not stated". */
typedef int64_t LcVersion;

typedef enum
{
  LC_KIND_LIVE,    /* a live call to a model pool */
  LC_KIND_SAMPLE,  /* one generation of a trainer's sample */
  LC_KIND_SERVICE, /* a call of a plain service */
  LC_N_KINDS
} LcRequestKind;

/* A run of tokens made by one weight version. */
typedef struct
{
  LcVersion version;
  int64_t first; /* index of the first token */
  int64_t count;
  LcVersion kv_reused_version; /* KV cache of this version was reused: it counts too; 0: none */
} LcSpan;

#define LC_MAX_SPANS 16

/* The label of a sample: spans in token order, without gaps. Built only from what the engine said.
 */
typedef struct
{
  LcSpan spans[LC_MAX_SPANS];
  size_t n_spans;
  int64_t tokens;
  bool unlabelled; /* some token's version is missing or contradictory; final */
} LcLabel;

#endif
