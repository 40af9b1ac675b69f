#ifndef LN_MESSAGES_H
#define LN_MESSAGES_H

#include "lc-batch.h"
#include "lc-desired.h"
#include "lc-dispatch.h"
#include "lc-fleet.h"
#include "lc-resources.h"
#include "ln-exchange.h"
#include "ln-task.h"

/* Who posts what to whom. Tasks: "front" (callers' sockets), "calls" (LcDispatch and the sockets to
 * endpoints), "rollouts" (LcRollouts), "config" (resources and leases), "peers" (frames between
 * instances), "store" (the platform). */
typedef enum
{
  LN_EXCHANGE,              /* front -> the task of the route */
  LN_CALLER_DISCONNECTED,   /* front -> the owner: the caller went away */
  LN_CONFIG,                /* config -> all: a newer revision is in force here */
  LN_SAMPLE,                /* rollouts -> calls: generate a sample or ask a scorer */
  LN_SAMPLE_CANCEL,         /* rollouts -> calls */
  LN_SAMPLE_PIECE,          /* calls -> rollouts */
  LN_SAMPLE_DONE,           /* calls -> rollouts */
  LN_POOL_VERSION,          /* config -> rollouts: newest version and cadence of a pool */
  LN_ENDPOINT_REPORT,       /* calls -> config: what an endpoint said of itself */
  LN_ENDPOINT_LEAVING,      /* any -> calls: first that says leaving wins */
  LN_ENDPOINT_SWAP,         /* config -> calls: weights are about to change */
  LN_MEMBERS,               /* peers -> all: the view of live instances changed */
  LN_FLEET,                 /* peers -> config: the same with all that their rows say */
  LN_CATALOG_MEMBERS,       /* config -> peers: what the catalog tells of the instances */
  LN_CATALOG_FOLLOWED,      /* config -> peers: whether the catalog is followed has changed */
  LN_PEER_SEND,             /* any -> peers: a frame for one instance or all */
  LN_PEER_FRAME,            /* peers -> the task named in the frame */
  LN_DRAINING,              /* main -> all */
  LN_DESIRED,               /* config -> all: routes and services of the shared platform */
  LN_DESIRED_CONFIRMED,     /* config -> all: the last LN_DESIRED is still the newest */
  LN_ENDPOINT_LIST_APPLIED, /* config -> calls: which list of the endpoints is in use */
  LN_ENDPOINT_LISTED,       /* config -> calls: an endpoint is still listed, with this version */
  LN_DEMAND,                /* rollouts -> config, duties: a trainer brought a batch */
  LN_DUTY,               /* rollouts, config -> all: whether this instance has a duty has changed */
  LN_REQUEST_STARTED,    /* calls -> duties: an organisation's request began to run */
  LN_SERVICE_OVERLOADED, /* calls -> peers: which service's endpoints are nearly full has changed */
  LN_READY               /* config -> all: whether new work may be taken has changed */
} LnMessageType;

typedef struct
{
  LnMessage base;
  LnExchange *exchange;
} LnExchangeMessage;

typedef struct
{
  LnMessage base;
  LcResourceSet *set; /* owned by the message */
} LnConfigMessage;

typedef struct
{
  LnMessage base;
  LcRequestSpec
      spec;          /* spec.id from ln_context_next_request_id; kind SERVICE: a call of a scorer */
  char *body;        /* owned: JSON for the endpoint */
  char *resume_text; /* owned; NULL: from the start */
  /* In a dialect: what to send, owned, in place of body and resume_text. */
  LcOutgoing *outgoing;
  LbName organisation; /* whose request it is; "": nobody's in particular */
} LnSampleMessage;

typedef struct
{
  LnMessage base;
  LcRequestId request;
  bool return_partial; /* answer with LN_SAMPLE_DONE, LB_ERROR_CLOSED and the text of the pieces
                          posted */
} LnSampleCancelMessage;

typedef struct
{
  LnMessage base;
  LcRequestId request;
  LcPiece piece;
  LbName endpoint;
  char *text; /* owned; in a dialect only: NULL else */
} LnSamplePieceMessage;

typedef struct
{
  LnMessage base;
  LcRequestId request;
  LbErrorCode error;
  char *text; /* owned by the message: what was generated, or the service's reply */
} LnSampleDoneMessage;

typedef struct
{
  LnMessage base;
  LbName pool;
  LcVersion newest;
  LbTime cadence;
} LnPoolVersionMessage;

typedef struct
{
  LnMessage base;
  LbName endpoint;
  LcLoadReport report;
} LnEndpointReportMessage;

typedef struct
{
  LnMessage base;
  LbName endpoint;
  char incarnation[40]; /* empty: the present one */
  LcLeavingSource source;
  bool withdrawn; /* the platform's list no longer says leaving */
} LnEndpointLeavingMessage;

typedef struct
{
  LnMessage base;
  LbName endpoint;
  bool pending;
  LbTime until;
} LnEndpointSwapMessage;

typedef struct
{
  LnMessage base;
  LcDesired *desired; /* a reference, owned by the message */
} LnDesiredMessage;

typedef struct
{
  LnMessage base;
  LbTime at;
} LnDesiredConfirmedMessage;

typedef struct
{
  LnMessage base;
  LbTime requested_at;
  LbName listed_by; /* the instance that asked for it */
} LnEndpointListAppliedMessage;

typedef struct
{
  LnMessage base;
  LbName endpoint;
  LcVersion version; /* of the model that it is used for; 0: a plain service */
} LnEndpointListedMessage;

typedef struct
{
  LnMessage base;
  LbName model;
  int64_t tokens;
  int64_t texts;
} LnDemandMessage;

typedef struct
{
  LnMessage base;
  LbName service; /* "": none */
} LnServiceOverloadedMessage;

/* One instance as this one sees it. */
typedef struct
{
  LbName name;
  LbName incarnation;
  int64_t version; /* of its row in the shared platform's store, when there is one */
  LbName data_centre;
  LbName caller_address; /* where callers connect */
  LbName peer_address;   /* where instances connect */
  bool alive;            /* not suspected */
  bool confirmed;        /* known to have lived lately; may be false of one that has just started */
  bool draining;
  bool cut;              /* reaches the store only with the help of others */
  int64_t strength;      /* of its machine, see lc-duty.h */
  int64_t clock_lead_ms; /* of its time of day over the store's clock; 0: it does not say */
  bool is_self;
} LnMember;

typedef struct
{
  LnMessage base;
  LnMember *members; /* owned by the message */
  size_t n_members;
  bool is_left_out; /* the directory is full, and this instance is not in it */
} LnMembersMessage;

typedef struct
{
  LnMessage base;
  LcFleetMember *members; /* owned by the message */
  size_t n_members;
} LnFleetMessage;

typedef struct
{
  LnMessage base;
  bool followed; /* the instances need not be listed here */
} LnCatalogFollowedMessage;

/* The payload is msgpack; topic names the receiving task ("config", "rollouts", "calls"). */
typedef struct
{
  LnMessage base;
  LbName instance; /* SEND: empty means all; FRAME: the sender */
  LbName topic;
  char *payload; /* owned by the message */
  size_t length;
} LnPeerMessage;

typedef struct
{
  LnMessage base;
  LbName organisation;
  LbTime at;
} LnRequestStartedMessage;

typedef struct
{
  LnMessage base;
} LnDrainingMessage;

/* Until the first one new work is refused as LB_ERROR_NOT_READY: a new process has no confirmed
 * configuration. It may come back to false when the instance is cut off. */
typedef struct
{
  LnMessage base;
  bool ready;
} LnReadyMessage;

/* What others have to take over when this instance dies. */
typedef enum
{
  LN_DUTY_BATCHES,        /* it runs some */
  LN_DUTY_WEIGHT_ORDERS,  /* it holds the lease to order weights */
  LN_DUTY_PLATFORM_CALLS, /* it holds the lease to call the platform */
  LN_N_DUTIES
} LnDuty;

typedef struct
{
  LnMessage base;
  LnDuty duty;
  bool held;
} LnDutyMessage;

#endif
