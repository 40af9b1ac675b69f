#include "ln-step-store.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lp-platform.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Rows of a subscription's step are deleted with the claim of the step so many later, in the same
 * transaction: the table stays bounded without writes of its own. */
#define KEPT_STEPS 64

struct LnStepStore
{
  LnContext *context;
  uint64_t last_token;
  LbList operations;
};

/* One call of the task that waits for the platform. */
typedef struct
{
  LbLink link;
  LnStepStore *store;
  LnStepKey key;
  LnStepOwner owner; /* wanted or own */
  char *token;
  char *row_key;
  char *row_value;
  char *ledger;
  char *content;
  size_t content_length;
  LnStepOwnerDone owner_done;
  LnStepLoadDone load_done;
  LnStepWriteDone write_done;
  void *user;
} Operation;

static Operation *
operation_new (LnStepStore *store, const LnStepKey *key, void *user)
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
operation_free (Operation *operation)
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

/* The store was freed while the platform still had the call. */
static bool
is_orphan (Operation *operation)
{
  if (operation->store)
    return false;
  operation_free (operation);
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
platform_of (const Operation *operation)
{
  return operation->store->context->platform;
}

static char *
step_key (const LnStepKey *key)
{
  return lb_asprintf ("step/%s/%lld", key->subscription, (long long)key->step);
}

static char *
ledger_key (const LnStepKey *key)
{
  return lb_asprintf ("ledger/%s/%lld", key->subscription, (long long)key->step);
}

/* Named by the content, so that an instance that loses the race for a step can not overwrite what
 * the winner works on. */
static char *
object_key (const LnStepKey *key, const LnStepOwner *owner)
{
  return lb_asprintf ("steps/%s/%lld/%s", key->subscription, (long long)key->step, owner->content);
}

/* What the owner of that session left. */
static char *
samples_key (const LnStepKey *key, uint64_t session)
{
  return lb_asprintf ("steps/%s/%lld/ready-%llu", key->subscription, (long long)key->step,
                      (unsigned long long)session);
}

static char *
owner_to_text (const LnStepOwner *owner)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "instance", json_object_new_string (owner->instance));
  json_object_object_add (object, "incarnation", json_object_new_string (owner->incarnation));
  json_object_object_add (object, "address", json_object_new_string (owner->address));
  json_object_object_add (object, "content", json_object_new_string (owner->content));
  json_object_object_add (object, "session", json_object_new_int64 ((int64_t)owner->session));
  return lb_json_take_text (object, JSON_C_TO_STRING_PLAIN);
}

static void
owner_from_row (LnStepOwner *owner, const LpRow *row)
{
  struct json_object *object = json_tokener_parse (row->value);

  memset (owner, 0, sizeof *owner);
  owner->version = row->version;
  owner->session = (uint64_t)json_object_get_int64 (lb_json_member (object, "session"));
  LB_COPY (owner->instance, lb_json_text (object, "instance", ""));
  LB_COPY (owner->incarnation, lb_json_text (object, "incarnation", ""));
  LB_COPY (owner->address, lb_json_text (object, "address", ""));
  LB_COPY (owner->content, lb_json_text (object, "content", ""));
  json_object_put (object);
}

/* Finding. */

static void
on_found (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Operation *operation = user;
  LnStepOwner owner = { 0 };

  if (is_orphan (operation))
    return;
  if (error == LB_ERROR_NOT_FOUND)
    error = LB_OK;
  else if (error == LB_OK && n_rows > 0)
    owner_from_row (&owner, &rows[0]);
  operation->owner_done (error, &owner, operation->user);
  operation_free (operation);
}

void
ln_step_store_find (LnStepStore *store, const LnStepKey *key, LnStepOwnerDone done, void *user)
{
  Operation *operation = operation_new (store, key, user);
  LpPlatform *platform = platform_of (operation);

  operation->owner_done = done;
  operation->row_key = step_key (key);
  platform->klass->get (platform, operation->row_key, on_found, operation);
}

/* Claiming. */

static void
end_claim (Operation *operation, LbErrorCode error)
{
  operation->owner_done (error, &operation->owner, operation->user);
  operation_free (operation);
}

static bool
is_own (const Operation *operation, const LnStepOwner *owner)
{
  return strcmp (owner->incarnation, operation->owner.incarnation) == 0
         && owner->session == operation->owner.session;
}

static void
on_claim_read_back (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Operation *operation = user;
  LnStepOwner owner = { 0 };

  if (is_orphan (operation))
    return;
  if (error == LB_OK && n_rows > 0)
    owner_from_row (&owner, &rows[0]);
  operation->owner.version = owner.version;
  if (error == LB_OK && !is_own (operation, &owner))
    error = LB_ERROR_CONDITION_FAILED;
  end_claim (operation, error == LB_ERROR_NOT_FOUND ? LB_ERROR_STORE_AWAY : error);
}

/* The reply of a write can be lost after the write took effect. Concluding "not claimed" from that
 * would leave a step whose row names this instance while nobody works on it, and a condition that
 * failed may have failed on our own first write: so the row is read back before either is said. */
static void
on_claimed (LbErrorCode error, const LpRow *row, void *user)
{
  Operation *operation = user;

  if (is_orphan (operation))
    return;
  LpPlatform *platform = platform_of (operation);
  (void)row;
  if (error == LB_OK || error == LB_ERROR_STORE_UNKNOWN || error == LB_ERROR_CONDITION_FAILED)
    platform->klass->get (platform, operation->row_key, on_claim_read_back, operation);
  else
    end_claim (operation, error);
}

static void
transact_claim (Operation *operation)
{
  LpPlatform *platform = platform_of (operation);
  LnStepKey old = operation->key;
  LpCondition condition = { .key = operation->row_key, .version = operation->owner.version };

  old.step -= KEPT_STEPS;
  char *old_step = step_key (&old);
  char *old_ledger = ledger_key (&old);
  LpPut puts[] = { { .key = operation->row_key, .value = operation->row_value },
                   { .key = old_step },
                   { .key = old_ledger } };
  LpTransaction transaction = { .token = operation->token,
                                .conditions = &condition,
                                .n_conditions = 1,
                                .puts = puts,
                                .n_puts = sizeof puts / sizeof puts[0] };
  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, on_claimed, operation);
  free (old_step);
  free (old_ledger);
}

static void
on_content_stored (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Operation *operation = user;

  (void)bytes;
  (void)length;
  if (is_orphan (operation))
    return;
  if (error == LB_OK)
    transact_claim (operation);
  else
    end_claim (operation, error);
}

void
ln_step_store_claim (LnStepStore *store,
                     const LnStepKey *key,
                     const LnStepOwner *seen,
                     const char *content,
                     LnStepOwnerDone done,
                     void *user)
{
  Operation *operation = operation_new (store, key, user);
  LpPlatform *platform = platform_of (operation);
  LnStepOwner *owner = &operation->owner;

  *owner = *seen;
  operation->owner_done = done;
  owner->session = seen->session + 1;
  LB_COPY (owner->instance, store->context->instance);
  LB_COPY (owner->incarnation, store->context->incarnation);
  LB_COPY (owner->address, store->context->caller_address);
  if (content)
    snprintf (owner->content, sizeof owner->content, "%016llx",
              (unsigned long long)XXH64 (content, strlen (content), 0));
  operation->row_key = step_key (key);
  operation->row_value = owner_to_text (owner);
  if (!content)
    {
      transact_claim (operation);
      return;
    }
  char *object = object_key (key, owner);
  platform->klass->put_object (platform, object, content, strlen (content), on_content_stored,
                               operation);
  free (object);
}

/* Loading. */

static void
end_load (Operation *operation, LbErrorCode error, const char *samples, size_t length)
{
  const LnStepStored stored = { .content = operation->content,
                                .content_length = operation->content_length,
                                .ledger = operation->ledger,
                                .samples = samples,
                                .samples_length = length };

  operation->load_done (error, &stored, operation->user);
  operation_free (operation);
}

/* Samples are a help only: without them the slots are generated again. */
static void
on_samples (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Operation *operation = user;

  if (is_orphan (operation))
    return;
  end_load (operation, LB_OK, error == LB_OK ? bytes : NULL, error == LB_OK ? length : 0);
}

static void
on_content (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Operation *operation = user;

  if (is_orphan (operation))
    return;
  if (error != LB_OK)
    {
      end_load (operation, error, NULL, 0);
      return;
    }
  LpPlatform *platform = platform_of (operation);
  char *object = samples_key (&operation->key, operation->owner.session - 1);
  operation->content = lb_strndup (bytes, length);
  operation->content_length = length;
  platform->klass->get_object (platform, object, on_samples, operation);
  free (object);
}

static void
on_ledger_row (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Operation *operation = user;

  if (is_orphan (operation))
    return;
  if (error != LB_OK && error != LB_ERROR_NOT_FOUND)
    {
      end_load (operation, error, NULL, 0);
      return;
    }
  LpPlatform *platform = platform_of (operation);
  char *object = object_key (&operation->key, &operation->owner);
  operation->ledger = lb_strdup (error == LB_OK && n_rows > 0 ? rows[0].value : "");
  platform->klass->get_object (platform, object, on_content, operation);
  free (object);
}

void
ln_step_store_load (LnStepStore *store,
                    const LnStepKey *key,
                    const LnStepOwner *owner,
                    LnStepLoadDone done,
                    void *user)
{
  Operation *operation = operation_new (store, key, user);
  LpPlatform *platform = platform_of (operation);

  operation->owner = *owner;
  operation->load_done = done;
  operation->row_key = ledger_key (key);
  platform->klass->get (platform, operation->row_key, on_ledger_row, operation);
}

/* Writing. */

static void
on_ledger_read_back (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Operation *operation = user;

  if (is_orphan (operation))
    return;
  bool written = error == LB_OK && n_rows > 0 && strcmp (rows[0].value, operation->row_value) == 0;
  operation->write_done (written ? LB_OK : LB_ERROR_STORE_AWAY, operation->user);
  operation_free (operation);
}

/* The value carries session and chunk, so an equal row is our own write. */
static void
on_written (LbErrorCode error, const LpRow *row, void *user)
{
  Operation *operation = user;

  (void)row;
  if (is_orphan (operation))
    return;
  if (error == LB_ERROR_STORE_UNKNOWN)
    {
      LpPlatform *platform = platform_of (operation);
      platform->klass->get (platform, operation->row_key, on_ledger_read_back, operation);
      return;
    }
  operation->write_done (error, operation->user);
  operation_free (operation);
}

static void
write_row (Operation *operation, const LnStepOwner *own, const char *condition_key)
{
  LpPlatform *platform = platform_of (operation);
  LpCondition condition = { .key = condition_key, .version = own->version };
  LpPut put = { .key = operation->row_key, .value = operation->row_value };
  LpTransaction transaction = { .token = operation->token,
                                .conditions = &condition,
                                .n_conditions = 1,
                                .puts = &put,
                                .n_puts = 1 };

  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, on_written, operation);
}

/* The condition is on the owner's row, which changes with each new owner and with nothing else: an
 * owner that was paused while another took over fails here, however late its write arrives. */
void
ln_step_store_write_ledger (LnStepStore *store,
                            const LnStepKey *key,
                            const LnStepOwner *own,
                            const char *value,
                            LnStepWriteDone done,
                            void *user)
{
  Operation *operation = operation_new (store, key, user);
  char *owner_key = step_key (key);

  operation->write_done = done;
  operation->row_key = ledger_key (key);
  operation->row_value = lb_strdup (value);
  write_row (operation, own, owner_key);
  free (owner_key);
}

static void
on_samples_stored (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Operation *operation = user;

  (void)bytes;
  (void)length;
  if (is_orphan (operation))
    return;
  if (error == LB_OK)
    {
      write_row (operation, &operation->owner, operation->row_key);
      return;
    }
  operation->write_done (error, operation->user);
  operation_free (operation);
}

/* The samples first: once the row says that nobody owns the step, the next owner may look. */
void
ln_step_store_release (LnStepStore *store,
                       const LnStepKey *key,
                       const LnStepOwner *own,
                       const char *samples,
                       LnStepWriteDone done,
                       void *user)
{
  Operation *operation = operation_new (store, key, user);
  LpPlatform *platform = platform_of (operation);
  LnStepOwner released = { .session = own->session };
  char *object = samples_key (key, own->session);

  LB_COPY (released.content, own->content);
  operation->owner = *own;
  operation->write_done = done;
  operation->row_key = step_key (key);
  operation->row_value = owner_to_text (&released);
  platform->klass->put_object (platform, object, samples, strlen (samples), on_samples_stored,
                               operation);
  free (object);
}
