#include "lc-entry.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Weighted rendezvous hashing: the instance with the largest score gets the caller. Callers are
 * distributed by weight, and a change of one instance moves only the callers that this instance
 * loses or gains. */
static double
compute_rendezvous_score (const LcMemberView *view, const char *caller)
{
  const LcInstance *instance = &view->instance;
  uint64_t hash
      = XXH64 (caller, strlen (caller), XXH64 (instance->name, strlen (instance->name), 0));
  double uniform = ((double)(hash >> 11) + 0.5) / (double)(1ULL << 53);
  double weight = 1.0 - (double)instance->load / 1000.0;

  return -weight / log (uniform);
}

static bool
is_instance_chosen (const LcEntryChoice *choice, size_t index)
{
  for (size_t i = 0; i < choice->n_chosen; i++)
    if (choice->chosen[i] == index)
      return true;
  return false;
}

/* Whether callers may be sent to the instance. A draining instance would reject the caller, and an
 * instance that is suspected to have failed might not answer. */
static bool
is_eligible_instance (const LcMemberView *view)
{
  return view->alive && !view->draining && view->instance.caller_address[0] != '\0';
}

static void
choose_next_instance (LcEntryChoice *choice,
                      const LcMemberView *views,
                      size_t n_views,
                      const char *caller,
                      const char *data_centre,
                      bool same_data_centre)
{
  double best = -1.0;
  size_t chosen = 0;

  for (size_t i = 0; i < n_views; i++)
    {
      bool in_same_data_centre = strcmp (views[i].instance.data_centre, data_centre) == 0;
      if (in_same_data_centre != same_data_centre || !is_eligible_instance (&views[i])
          || is_instance_chosen (choice, i))
        continue;
      double candidate_score = compute_rendezvous_score (&views[i], caller);
      if (candidate_score <= best)
        continue;
      best = candidate_score;
      chosen = i;
    }
  if (best >= 0)
    choice->chosen[choice->n_chosen++] = chosen;
}

/* Chooses the first and third instance in the caller's data centre and the second in another data
 * centre, so that the second address works when the caller's data centre fails. */
void
lc_entry_choose_instances (LcEntryChoice *choice,
                           const LcMemberView *views,
                           size_t n_views,
                           const char *caller,
                           const char *data_centre)
{
  static const bool prefer_same_data_centre[] = { true, false, true, true, false, false };

  choice->n_chosen = 0;
  for (size_t i = 0; i < sizeof prefer_same_data_centre / sizeof *prefer_same_data_centre
                     && choice->n_chosen < LC_MAX_ENTRY_ADDRESSES;
       i++)
    choose_next_instance (choice, views, n_views, caller, data_centre, prefer_same_data_centre[i]);
}
