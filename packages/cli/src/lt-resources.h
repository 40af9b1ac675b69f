#ifndef LT_RESOURCES_H
#define LT_RESOURCES_H

#include "lc-resources.h"
#include "lt-arguments.h"

/* Fetches the accepted resource set from an instance. Returns NULL with an error on failure. */
LcResourceSet *lt_resources_fetch (LtClient *client, LbError *error);

/* Reads {"resources": [...]} files into one change {"apply": [...]}. Returns NULL with an error
 * that names file and position on failure. */
struct json_object *
lt_resources_read_files (const char *const *files, size_t n_files, LbError *error);

typedef struct
{
  LtClient *client;
  struct json_object *change;
  int64_t expected_revision; /* of the set that the change is based on, sent as If-Match */
  bool force;                /* apply whatever revision is accepted */
  bool dry_run;
  bool json;
  LbTime active_timeout; /* how long to wait until it is in force on all instances; 0: no wait */
} LtChangeRequest;

/* Sends the change, prints the outcome and returns the exit code. */
int lt_change_request_send (const LtChangeRequest *request);

/* Waits until the revision, or a newer one, is in force on all known instances. */
bool
lt_resources_wait_until_active (LtClient *client, int64_t revision, LbTime timeout, LbError *error);

void lt_print_json (struct json_object *object);

/* Returns the value as text, or "" if the key is absent or null. */
const char *lt_json_text (struct json_object *object, const char *key);
/* Returns the value as an integer, or 0 if the key is absent. */
int64_t lt_json_integer (struct json_object *object, const char *key);

#endif
