#ifndef LN_CALL_H
#define LN_CALL_H

#include "ln-answer.h"
#include "ln-exchange.h"
#include "ln-exchange-handler.h"
#include "ln-upstream.h"

#include "lc-organisations.h"

#include <uthash.h>

struct evbuffer;
typedef struct LnCall LnCall;

#define LN_MAX_VERSIONS 16

/* What one attempt has received so far. */
typedef struct
{
  LbLink link; /* in LnCall.attempts */
  LnCall *call;
  LnUpstream *upstream;
  struct evbuffer *text; /* BUFFERED: text collected until one attempt wins */
  LcPiece *pieces;       /* BUFFERED: the pieces of this text */
  size_t n_pieces;
  LcVersion versions[LN_MAX_VERSIONS]; /* distinct weight versions of its pieces */
  size_t n_versions;
  int64_t tokens; /* number of tokens received */
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

/* One request in progress: what to send to endpoints and where the answer goes. */
struct LnCall
{
  LnExchangeHandler handler; /* first; notified when the caller of exchange disconnects */
  UT_hash_handle hh;         /* in LnCalls.by_id, by spec.id */
  LbLink link;               /* in LnCalls.active_calls */
  LnCallKind kind;
  LcRequestSpec spec;
  LnExchange *exchange; /* NULL: a sample, or the caller has disconnected */
  LbTime submitted_at;
  bool is_submitted; /* to the dispatch, which will end it by a FINISH action */
  bool has_ticket;   /* continues after its caller disconnects, who may retry with the ticket */
  bool wants_stream; /* the caller requested a stream of events */
  bool is_stream_started;
  LbTime last_sent_at;      /* when a byte was last sent to the caller of a stream */
  char stream_id[96];       /* id in the events that are sent to the caller */
  struct json_object *body; /* request to an engine */
  char *method;             /* request to a service: this and the next five, all owned */
  char *path;
  LhHeader *headers;
  size_t n_headers;
  char *raw_body;
  size_t raw_length;
  LbName organisation;   /* to which the call belongs; "": none */
  bool was_sent;         /* at least one attempt was started */
  bool is_usage_counted; /* in its organisation's usage */
  bool has_key;
  LcKeyDigest key;            /* of the API key that it was admitted with */
  LcOutgoingRequest outgoing; /* with a dialect: sent to endpoints instead of the fields above */
  char *resume_text;          /* text before resume_at that the submitter has; may be NULL */
  struct evbuffer *sent_text; /* STREAM: text passed to the submitter */
  struct evbuffer *replay_events; /* ticketed streams: events sent, for a retry */
  LbList attempts;
  LnAttempt *ended_attempt; /* whose end is being handled; removed from attempts */
  void *owner;              /* the LnCalls task */
};

LnCall *ln_call_new (LnCallKind kind);
void ln_call_free (LnCall *call);
bool ln_call_is_for_engine (const LnCall *call);
/* Request path at engines; without a dialect only. */
const char *ln_call_engine_path (const LnCall *call);
/* Fingerprint of the request; valid before its first attempt, which modifies the body. */
LcFingerprint ln_call_fingerprint (const LnCall *call);
/* JSON body for one attempt at an engine; the caller frees it. */
char *ln_call_format_engine_body (LnCall *call, const char *stream_id, int64_t resume_at);

/* Whether the header applies to one connection only (hop-by-hop) and is not forwarded. */
bool ln_is_hop_by_hop_header (const char *name);

LnAttempt *ln_attempt_new (LnCall *call);
void ln_attempt_free (LnAttempt *attempt);
LnAttempt *ln_call_find_attempt (LnCall *call, uint32_t number);
/* Updates the totals of the attempt; stores the piece itself if delivery is BUFFERED. */
void ln_attempt_add_piece (LnAttempt *attempt,
                           const LcPiece *piece,
                           struct json_object *event,
                           const char *text);

/* Forwards an engine's event to a streaming caller. */
void ln_call_forward_event (LnCall *call, struct json_object *event, const char *endpoint);
/* Sends an SSE comment if nothing was sent on the stream after idle_since. */
void ln_call_send_keep_alive (LnCall *call, LbTime idle_since, LbTime now);
/* Copies the complete answer, to store it for the call's ticket. */
void ln_call_copy_answer (LnCall *call, LnAttempt *winner, LnAnswer *answer);
/* Sends the answer of the winning attempt to the caller; invalidates the exchange. */
void ln_call_reply (LnCall *call, LnAttempt *winner);
void ln_call_reply_error (LnCall *call, LbErrorCode code, LbTime retry_after);

#endif
