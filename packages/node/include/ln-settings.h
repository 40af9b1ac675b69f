#ifndef LN_SETTINGS_H
#define LN_SETTINGS_H

#include "lb-error.h"
#include "lb-log.h"

typedef enum
{
  LN_PLATFORM_MEMORY,
  LN_PLATFORM_HTTP,
  LN_PLATFORM_SHARED /* routes, endpoints and batches come from a shared platform */
} LnPlatformKind;

/* Validated contents of lentilspindled's settings file. Every member has a default. */
typedef struct
{
  struct
  {
    LbName name; /* empty: the caller address */
    LbName data_centre;
    LbName caller_address; /* port 0: chosen by the kernel */
    LbName peer_address;
    LbName entry_address; /* additional listeners; empty: none */
    LbName ready_address;
    /* Empty: metrics are served at the caller address, and on a shared platform not at all. */
    LbName metrics_address;
    double processor_share; /* processor capacity of its machine, in cores */
    double link_mbps;       /* network capacity of its machine */
  } instance;
  struct
  {
    int kind; /* LnPlatformKind */
    LbName address;
    int64_t deadline_ms; /* for one call to the platform */
    double rate;         /* maximum number of calls to it per second */
  } platform;
  struct
  {
    char key[128]; /* shared secret that authenticates frames between instances */
    LbName *seeds; /* peer addresses contacted to join */
    size_t n_seeds;
  } cluster;
  struct
  {
    LbName *off; /* disabled mechanisms, see lb-switch.h */
    size_t n_off;
  } measure;
  struct
  {
    int level; /* LbLogLevel */
  } log;
  struct
  {
    char operator_token[128];
    int64_t max_body_bytes;
    int64_t max_header_bytes;
    int64_t request_read_ms; /* time limit for receiving a complete request */
    int64_t max_connections;
  } http;
  struct
  {
    LbName policy;               /* routing policy, see lc-dispatch.h */
    int64_t queue_limit;         /* maximum number of queued requests */
    int64_t default_deadline_ms; /* for a request that states none */
    double retry_budget;         /* retries and hedges per successful attempt */
    int64_t hedge_after_ms;      /* for repeatable calls without a first piece; 0: never */
    int64_t stream_silence_ms;   /* a stream without a byte for this long has failed */
    int64_t load_poll_ms;        /* period of the load polls of endpoints */
  } calls;
  struct
  {
    int64_t drain_ms;     /* time to serve callers that use cached addresses after SIGTERM */
    int64_t entry_ttl_ms; /* how long callers may cache the addresses of instances */
    int64_t endpoint_ms;  /* maximum time until a leaving endpoint gets no new work */
  } drain;
  struct
  {
    int64_t keep_ended_s; /* how long a finished batch stays readable */
  } batches;
  struct
  {
    /* Whether to refuse an organisation's API key when this instance has been unable to check for
     * longest_unconfirmed_ms that the key is not revoked. */
    bool refuse_unconfirmed;
    int64_t longest_unconfirmed_ms;
  } keys;
  struct
  {
    LbName address; /* of the platform's duty API; empty: it has none */
    LbName *kinds;  /* kinds of duty calls that the platform wants, by its names for them */
    size_t n_kinds;
    bool platform_checks_fence; /* it rejects calls with an outdated fencing number */
    int64_t usage_window_s;
    int64_t usage_due_s; /* usage of a window is reported within this time after its end */
  } duties;
  struct
  {
    bool endpoints_check_fence; /* they reject orders with an outdated fencing number */
  } weights;
  char address_file[256]; /* receives the bound addresses as JSON; empty: none */
  char record[256];       /* trace file; empty: no trace is recorded */
  uint64_t seed;
} LnSettings;

void ln_settings_init (LnSettings *settings);
void ln_settings_clear (LnSettings *settings);
/* Reads and validates a settings file; keys that it omits keep the values in settings. */
bool ln_settings_read (LnSettings *settings, const char *path, LbError *error);

#endif
