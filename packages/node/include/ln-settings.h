#ifndef LN_SETTINGS_H
#define LN_SETTINGS_H

#include "lb-error.h"
#include "lb-log.h"

typedef enum
{
  LN_PLATFORM_MEMORY,
  LN_PLATFORM_HTTP,
  LN_PLATFORM_SHARED /* routes, endpoints and batches are those of a shared platform */
} LnPlatformKind;

/* The settings file of lentilspindled, checked. Every member has a default. */
typedef struct
{
  struct
  {
    LbName name; /* empty: made from the caller address */
    LbName data_centre;
    LbName caller_address; /* "127.0.0.1:0": port chosen by the kernel */
    LbName peer_address;
    LbName entry_address; /* further addresses to listen at; empty: none */
    LbName ready_address;
    LbName
        metrics_address; /* empty: only at the callers' address, and on a shared platform nowhere */
    double processor_share; /* of a core, that its machine has */
    double link_mbps;       /* of its machine */
  } instance;
  struct
  {
    int kind; /* LnPlatformKind */
    LbName address;
    int64_t deadline_ms;
    double rate;
  } platform;
  struct
  {
    char key[128]; /* shared key of the frames between instances */
    LbName *seeds; /* peer addresses to begin with */
    size_t n_seeds;
  } cluster;
  struct
  {
    LbName *off; /* names of mechanisms, see lb-switch.h */
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
    int64_t request_read_ms; /* a request must be whole within this time */
    int64_t max_connections;
  } http;
  struct
  {
    LbName policy;
    int64_t queue_limit;
    int64_t default_deadline_ms;
    double retry_budget;
    int64_t hedge_after_ms;
    int64_t stream_silence_ms; /* an endpoint's stream with no byte for this long is broken */
    int64_t load_poll_ms;
  } calls;
  struct
  {
    int64_t drain_ms; /* how long to stay after SIGTERM for callers that hold old addresses */
    int64_t entry_ttl_ms;
    int64_t endpoint_ms; /* within which an endpoint that leaves gets no new work */
  } drain;
  struct
  {
    int64_t keep_ended_s; /* how long an ended batch can still be read */
  } batches;
  struct
  {
    /* Whether the key of an organisation stops working where this instance could not ask for so
     * long whether it was taken away. */
    bool refuse_unconfirmed;
    int64_t longest_unconfirmed_ms;
  } keys;
  struct
  {
    LbName address; /* of the platform beside its store; empty: it has no such calls */
    LbName *kinds;  /* of calls that it wants, as it names them */
    size_t n_kinds;
    bool platform_checks_fence; /* it refuses calls with an old fencing number */
    int64_t usage_window_s;
    int64_t usage_due_s; /* after the end of a window */
  } duties;
  struct
  {
    bool endpoints_check_fence; /* they refuse orders with an old fencing number */
  } weights;
  char address_file[256]; /* written with {"caller_address", "peer_address"} once bound; empty: none
                           */
  char record[256];       /* trace file; empty: none */
  uint64_t seed;
} LnSettings;

void ln_settings_init (LnSettings *settings);
void ln_settings_clear (LnSettings *settings);
bool ln_settings_read (LnSettings *settings, const char *path, LbError *error);

#endif
