#ifndef LN_MESSAGES_H
#define LN_MESSAGES_H

#include "lc-batch.h"
#include "lc-desired.h"
#include "lc-dispatch.h"
#include "lc-fleet.h"
#include "lc-resources.h"
#include "ln-exchange.h"
#include "ln-task.h"

/* Messages between the tasks of one process. Tasks: "front" (callers' sockets), "calls" (LcDispatch
 * and the sockets to endpoints), "rollouts" (LcRollouts; on a shared platform the batches),
 * "config" (resources and leases), "peers" (frames between instances), "duties" (usage reports,
 * scaling). */
typedef enum
{
  LN_EXCHANGE,              /* front -> task of the route: a request to answer */
  LN_CALLER_DISCONNECTED,   /* front -> owner of the exchange */
  LN_CONFIG,                /* config -> all: a newer revision is in force */
  LN_SAMPLE,                /* rollouts -> calls: generate a sample or call a scorer */
  LN_SAMPLE_CANCEL,         /* rollouts -> calls */
  LN_SAMPLE_PIECE,          /* calls -> rollouts */
  LN_SAMPLE_DONE,           /* calls -> rollouts */
  LN_POOL_VERSION,          /* config -> rollouts: newest version and cadence of a pool */
  LN_ENDPOINT_REPORT,       /* calls -> config: load report of an endpoint */
  LN_ENDPOINT_LEAVING,      /* any -> calls: the first source that reports it is enough */
  LN_ENDPOINT_SWAP,         /* config -> calls: weights are about to change */
  LN_MEMBERS,               /* peers -> all: the set or state of live instances changed */
  LN_FLEET,                 /* peers -> config: the same with the complete rows */
  LN_CATALOG_MEMBERS,       /* config -> peers: instances as the catalog lists them */
  LN_CATALOG_FOLLOWED,      /* config -> peers: this instance started or stopped following it */
  LN_PEER_SEND,             /* any -> peers: a frame for one instance or all */
  LN_PEER_FRAME,            /* peers -> task named in the frame */
  LN_DRAINING,              /* main -> all */
  LN_DESIRED,               /* config -> all: routes and services of the shared platform */
  LN_DESIRED_CONFIRMED,     /* config -> all: the last LN_DESIRED is still the newest */
  LN_ENDPOINT_LIST_APPLIED, /* config -> calls: origin of the endpoint list in use */
  LN_ENDPOINT_LISTED,       /* config -> calls: an endpoint is still listed, with this version */
  LN_DEMAND,                /* rollouts -> config, duties: a trainer submitted a batch */
  LN_DUTY,                  /* rollouts, config -> all: this instance took or lost a duty */
  LN_REQUEST_STARTED,       /* calls -> duties: an organisation's request started running */
  LN_SERVICE_OVERLOADED,    /* calls -> peers: the service with nearly full endpoints changed */
  LN_READY                  /* config -> all: whether new work may be accepted changed */
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
  LcRequestSpec spec; /* spec.id from ln_context_next_request_id; kind SERVICE: call of a scorer */
  char *body;         /* owned: JSON for the endpoint */
  char *resume_text;  /* owned: text before spec.resume_at; NULL: none */
  /* With a dialect: the request to send, owned, instead of body and resume_text. */
  LcOutgoingRequest *outgoing;
  LbName organisation; /* to which the request belongs; "": none */
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
  char *text; /* owned; NULL without a dialect */
} LnSamplePieceMessage;

typedef struct
{
  LnMessage base;
  LcRequestId request;
  LbErrorCode error;
  char *text; /* owned: generated text, or the service's reply */
} LnSampleDoneMessage;

typedef struct
{
  LnMessage base;
  LbName pool;
  LcVersion newest; /* newest weight version */
  LbTime cadence;   /* time between two versions; 0: unknown */
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
  char incarnation[40]; /* empty: the current one */
  LcLeavingSource source;
  bool withdrawn; /* the platform no longer lists it as leaving */
} LnEndpointLeavingMessage;

typedef struct
{
  LnMessage base;
  LbName endpoint;
  bool pending; /* false: no change is in progress */
  LbTime until; /* when a pending change is assumed to have ended */
} LnEndpointSwapMessage;

typedef struct
{
  LnMessage base;
  LcDesired *desired; /* a reference, owned by the message */
} LnDesiredMessage;

typedef struct
{
  LnMessage base;
  LbTime at; /* when the store last confirmed it */
} LnDesiredConfirmedMessage;

typedef struct
{
  LnMessage base;
  LbTime requested_at; /* time as of which the list reflects the store */
  LbName listed_by;    /* instance that requested the list */
} LnEndpointListAppliedMessage;

typedef struct
{
  LnMessage base;
  LbName endpoint;
  LcVersion version; /* of the model it serves; 0: plain service */
} LnEndpointListedMessage;

typedef struct
{
  LnMessage base;
  LbName model;
  int64_t tokens;  /* expected number of generated tokens of the batch */
  int64_t n_items; /* number of items in the batch */
} LnDemandMessage;

typedef struct
{
  LnMessage base;
  LbName service; /* "": no service is overloaded */
} LnServiceOverloadedMessage;

/* State of one instance as known here. */
typedef struct
{
  LbName name;
  LbName incarnation;
  int64_t version; /* of its row in the shared platform's store, if any */
  LbName data_centre;
  LbName caller_address; /* for callers */
  LbName peer_address;   /* for other instances */
  bool alive;            /* not suspected */
  bool confirmed;        /* known to be alive recently; may be false for one that just started */
  bool draining;
  bool cut;              /* can reach the store only through other instances */
  int64_t strength;      /* capacity of its machine, see lc-duty.h */
  int64_t clock_lead_ms; /* of its wall clock over the store's; 0: not reported */
  bool is_self;
} LnMember;

typedef struct
{
  LnMessage base;
  LnMember *members; /* owned by the message */
  size_t n_members;
  bool is_omitted; /* the directory of instances is full and does not contain this one */
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
  bool followed; /* if true, this instance need not list the instances itself */
} LnCatalogFollowedMessage;

/* The payload is msgpack; topic names the receiving task ("config", "rollouts", "calls"). */
typedef struct
{
  LnMessage base;
  LbName instance; /* LN_PEER_SEND: the receiver, empty: all; LN_PEER_FRAME: the sender */
  LbName topic;
  char *payload; /* owned by the message */
  size_t length;
} LnPeerMessage;

typedef struct
{
  LnMessage base;
  LbName organisation;
  LbTime at; /* when its first attempt that was not refused was sent */
} LnRequestStartedMessage;

typedef struct
{
  LnMessage base;
} LnDrainingMessage;

/* Until the first one, new work is refused as LB_ERROR_NOT_READY: a new process has no confirmed
 * configuration. Becomes false again when the instance loses contact. */
typedef struct
{
  LnMessage base;
  bool ready;
} LnReadyMessage;

/* Work that other instances have to take over when this one exits or crashes. */
typedef enum
{
  LN_DUTY_BATCHES,        /* owns batches */
  LN_DUTY_WEIGHT_ORDERS,  /* holds the lease to give weight orders */
  LN_DUTY_PLATFORM_CALLS, /* holds the lease to call the platform */
  LN_N_DUTIES
} LnDuty;

typedef struct
{
  LnMessage base;
  LnDuty duty;
  bool held; /* this instance has the duty now */
} LnDutyMessage;

#endif
