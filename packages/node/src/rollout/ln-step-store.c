#include "ln-step-store.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lp-platform.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Number of a trainer's steps whose rows are kept (the table names a trainer by its subscription).
 * The transaction that claims step N deletes the rows of step N -
 * MAX_RETAINED_STEPS_PER_SUBSCRIPTION, which bounds the table without extra writes. */
#define MAX_RETAINED_STEPS_PER_SUBSCRIPTION 64

struct LnStepStore
{
  LnContext *context;
  uint64_t last_token;
  LbList operations; /* list of the Operation in progress */
};

/* An operation on a step that waits for an answer of the platform. */
typedef struct
{
  LbLink link;
  LnStepStore *store;
  LnStepKey key;
  LnStepOwner owner; /* owner row of this process, as stored or as being written */
  char *token;
  char *row_key;
  char *row_value;
  char *ledger; /* value of the ledger row, set while loading a step */
  char *content;
  size_t content_length;
  LnStepOwnerDone owner_done;
  LnStepLoadDone load_done;
  LnStepWriteDone write_done;
  void *user;
} Operation;

static Operation *
step_store_operation_new (LnStepStore *store, const LnStepKey *key, void *user)
{
  Operation *operation = LB_NEW (Operation);

  operation->store = store;
  operation->key = *key;
  operation->user = user;
  operation->token = lb_asprintf ("step-%s-%llu", store->context->incarnation,
                                  (unsigned long long)++store->last_token);
  lb_list_append (&store->operations, &operation->link);
  return operation;
}

static void
step_store_operation_free (Operation *operation)
{
  if (operation->store)
    lb_list_remove (&operation->store->operations, &operation->link);
  free (operation->token);
  free (operation->row_key);
  free (operation->row_value);
  free (operation->ledger);
  free (operation->content);
  free (operation);
}

/* Frees the operation and returns true if its LnStepStore was freed while the platform processed
 * the operation. */
static bool
free_operation_if_step_store_is_freed (Operation *operation)
{
  if (operation->store)
    return false;
  step_store_operation_free (operation);
  return true;
}

LnStepStore *
ln_step_store_new (LnContext *context)
{
  LnStepStore *store = LB_NEW (LnStepStore);

  store->context = context;
  lb_list_init (&store->operations);
  return store;
}

void
ln_step_store_free (LnStepStore *store)
{
  LbLink *link;

  while ((link = lb_list_pop (&store->operations)))
    LB_CONTAINER (link, Operation, link)->store = NULL;
  free (store);
}

static LpPlatform *
get_platform (const Operation *operation)
{
  return operation->store->context->platform;
}

static char *
format_owner_row_key (const LnStepKey *key)
{
  return lb_asprintf ("step/%s/%lld", key->subscription, (long long)key->step);
}

static char *
format_ledger_row_key (const LnStepKey *key)
{
  return lb_asprintf ("ledger/%s/%lld", key->subscription, (long long)key->step);
}

/* Returns the key of the object with the trainer's request. The key contains a hash of the content,
 * so that an instance that loses the race to open a step cannot overwrite the winner's content. */
static char *
format_content_object_key (const LnStepKey *key, const LnStepOwner *owner)
{
  return lb_asprintf ("steps/%s/%lld/%s", key->subscription, (long long)key->step,
                      owner->content_hash);
}

/* Returns the key of the object with the samples that the owner of a session stores at its release.
 */
static char *
format_samples_object_key (const LnStepKey *key, uint64_t session)
{
  return lb_asprintf ("steps/%s/%lld/ready-%llu", key->subscription, (long long)key->step,
                      (unsigned long long)session);
}

static char *
owner_to_json (const LnStepOwner *owner)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "instance", json_object_new_string (owner->instance));
  json_object_object_add (object, "incarnation", json_object_new_string (owner->incarnation));
  json_object_object_add (object, "address", json_object_new_string (owner->address));
  json_object_object_add (object, "content", json_object_new_string (owner->content_hash));
  json_object_object_add (object, "session", json_object_new_int64 ((int64_t)owner->session));
  return lb_json_serialize_and_release (object, JSON_C_TO_STRING_PLAIN);
}

static void
owner_from_row (LnStepOwner *owner, const LpRow *row)
{
  struct json_object *object = json_tokener_parse (row->value);

  memset (owner, 0, sizeof *owner);
  owner->row_version = row->version;
  owner->session = (uint64_t)json_object_get_int64 (lb_json_member (object, "session"));
  LB_COPY (owner->instance, lb_json_text (object, "instance", ""));
  LB_COPY (owner->incarnation, lb_json_text (object, "incarnation", ""));
  LB_COPY (owner->address, lb_json_text (object, "address", ""));
  LB_COPY (owner->content_hash, lb_json_text (object, "content", ""));
  json_object_put (object);
}

/* --- reading the owner row --- */

static void
on_owner_row_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Operation *operation = user;
  LnStepOwner owner = { 0 };

  if (free_operation_if_step_store_is_freed (operation))
    return;
  if (error == LB_ERROR_NOT_FOUND)
    error = LB_OK;
  else if (error == LB_OK && n_rows > 0)
    owner_from_row (&owner, &rows[0]);
  operation->owner_done (error, &owner, operation->user);
  step_store_operation_free (operation);
}

void
ln_step_store_read_owner (LnStepStore *store,
                          const LnStepKey *key,
                          LnStepOwnerDone done,
                          void *user)
{
  Operation *operation = step_store_operation_new (store, key, user);
  LpPlatform *platform = get_platform (operation);

  operation->owner_done = done;
  operation->row_key = format_owner_row_key (key);
  platform->klass->get (platform, operation->row_key, on_owner_row_read, operation);
}

/* --- claiming a step --- */

static void
finish_claim_operation (Operation *operation, LbErrorCode error)
{
  operation->owner_done (error, &operation->owner, operation->user);
  step_store_operation_free (operation);
}

static bool
is_row_written_by_this_claim (const Operation *operation, const LnStepOwner *owner)
{
  return strcmp (owner->incarnation, operation->owner.incarnation) == 0
         && owner->session == operation->owner.session;
}

static void
on_claim_read_back (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Operation *operation = user;
  LnStepOwner owner = { 0 };

  if (free_operation_if_step_store_is_freed (operation))
    return;
  if (error == LB_OK && n_rows > 0)
    owner_from_row (&owner, &rows[0]);
  operation->owner.row_version = owner.row_version;
  if (error == LB_OK && !is_row_written_by_this_claim (operation, &owner))
    error = LB_ERROR_CONDITION_FAILED;
  finish_claim_operation (operation, error == LB_ERROR_NOT_FOUND ? LB_ERROR_STORE_AWAY : error);
}

/* Reads the row back unless the write certainly failed. A write may take effect although its reply
 * is lost, and its condition may fail because of an earlier attempt of the same write. If that were
 * reported as a failure, the row would name this instance while no instance serves the step. */
static void
on_step_claim_written (LbErrorCode error, const LpRow *row, void *user)
{
  Operation *operation = user;

  if (free_operation_if_step_store_is_freed (operation))
    return;
  LpPlatform *platform = get_platform (operation);
  (void)row;
  if (error == LB_OK || error == LB_ERROR_STORE_UNKNOWN || error == LB_ERROR_CONDITION_FAILED)
    platform->klass->get (platform, operation->row_key, on_claim_read_back, operation);
  else
    finish_claim_operation (operation, error);
}

static void
write_claim_row (Operation *operation)
{
  LpPlatform *platform = get_platform (operation);
  LnStepKey expired_key = operation->key;
  LpCondition condition = { .key = operation->row_key, .version = operation->owner.row_version };

  expired_key.step -= MAX_RETAINED_STEPS_PER_SUBSCRIPTION;
  char *expired_owner_row = format_owner_row_key (&expired_key);
  char *expired_ledger_row = format_ledger_row_key (&expired_key);
  LpPut puts[] = { { .key = operation->row_key, .value = operation->row_value },
                   { .key = expired_owner_row },
                   { .key = expired_ledger_row } };
  LpTransaction transaction = { .token = operation->token,
                                .conditions = &condition,
                                .n_conditions = 1,
                                .puts = puts,
                                .n_puts = sizeof puts / sizeof puts[0] };
  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, on_step_claim_written,
                             operation);
  free (expired_owner_row);
  free (expired_ledger_row);
}

static void
on_content_stored (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Operation *operation = user;

  (void)bytes;
  (void)length;
  if (free_operation_if_step_store_is_freed (operation))
    return;
  if (error == LB_OK)
    write_claim_row (operation);
  else
    finish_claim_operation (operation, error);
}

void
ln_step_store_claim_step (LnStepStore *store,
                          const LnStepKey *key,
                          const LnStepOwner *seen,
                          const char *content,
                          LnStepOwnerDone done,
                          void *user)
{
  Operation *operation = step_store_operation_new (store, key, user);
  LpPlatform *platform = get_platform (operation);
  LnStepOwner *owner = &operation->owner;

  *owner = *seen;
  operation->owner_done = done;
  owner->session = seen->session + 1;
  LB_COPY (owner->instance, store->context->instance);
  LB_COPY (owner->incarnation, store->context->incarnation);
  LB_COPY (owner->address, store->context->caller_address);
  if (content)
    snprintf (owner->content_hash, sizeof owner->content_hash, "%016llx",
              (unsigned long long)XXH64 (content, strlen (content), 0));
  operation->row_key = format_owner_row_key (key);
  operation->row_value = owner_to_json (owner);
  if (!content)
    {
      write_claim_row (operation);
      return;
    }
  char *object = format_content_object_key (key, owner);
  platform->klass->put_object (platform, object, content, strlen (content), on_content_stored,
                               operation);
  free (object);
}

/* --- loading the stored state of a step --- */

static void
finish_load_operation (Operation *operation, LbErrorCode error, const char *samples, size_t length)
{
  const LnStoredStep stored = { .content = operation->content,
                                .content_length = operation->content_length,
                                .ledger = operation->ledger,
                                .samples = samples,
                                .samples_length = length };

  operation->load_done (error, &stored, operation->user);
  step_store_operation_free (operation);
}

/* Ignores a failure to read the samples, because samples that are missing are generated again. */
static void
on_samples_loaded (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Operation *operation = user;

  if (free_operation_if_step_store_is_freed (operation))
    return;
  finish_load_operation (operation, LB_OK, error == LB_OK ? bytes : NULL,
                         error == LB_OK ? length : 0);
}

static void
on_content_loaded (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Operation *operation = user;

  if (free_operation_if_step_store_is_freed (operation))
    return;
  if (error != LB_OK)
    {
      finish_load_operation (operation, error, NULL, 0);
      return;
    }
  LpPlatform *platform = get_platform (operation);
  char *object = format_samples_object_key (&operation->key, operation->owner.session - 1);
  operation->content = lb_strndup (bytes, length);
  operation->content_length = length;
  platform->klass->get_object (platform, object, on_samples_loaded, operation);
  free (object);
}

static void
on_ledger_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Operation *operation = user;

  if (free_operation_if_step_store_is_freed (operation))
    return;
  if (error != LB_OK && error != LB_ERROR_NOT_FOUND)
    {
      finish_load_operation (operation, error, NULL, 0);
      return;
    }
  LpPlatform *platform = get_platform (operation);
  char *object = format_content_object_key (&operation->key, &operation->owner);
  operation->ledger = lb_strdup (error == LB_OK && n_rows > 0 ? rows[0].value : "");
  platform->klass->get_object (platform, object, on_content_loaded, operation);
  free (object);
}

void
ln_step_store_load_step (LnStepStore *store,
                         const LnStepKey *key,
                         const LnStepOwner *owner,
                         LnStepLoadDone done,
                         void *user)
{
  Operation *operation = step_store_operation_new (store, key, user);
  LpPlatform *platform = get_platform (operation);

  operation->owner = *owner;
  operation->load_done = done;
  operation->row_key = format_ledger_row_key (key);
  platform->klass->get (platform, operation->row_key, on_ledger_read, operation);
}

/* --- writing the ledger and releasing a step --- */

/* Handles the row that is read back after a write with an unknown outcome. If the row has the
 * written value, the write took effect: no other owner can write an equal value, because the value
 * contains the owner's session (and in the ledger row, also the chunk and its slots). */
static void
on_ledger_or_release_read_back (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Operation *operation = user;

  if (free_operation_if_step_store_is_freed (operation))
    return;
  bool is_written
      = error == LB_OK && n_rows > 0 && strcmp (rows[0].value, operation->row_value) == 0;
  operation->write_done (is_written ? LB_OK : LB_ERROR_STORE_AWAY, operation->user);
  step_store_operation_free (operation);
}

static void
on_ledger_or_release_written (LbErrorCode error, const LpRow *row, void *user)
{
  Operation *operation = user;

  (void)row;
  if (free_operation_if_step_store_is_freed (operation))
    return;
  if (error == LB_ERROR_STORE_UNKNOWN)
    {
      LpPlatform *platform = get_platform (operation);
      platform->klass->get (platform, operation->row_key, on_ledger_or_release_read_back,
                            operation);
      return;
    }
  operation->write_done (error, operation->user);
  step_store_operation_free (operation);
}

static void
write_ledger_or_release (Operation *operation, const LnStepOwner *own, const char *condition_key)
{
  LpPlatform *platform = get_platform (operation);
  LpCondition condition = { .key = condition_key, .version = own->row_version };
  LpPut put = { .key = operation->row_key, .value = operation->row_value };
  LpTransaction transaction = { .token = operation->token,
                                .conditions = &condition,
                                .n_conditions = 1,
                                .puts = &put,
                                .n_puts = 1 };

  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER,
                             on_ledger_or_release_written, operation);
}

/* Writes on the condition that the owner row is unchanged. Only a change of the owner changes that
 * row, so a late write of an owner that was paused during a takeover fails. */
void
ln_step_store_write_ledger (LnStepStore *store,
                            const LnStepKey *key,
                            const LnStepOwner *own,
                            const char *value,
                            LnStepWriteDone done,
                            void *user)
{
  Operation *operation = step_store_operation_new (store, key, user);
  char *owner_key = format_owner_row_key (key);

  operation->write_done = done;
  operation->row_key = format_ledger_row_key (key);
  operation->row_value = lb_strdup (value);
  write_ledger_or_release (operation, own, owner_key);
  free (owner_key);
}

static void
on_samples_stored (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Operation *operation = user;

  (void)bytes;
  (void)length;
  if (free_operation_if_step_store_is_freed (operation))
    return;
  if (error == LB_OK)
    {
      write_ledger_or_release (operation, &operation->owner, operation->row_key);
      return;
    }
  operation->write_done (error, operation->user);
  step_store_operation_free (operation);
}

/* Stores the samples before the owner row is cleared, because the next owner may load the samples
 * as soon as the row has no owner. */
void
ln_step_store_release_step (LnStepStore *store,
                            const LnStepKey *key,
                            const LnStepOwner *own,
                            const char *samples,
                            LnStepWriteDone done,
                            void *user)
{
  Operation *operation = step_store_operation_new (store, key, user);
  LpPlatform *platform = get_platform (operation);
  LnStepOwner released = { .session = own->session };
  char *object = format_samples_object_key (key, own->session);

  LB_COPY (released.content_hash, own->content_hash);
  operation->owner = *own;
  operation->write_done = done;
  operation->row_key = format_owner_row_key (key);
  operation->row_value = owner_to_json (&released);
  platform->klass->put_object (platform, object, samples, strlen (samples), on_samples_stored,
                               operation);
  free (object);
}
