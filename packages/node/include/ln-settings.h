#ifndef LN_SETTINGS_H
#define LN_SETTINGS_H

#include "lb-error.h"
#include "lb-log.h"

typedef enum
{
  LN_PLATFORM_MEMORY,
  LN_PLATFORM_HTTP,
  LN_PLATFORM_SHARED /* a shared platform provides routes, endpoints and batches */
} LnPlatformKind;

/* Validated contents of lentilspindled's settings file. ln_settings_init sets the defaults. */
typedef struct
{
  struct
  {
    LbName name; /* name of this instance; empty: the caller address */
    LbName data_centre;
    LbName caller_address; /* where callers connect; port 0: the kernel chooses a port */
    LbName peer_address;   /* where other instances connect */
    LbName entry_address;  /* additional listener for address lookups; empty: none */
    LbName ready_address;  /* additional listener for readiness checks; empty: none */
    /* Listener for metrics. Empty: metrics are served at the caller address, and not served on a
     * shared platform. */
    LbName metrics_address;
    double processor_share; /* processor cores of the machine that this instance may use */
    double link_mbps;       /* network capacity of the machine, in Mbit/s */
    int64_t memory_mb;      /* memory of the machine that this instance may use, in MiB */
  } instance;
  struct
  {
    int kind; /* value of LnPlatformKind */
    LbName address;
    int64_t deadline_ms; /* time limit for one call to the platform */
    double rate;         /* maximum number of calls to the platform per second */
  } platform;
  struct
  {
    char key[128]; /* shared secret for authenticating frames between instances */
    LbName *seeds; /* peer addresses of instances to contact when joining the cluster */
    size_t n_seeds;
  } cluster;
  struct
  {
    LbName *off; /* names of disabled optimisations, see lb-switch.h */
    size_t n_off;
  } measure;
  struct
  {
    int level; /* value of LbLogLevel */
  } log;
  struct
  {
    char operator_token[128]; /* token of operators' requests; empty: all are refused */
    int64_t max_body_bytes;
    int64_t max_header_bytes;
    int64_t request_read_ms; /* time limit for receiving a complete request */
    int64_t max_connections;
  } http;
  struct
  {
    LbName policy;               /* name of the routing policy, see lc-dispatch.h */
    int64_t queue_limit;         /* maximum number of queued requests */
    int64_t default_deadline_ms; /* deadline of a request that does not state a deadline */
    double retry_budget;         /* number of retries and hedges allowed per successful attempt */
    int64_t hedge_after_ms;    /* time without output until a repeatable call is hedged; 0: never */
    int64_t stream_silence_ms; /* a stream that receives no byte for this time has failed */
    int64_t load_poll_ms;      /* time between two queries of an endpoint's load */
  } calls;
  struct
  {
    int64_t drain_ms;     /* minimum time to serve callers with cached addresses after SIGTERM */
    int64_t entry_ttl_ms; /* how long callers may cache addresses of instances */
    double grace_s;       /* time from SIGTERM until the process is killed; 0: it is not killed */
    int64_t endpoint_ms;  /* maximum time until an endpoint about to stop gets no work */
  } drain;
  struct
  {
    int64_t keep_ended_s; /* how long the results of a finished batch can be read */
  } batches;
  struct
  {
    /* Whether to refuse all API keys when this instance has been unable to check for revoked keys
     * for longest_unconfirmed_ms. */
    bool refuse_unconfirmed;
    int64_t longest_unconfirmed_ms;
  } keys;
  struct
  {
    LbName address; /* address of the platform's duty API; empty: the platform has none */
    LbName *kinds;  /* duties (calls by one instance for all) that the platform wants */
    size_t n_kinds;
    bool platform_checks_fence; /* the platform rejects calls with an outdated fencing token */
    int64_t usage_window_s;     /* length of the time window of one usage report */
    int64_t usage_due_s; /* time limit for reporting the usage of a window after the window's end */
  } duties;
  struct
  {
    bool endpoints_check_fence; /* endpoints reject weight orders with an outdated fencing token */
  } weights;
  char address_file[256]; /* path of a file to which the bound addresses are written; empty: none */
  char record[256];       /* path of the trace file to record; empty: none */
  uint64_t seed; /* seed of random numbers; 0: derived from the instance name and start time */
} LnSettings;

void ln_settings_init (LnSettings *settings);
void ln_settings_clear (LnSettings *settings);
/* Reads and validates a settings file. Keys that are missing from the file keep their values in
 * settings. */
bool ln_settings_read (LnSettings *settings, const char *path, LbError *error);

#endif
