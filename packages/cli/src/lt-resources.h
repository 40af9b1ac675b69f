#ifndef LT_RESOURCES_H
#define LT_RESOURCES_H

#include "lc-resources.h"
#include "lt-arguments.h"

/* Fetches the accepted resource set from an instance. On failure returns NULL with an error. */
LcResourceSet *lt_resources_fetch (LtClient *client, LbError *error);

/* Reads files of the form {"resources": [...]} into one change {"apply": [...]}. On failure returns
 * NULL with an error that names the file and the position. */
struct json_object *
lt_resources_read_files (const char *const *files, size_t n_files, LbError *error);

typedef struct
{
  LtClient *client;
  struct json_object *change;
  int64_t expected_revision; /* revision that the change is based on, sent as If-Match */
  bool force;                /* apply the change to any accepted revision, without a check */
  bool dry_run;
  bool json;
  LbTime active_timeout; /* maximum wait until all instances use the change; 0: no wait */
} LtChangeRequest;

/* Sends the change, prints the outcome and returns the exit code of the command. */
int lt_change_request_send (const LtChangeRequest *request);

/* Waits until the revision or a newer one is in force on all known instances. Returns false with an
 * error after the timeout or a failed call. */
bool
lt_resources_wait_until_active (LtClient *client, int64_t revision, LbTime timeout, LbError *error);

void lt_print_json (struct json_object *object);

/* Returns the value of the key as text, or "" if the key is absent or its value is null. */
const char *lt_json_get_text (struct json_object *object, const char *key);
/* Returns the value of the key as an integer, or 0 if the key is absent. */
int64_t lt_json_get_integer (struct json_object *object, const char *key);

#endif
