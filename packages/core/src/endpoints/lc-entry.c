#include "lc-entry.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Weighted rendezvous hashing: the instance with the largest score gets the caller. A change of one
 * instance moves only the callers that it had or gets, and callers share out by weight. */
static double
score (const LcMemberView *view, const char *caller)
{
  const LcInstance *instance = &view->instance;
  uint64_t hash
      = XXH64 (caller, strlen (caller), XXH64 (instance->name, strlen (instance->name), 0));
  double uniform = ((double)(hash >> 11) + 0.5) / (double)(1ULL << 53);
  double weight = 1.0 - (double)instance->load / 1000.0;

  return -weight / log (uniform);
}

static bool
is_chosen (const LcEntryChoice *entry, size_t index)
{
  for (size_t i = 0; i < entry->n_chosen; i++)
    if (entry->chosen[i] == index)
      return true;
  return false;
}

/* An instance that drains or is suspected would refuse or not answer; it is never named. */
static bool
may_be_named (const LcMemberView *view)
{
  return view->alive && !view->draining && view->instance.caller_address[0] != '\0';
}

static void
choose_next (LcEntryChoice *entry,
             const LcMemberView *views,
             size_t n_views,
             const char *caller,
             const char *data_centre,
             bool inside)
{
  double best = -1.0;
  size_t chosen = 0;

  for (size_t i = 0; i < n_views; i++)
    {
      bool is_inside = strcmp (views[i].instance.data_centre, data_centre) == 0;
      if (is_inside != inside || !may_be_named (&views[i]) || is_chosen (entry, i))
        continue;
      double own = score (&views[i], caller);
      if (own <= best)
        continue;
      best = own;
      chosen = i;
    }
  if (best >= 0)
    entry->chosen[entry->n_chosen++] = chosen;
}

/* First one in the caller's data centre, then one elsewhere, so that a caller whose data centre is
 * lost has a good second address; then more of the caller's own. */
void
lc_entry_choose (LcEntryChoice *entry,
                 const LcMemberView *views,
                 size_t n_views,
                 const char *caller,
                 const char *data_centre)
{
  static const bool order[] = { true, false, true, true, false, false };

  entry->n_chosen = 0;
  for (size_t i = 0; i < sizeof order / sizeof *order && entry->n_chosen < LC_MAX_ENTRY_ADDRESSES;
       i++)
    choose_next (entry, views, n_views, caller, data_centre, order[i]);
}
