#include "lc-leaving.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
hash_incarnation (const char *incarnation)
{
  return incarnation[0] ? XXH3_64bits (incarnation, strlen (incarnation)) : 0;
}

static bool
is_marked (const LcLeaving *leaving, uint64_t incarnation)
{
  size_t n = leaving->n_marked < LC_MAX_LEAVING_INCARNATIONS ? leaving->n_marked
                                                             : LC_MAX_LEAVING_INCARNATIONS;

  for (size_t i = 0; i < n; i++)
    if (leaving->marked[i] == incarnation)
      return true;
  return false;
}

static void
add_mark (LcLeaving *leaving, uint64_t incarnation)
{
  if (!is_marked (leaving, incarnation))
    leaving->marked[leaving->n_marked++ % LC_MAX_LEAVING_INCARNATIONS] = incarnation;
}

/* Called when the endpoint reports its incarnation. `marked` is a ring buffer of the last
 * LC_MAX_LEAVING_INCARNATIONS incarnations that are leaving, so that neither a late report of an
 * earlier process nor a report of its successor clears a mark. A mark that was set before any
 * incarnation was known is given to the first one that is reported. */
void
lc_leaving_set_current_incarnation (LcLeaving *leaving, const char *incarnation)
{
  uint64_t hash = hash_incarnation (incarnation);

  if (hash == leaving->current)
    return;
  if (leaving->current == 0 && is_marked (leaving, 0))
    add_mark (leaving, hash);
  else if (leaving->current != 0)
    leaving->is_ambiguous = false;
  leaving->current = hash;
}

/* incarnation: "" for the current one. */
void
lc_leaving_mark_incarnation (LcLeaving *leaving, const char *incarnation)
{
  add_mark (leaving, incarnation[0] ? hash_incarnation (incarnation) : leaving->current);
}

/* The platform's list names no incarnation and lags. If it still marks the endpoint after a new
 * incarnation appeared, it may mean the one before. The endpoint is then treated as leaving while
 * it is listed, but the new incarnation gets no mark, since a mark is never cleared. */
void
lc_leaving_set_marked_by_platform (LcLeaving *leaving, bool is_listed)
{
  if (!is_listed)
    {
      leaving->platform_listed = false;
      leaving->is_ambiguous = false;
      return;
    }
  if (!leaving->platform_listed)
    leaving->platform_listed_for = leaving->current;
  leaving->platform_listed = true;
  if (leaving->platform_listed_for == leaving->current && leaving->current != 0)
    add_mark (leaving, leaving->current);
  else
    leaving->is_ambiguous = true;
}

bool
lc_leaving_is_current_incarnation_leaving (const LcLeaving *leaving)
{
  if (leaving->is_ambiguous)
    return true;
  if (leaving->current == 0)
    return leaving->n_marked > 0;
  return is_marked (leaving, leaving->current);
}
