#include "sk-renewals.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

#define MAX_RENEWAL_TIME (2 * LB_SEC)
#define SLOW_MACHINE_ALLOWANCE (500 * LB_MSEC)

struct SkRenewals
{
  SkWorld *world;
  bool had_fault; /* the store had a fault in the last check */
  /* End of the store's last fault, and the store's version then; LB_TIME_NEVER: already checked. */
  LbTime fault_ended_at;
  int64_t version;
};

SkRenewals *
sk_renewals_new (SkWorld *world)
{
  SkRenewals *renewals = LB_NEW (SkRenewals);

  renewals->world = world;
  renewals->fault_ended_at = LB_TIME_NEVER;
  return renewals;
}

void
sk_renewals_free (SkRenewals *renewals)
{
  free (renewals);
}

/* Returns the version of the newest row of the instance; 0: it has none. The keys of these rows end
 * with the instance's name. */
static int64_t
find_version_of_instance_row (const SkWorld *world, const char *name)
{
  const SiTable *table = si_rows_find_table (&world->store.rows, "instance");
  size_t name_length = strlen (name);
  int64_t version = 0;

  if (!table)
    return 0;
  LB_LIST_FOREACH (&table->changes, SiRow, change_link, row)
  {
    size_t length = strlen (row->key);
    const char *end = row->key + length - name_length;
    if (row->value && length > name_length && strcmp (end, name) == 0 && end[-1] == '-')
      version = row->version;
  }
  return version;
}

static void
check_all_rows_are_renewed (const SkRenewals *renewals)
{
  SkWorld *world = renewals->world;

  for (size_t i = 0; i < world->n_instances; i++)
    {
      const SkInstance *instance = &world->instances[i];
      if (!sk_instance_was_undisturbed_since (instance, renewals->fault_ended_at)
          || instance->heal_at != LB_TIME_NEVER)
        continue;
      if (find_version_of_instance_row (world, instance->name) <= renewals->version)
        sk_report_violation (world, "rows are renewed when the store is back",
                             "%s has not renewed its row %.1f s after the store's fault",
                             instance->name,
                             (double)(MAX_RENEWAL_TIME + SLOW_MACHINE_ALLOWANCE) / LB_SEC);
    }
}

void
sk_renewals_check (SkRenewals *renewals, LbTime now)
{
  const SkWorld *world = renewals->world;
  bool has_fault = world->store_heal_at != LB_TIME_NEVER;

  if (renewals->had_fault && !has_fault)
    {
      renewals->fault_ended_at = now;
      renewals->version = world->store.version;
    }
  renewals->had_fault = has_fault;
  if (has_fault || renewals->fault_ended_at == LB_TIME_NEVER
      || now < renewals->fault_ended_at + MAX_RENEWAL_TIME + SLOW_MACHINE_ALLOWANCE)
    return;
  check_all_rows_are_renewed (renewals);
  renewals->fault_ended_at = LB_TIME_NEVER;
}
