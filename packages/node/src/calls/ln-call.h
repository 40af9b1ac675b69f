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

#define LN_MAX_WEIGHT_VERSIONS 16

/* One attempt to run a call at an endpoint, with the data received from the endpoint. */
typedef struct
{
  LbLink link; /* in the list LnCall.attempts */
  LnCall *call;
  LnUpstream *upstream;
  struct evbuffer *text; /* BUFFERED: received text to deliver if this attempt wins */
  LcPiece *pieces;       /* received pieces of the text; used for BUFFERED delivery */
  size_t n_pieces;
  LcVersion versions[LN_MAX_WEIGHT_VERSIONS]; /* distinct weight versions of the pieces */
  size_t n_versions;
  int64_t tokens; /* number of tokens received */
  LbTime sent_at;
  bool is_load_read; /* the load in the reply's headers was read */
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

/* One call in progress: the request to send to endpoints, and the exchange to reply to. */
struct LnCall
{
  LnExchangeHandler handler; /* must be the first member; notified when the caller disconnects */
  UT_hash_handle hh;         /* in the hash table LnCalls.by_id, keyed by spec.id */
  LbLink link;               /* in the list LnCalls.active_calls */
  LnCallKind kind;
  LcRequestSpec spec;
  LnExchange *exchange; /* NULL: sample or score, disconnected, or already replied to */
  LbTime submitted_at;
  bool is_submitted; /* LcDispatch has received the call, and ends it by a FINISH action */
  bool has_ticket;   /* the caller can retry by ticket, so the call continues after a disconnect */
  bool wants_stream; /* the caller requested a stream of events */
  bool is_stream_started;
  LbTime last_sent_at;      /* when bytes were last sent on the caller's stream */
  char stream_id[96];       /* id in the events and replies sent to the caller */
  struct json_object *body; /* request to an engine; NULL: plain service or shared platform */
  /* The members from method to raw_length are the request to a plain service, all owned. */
  char *method;
  char *path;
  LhHeader *headers;
  size_t n_headers;
  char *raw_body;
  size_t raw_length;
  LbName organisation;   /* organisation that the call belongs to; "": none */
  bool was_sent;         /* at least one attempt was started for the call */
  bool is_usage_counted; /* the call was counted in its organisation's usage */
  bool has_key;
  LcKeyDigest key; /* digest of the API key that the call was admitted with; valid if has_key */
  LcOutgoingRequest outgoing; /* on a shared platform: the complete request to endpoints */
  char *resume_text;          /* text before spec.resume_at, generated earlier; NULL: none */
  struct evbuffer *sent_text; /* text already delivered to the caller; used for STREAM delivery */
  struct evbuffer *replay_events; /* events already sent, if has_ticket; replayed on a retry */
  LbList attempts;
  LnAttempt *ended_attempt; /* ended attempt that is being handled and was removed from attempts;
                               NULL: none */
  void *owner;              /* LnCalls task that runs the call */
};

LnCall *ln_call_new (LnCallKind kind);
void ln_call_free (LnCall *call);
bool ln_call_is_for_engine (const LnCall *call);
/* Path of the engine's API that serves the call. Not used on a shared platform. */
const char *ln_call_get_engine_path (const LnCall *call);
/* Returns a hash of the request, by which a request that crashes endpoints is recognised. Call the
 * function before the first attempt, which modifies the body. */
LcFingerprint ln_call_compute_fingerprint (const LnCall *call);
/* Formats the JSON body of an attempt that starts at token resume_at; the caller frees it. */
char *ln_call_format_engine_body (LnCall *call, const char *stream_id, int64_t resume_at);

/* Returns false and sets *error if the call can't be sent to an endpoint as exactly one request. */
bool ln_call_check_request (const LnCall *call, LbError *error);

LnAttempt *ln_attempt_new (LnCall *call);
void ln_attempt_free (LnAttempt *attempt);
LnAttempt *ln_call_find_attempt (LnCall *call, uint32_t number);
/* Adds the piece to the attempt's token count and weight versions. Stores the piece and its text if
 * delivery is BUFFERED. */
void ln_attempt_add_piece (LnAttempt *attempt,
                           const LcPiece *piece,
                           struct json_object *event,
                           const char *text);

/* Writes an engine's event to the caller's stream; stores it too if the call has a ticket. */
void ln_call_forward_event (LnCall *call, struct json_object *event, const char *endpoint);
/* Sends an SSE comment as keep-alive if nothing was sent on the call's stream after idle_since. */
void ln_call_send_keep_alive (LnCall *call, LbTime idle_since, LbTime now);
/* Copies the winning attempt's complete answer, to be stored for the call's ticket. */
void ln_call_copy_answer (LnCall *call, LnAttempt *winner, LnAnswer *answer);
/* Sends the winning attempt's answer to the caller and frees the exchange. */
void ln_call_reply (LnCall *call, LnAttempt *winner);
void ln_call_reply_error (LnCall *call, LbErrorCode code, LbTime retry_after);

#endif
