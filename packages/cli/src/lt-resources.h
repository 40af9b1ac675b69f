#ifndef LT_RESOURCES_H
#define LT_RESOURCES_H

#include "lc-resources.h"
#include "lt-arguments.h"

/* The accepted set as an instance gives it; NULL and a typed error otherwise. */
LcResourceSet *lt_resources_fetch (LtClient *client, LbError *error);

/* Reads {"resources": [...]} files into one change {"apply": [...]}, NULL and a typed error with
 * file and place otherwise. */
struct json_object *
lt_resources_read_files (const char *const *files, size_t n_files, LbError *error);

/* Sends a change that was made from the set with this revision.
 * Prints the outcome; the exit code. */
typedef struct
{
  LtClient *client;
  struct json_object *change;
  int64_t revision;
  bool force;
  bool dry_run;
  bool json;
  LbTime wait; /* until it is in force on all known instances; 0: do not wait */
} LtChangeRequest;

int lt_change_request_send (const LtChangeRequest *change);

/* Waits until the revision, or a newer one, is in force everywhere. */
bool
lt_resources_wait_until_active (LtClient *client, int64_t revision, LbTime wait, LbError *error);

void lt_print_json (struct json_object *object);
const char *lt_json_text (struct json_object *object, const char *key);
int64_t lt_json_integer (struct json_object *object, const char *key);

#endif
