#include "ln-lease.h"

#include <json-c/json.h>

/* Passes the result of a read of the lease's row to the lease. A row that can't be parsed counts as
 * a failure of the store, because otherwise the lease would look free and this instance might claim
 * it. */
void
ln_lease_handle_read_result (LcLease *lease,
                             LbErrorCode error,
                             const LpRow *rows,
                             size_t n_rows,
                             LbTime now,
                             LbList *actions)
{
  LcLeaseRow row = { .fence = 0 };
  int64_t version = 0;

  if (error == LB_OK && n_rows == 1)
    {
      version = rows[0].version;
      if (!lc_lease_row_from_text (rows[0].value, &row))
        error = LB_ERROR_INTERNAL;
    }
  lc_lease_read_completed (lease, error, &row, version, now, actions);
}

void
ln_lease_write_row (LpPlatform *platform,
                    const char *key,
                    const char *token,
                    const LcLeaseAction *action,
                    LpTransactDone done,
                    void *user)
{
  struct json_object *object = lc_lease_row_to_json (&action->row);
  const LpCondition condition = { .key = key, .version = action->expected_version };
  const LpPut put = { .key = key, .value = json_object_to_json_string (object) };
  const LpTransaction transaction
      = { .token = token, .conditions = &condition, .n_conditions = 1, .puts = &put, .n_puts = 1 };

  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEASE, done, user);
  json_object_put (object);
}
