#ifndef LN_CALL_H
#define LN_CALL_H

#include "ln-answer.h"
#include "ln-exchange.h"
#include "ln-holder.h"
#include "ln-upstream.h"

#include "lc-organisations.h"

#include <uthash.h>

struct evbuffer;
typedef struct LnCall LnCall;

#define LN_MAX_VERSIONS 16

/* What one attempt has brought so far. */
typedef struct
{
  LbLink link; /* in LnCall.attempts */
  LnCall *call;
  LnUpstream *upstream;
  struct evbuffer *text; /* WHOLE: gathered here until one attempt wins */
  LcPiece *pieces;       /* WHOLE */
  size_t n_pieces;
  LcVersion versions[LN_MAX_VERSIONS];
  size_t n_versions;
  int64_t tokens;
  LbTime sent_at;
  char finish_reason[16];
} LnAttempt;

typedef enum
{
  LN_CALL_COMPLETION,
  LN_CALL_CHAT,
  LN_CALL_SERVICE,
  LN_CALL_SAMPLE,
  LN_CALL_SCORE
} LnCallKind;

/* One request under way: what to send to endpoints and where its answer goes. */
struct LnCall
{
  LnHolder holder;   /* first; hears when the caller of exchange goes away */
  UT_hash_handle hh; /* by spec.id */
  LbLink link;       /* in the task's list */
  LnCallKind kind;
  LcRequestSpec spec;
  LnExchange *exchange; /* NULL: a sample, or nobody waits any more */
  LbTime submitted_at;
  bool submitted; /* to the dispatch, which will say how it ended */
  bool ticketed;  /* goes on without its caller, who may come again with the same ticket */
  bool wants_stream;
  bool stream_begun;
  LbTime last_sent;         /* to the caller of a stream */
  char stream_id[96];       /* the id that the caller sees */
  struct json_object *body; /* for engines */
  char *method;             /* for services, all owned */
  char *path;
  LhHeader *headers;
  size_t n_headers;
  char *raw_body;
  size_t raw_length;
  LbName organisation; /* whose call it is; "": nobody's in particular */
  bool was_sent;       /* an attempt was made */
  bool is_counted;     /* as one that began to run */
  bool has_key;
  LcKeyDigest key;       /* by which its organisation was known */
  LcOutgoing outgoing;   /* in a dialect: what is sent to endpoints, in place of all these */
  char *resume_text;     /* what the submitter has before resume_at; may be NULL */
  struct evbuffer *text; /* STREAM: what has gone out */
  struct evbuffer *kept; /* ticketed streams: what has gone out, as it went out */
  LbList attempts;
  LnAttempt *ended; /* whose end is being handled; it is in attempts no more */
  void *owner;      /* the task's own */
};

LnCall *ln_call_new (LnCallKind kind);
void ln_call_free (LnCall *call);
bool ln_call_is_for_engine (const LnCall *call);
/* Where engines take it; not in a dialect. */
const char *ln_call_engine_path (const LnCall *call);
/* What it asks for; before its first attempt. */
LcFingerprint ln_call_content (const LnCall *call);
/* The JSON for one attempt at an engine; the caller frees it. */
char *ln_call_engine_body (LnCall *call, const char *stream_id, int64_t resume_at);

bool ln_call_is_hop_header (const char *name);

LnAttempt *ln_attempt_new (LnCall *call);
void ln_attempt_free (LnAttempt *attempt);
LnAttempt *ln_call_find_attempt (LnCall *call, uint32_t number);
/* Keeps what the piece says of the whole answer, and the piece itself when pieces are gathered. */
void ln_attempt_add (LnAttempt *attempt,
                     const LcPiece *piece,
                     struct json_object *event,
                     const char *text);

/* Passes an engine's event to a caller who streams. */
void ln_call_forward (LnCall *call, struct json_object *event, const char *endpoint);
/* A comment line to a caller whose stream has been silent since `before`. */
void ln_call_keep_alive (LnCall *call, LbTime before, LbTime now);
/* The whole answer as bytes, for others than the caller who began the call. */
void ln_call_whole_answer (LnCall *call, LnAttempt *winner, LnAnswer *answer);
/* The answer of the attempt that won. The exchange is gone afterwards. */
void ln_call_reply (LnCall *call, LnAttempt *winner);
void ln_call_reply_error (LnCall *call, LbErrorCode code, LbTime retry_after);

#endif
