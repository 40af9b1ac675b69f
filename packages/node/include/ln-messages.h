#ifndef LN_MESSAGES_H
#define LN_MESSAGES_H

#include "lc-batch-head.h"
#include "lc-batch.h"
#include "lc-desired.h"
#include "lc-dispatch.h"
#include "lc-engine-paces.h"
#include "lc-fleet.h"
#include "lc-resources.h"
#include "lc-trainer-lag.h"
#include "ln-exchange.h"
#include "ln-task.h"

/* Messages between the tasks of one process. Tasks: "front" (callers' sockets), "calls" (LcDispatch
 * and the sockets to endpoints), "rollouts" (LcRollouts; on a shared platform the batches),
 * "config" (resources and leases), "peers" (frames between instances), "duties" (usage reports,
 * scaling). */
typedef enum
{
  LN_EXCHANGE,              /* front -> task of the route: a request to answer */
  LN_CALLER_DISCONNECTED,   /* front -> task that owns the exchange: the caller disconnected */
  LN_CONFIG,                /* config -> all: a newer revision of the resources is in force */
  LN_SAMPLE,                /* rollouts -> calls: generate a sample, or call a scorer */
  LN_SAMPLE_CANCEL,         /* rollouts -> calls: cancel the sample */
  LN_SAMPLE_PIECE,          /* calls -> rollouts: a piece of a sample was generated */
  LN_SAMPLE_DONE,           /* calls -> rollouts: a sample or a scorer's call has ended */
  LN_SAMPLE_MOVE_REFUSED,   /* calls -> rollouts: a proposed move of a sample was refused */
  LN_POOL_VERSION,          /* config -> rollouts: a pool's newest version and update interval */
  LN_ENDPOINT_REPORT,       /* calls -> config: load report of an endpoint */
  LN_ENDPOINT_LEAVING,      /* any -> calls: an endpoint is about to stop */
  LN_ENDPOINT_SWAP,         /* config -> calls: a weight change at an endpoint is pending or over */
  LN_MEMBERS,               /* peers -> all: the set or state of live instances changed */
  LN_FLEET,                 /* peers -> config: store rows of the instances in LN_MEMBERS */
  LN_CATALOG_MEMBERS,       /* config -> peers: instances in the store's table "catalog" */
  LN_CATALOG_FOLLOWED,      /* config -> peers: whether to use LN_CATALOG_MEMBERS */
  LN_PEER_SEND,             /* any -> peers: send a frame to one or all other instances */
  LN_PEER_FRAME,            /* peers -> task named in the frame: an instance sent a frame */
  LN_DRAINING,              /* main -> all: the process is shutting down */
  LN_DESIRED,               /* config -> all: new routes and services of the shared platform */
  LN_DESIRED_CONFIRMED,     /* config -> all: the last LN_DESIRED is confirmed as newest */
  LN_ENDPOINT_LIST_APPLIED, /* config -> calls: when and by whom the endpoint list was requested */
  LN_ENDPOINT_LISTED,       /* config -> calls: a listed endpoint and its weight version */
  LN_DEMAND,                /* rollouts -> config, duties: expected tokens of a new batch */
  LN_TRAINER_STEP,          /* rollouts -> config: a trainer submitted a batch, or it has ended */
  LN_ENGINE_PACES,          /* calls -> rollouts: lasting paces of the engines */
  LN_DUTY,                  /* rollouts, config, duties -> all: took or lost an LnDuty */
  LN_REQUEST_STARTED,       /* calls -> duties: an organisation's request started running */
  LN_SERVICE_OVERLOADED,    /* calls -> peers: which service is overloaded has changed */
  LN_READY                  /* config -> all: this instance now accepts or refuses new work */
} LnMessageType;

typedef struct
{
  LnMessage base;
  LnExchange *exchange;
  LbErrorCode refusal; /* error with which the front task refuses the request; LB_OK: none */
} LnExchangeMessage;

typedef struct
{
  LnMessage base;
  LcResourceSet *set; /* owned by the message */
} LnConfigMessage;

typedef struct
{
  LnMessage base;
  LcRequestSpec spec; /* id from ln_context_next_request_id; kind SERVICE: call to a scorer */
  char *body;         /* owned JSON body of the request to the endpoint */
  char *resume_text;  /* owned text that was generated before spec.resume_at; NULL: none */
  /* Owned request to send on a shared platform, instead of body and resume_text; else NULL. */
  LcOutgoingRequest *outgoing;
  LbName organisation; /* organisation that the request belongs to; "": none */
} LnSampleMessage;

typedef struct
{
  LnMessage base;
  LcRequestId request;
  bool return_partial; /* post LN_SAMPLE_DONE with LB_ERROR_CLOSED and the text of the pieces that
                          were posted */
  /* first decide whether the sample moves to another endpoint; if not, post
   * LN_SAMPLE_MOVE_REFUSED and leave the sample unchanged */
  bool needs_move_decision;
  LcMoveProposal move;
  bool only_if_waiting; /* do nothing if an endpoint runs the request */
} LnSampleCancelMessage;

typedef struct
{
  LnMessage base;
  LcRequestId request;
  LcMoveReason reason;
} LnSampleMoveRefusedMessage;

typedef struct
{
  LnMessage base;
  LcRequestId request;
  LcPiece piece;
  LbName endpoint;
  char *text; /* owned text of the piece on a shared platform; else NULL */
} LnSamplePieceMessage;

typedef struct
{
  LnMessage base;
  LcRequestId request;
  LbErrorCode error;
  char *text; /* generated text or scorer's reply, owned; NULL: none, after an error */
  bool has_move;
  LcMoveDecision move; /* if has_move: decision because of which the sample was preempted */
} LnSampleDoneMessage;

typedef struct
{
  LnMessage base;
  LbName pool;
  LcVersion newest; /* newest weight version */
  LbTime cadence;   /* time between two weight versions; 0: unknown */
} LnPoolVersionMessage;

typedef struct
{
  LnMessage base;
  LbName endpoint;
  LcLoadReport report;
} LnEndpointReportMessage;

/* An endpoint that is leaving: it is about to stop and gets no new work. Several sources may report
 * the same endpoint; the first report is enough. */
typedef struct
{
  LnMessage base;
  LbName endpoint;
  char incarnation[40]; /* incarnation that is leaving; empty: the endpoint's current incarnation */
  LcLeavingSource source;
  bool withdrawn; /* the platform no longer lists the endpoint as leaving */
} LnEndpointLeavingMessage;

typedef struct
{
  LnMessage base;
  LbName endpoint;
  bool pending; /* a weight change is about to start or in progress */
  LbTime until; /* when a pending weight change is assumed to have ended */
} LnEndpointSwapMessage;

typedef struct
{
  LnMessage base;
  LcDesired *desired; /* reference owned by the message */
} LnDesiredMessage;

typedef struct
{
  LnMessage base;
  LbTime at; /* when the store last confirmed the desired state as the newest */
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
  LcVersion version; /* weight version of the endpoint's model; 0: plain service */
} LnEndpointListedMessage;

typedef struct
{
  LnMessage base;
  LbName model;
  LbName host; /* host and path that select the batch's route */
  char path[LC_BATCH_PATH_SIZE];
  int64_t tokens;  /* expected number of generated tokens of the batch */
  int64_t n_items; /* number of items in the batch */
} LnDemandMessage;

typedef struct
{
  LnMessage base;
  LcEnginePaces paces;
} LnEnginePacesMessage;

typedef struct
{
  LnMessage base;
  LcTrainerStep step;
  LcEnginePaces paces; /* lasting paces of engines in the batch's row */
} LnTrainerStepMessage;

typedef struct
{
  LnMessage base;
  LbName service; /* overloaded service; "": none */
} LnServiceOverloadedMessage;

/* State of one instance, as known to the instance that holds this record. */
typedef struct
{
  LbName name;
  LbName incarnation;
  int64_t version; /* version of the instance's row in the shared platform's store */
  LbName data_centre;
  LbName caller_address; /* address at which callers connect */
  LbName peer_address;   /* address at which other instances connect */
  bool alive;            /* not suspected of having failed */
  bool confirmed;        /* seen alive recently; may be false for an instance that just started */
  bool draining;
  bool cut;              /* the instance can reach the store only through other instances */
  int64_t strength;      /* capacity of the instance's machine, see lc-duty.h */
  int64_t started_ms;    /* store's clock when the instance's process started; 0: unknown */
  int64_t clock_lead_ms; /* the instance's wall clock minus the store's; 0: not reported */
  bool is_self;
} LnMember;

typedef struct
{
  LnMessage base;
  LnMember *members; /* owned by the message */
  size_t n_members;
  bool is_omitted; /* this instance is missing from the directory of instances, which is full */
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
  bool followed; /* the catalog is watched, so this instance need not list the instances */
} LnCatalogFollowedMessage;

/* A frame between two instances. */
typedef struct
{
  LnMessage base;
  LbName instance; /* LN_PEER_SEND: receiver, empty: all instances; LN_PEER_FRAME: sender */
  LbName topic;    /* name of the receiving task: "config", "rollouts" or "calls" */
  char *payload;   /* msgpack, owned by the message */
  size_t length;
} LnPeerMessage;

typedef struct
{
  LnMessage base;
  LbName organisation;
  LbTime at; /* send time of the request's first attempt that was not refused */
} LnRequestStartedMessage;

typedef struct
{
  LnMessage base;
} LnDrainingMessage;

/* New work is refused with LB_ERROR_NOT_READY until the first LN_READY, since a new process has no
 * confirmed configuration, and again while the configuration can no longer be confirmed. */
typedef struct
{
  LnMessage base;
  bool ready; /* new work is accepted */
} LnReadyMessage;

/* Work that other instances have to take over when this one exits or crashes. */
typedef enum
{
  LN_DUTY_BATCHES,        /* this instance owns batches */
  LN_DUTY_WEIGHT_ORDERS,  /* this instance holds the lease for ordering weight changes */
  LN_DUTY_PLATFORM_CALLS, /* this instance holds the lease for calls to the shared platform */
  LN_N_DUTIES
} LnDuty;

typedef struct
{
  LnMessage base;
  LnDuty duty;
  bool held; /* true: this instance now has the duty; false: this instance lost the duty */
} LnDutyMessage;

#endif
