#include "lc-leaving.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
hash_incarnation (const char *incarnation)
{
  return incarnation[0] ? XXH3_64bits (incarnation, strlen (incarnation)) : 0;
}

static bool
has_leaving_mark (const LcLeaving *leaving, uint64_t incarnation)
{
  size_t n = leaving->n_marked < LC_MAX_LEAVING_INCARNATIONS ? leaving->n_marked
                                                             : LC_MAX_LEAVING_INCARNATIONS;

  for (size_t i = 0; i < n; i++)
    if (leaving->marked[i] == incarnation)
      return true;
  return false;
}

static void
add_leaving_mark (LcLeaving *leaving, uint64_t incarnation)
{
  if (!has_leaving_mark (leaving, incarnation))
    leaving->marked[leaving->n_marked++ % LC_MAX_LEAVING_INCARNATIONS] = incarnation;
}

/* Called when the endpoint reports its incarnation. `marked` is a ring buffer of the last
 * LC_MAX_LEAVING_INCARNATIONS incarnations that are leaving, so that neither a late report of an
 * earlier process of the endpoint nor a report of a later process clears a mark. A mark that was
 * set before any incarnation was known applies to the first incarnation that is reported. */
void
lc_leaving_set_current_incarnation (LcLeaving *leaving, const char *incarnation)
{
  uint64_t hash = hash_incarnation (incarnation);

  if (hash == leaving->current)
    return;
  if (leaving->current == 0 && has_leaving_mark (leaving, 0))
    add_leaving_mark (leaving, hash);
  else if (leaving->current != 0)
    leaving->is_platform_mark_ambiguous = false;
  leaving->current = hash;
}

/* incarnation: "" means the current incarnation. */
void
lc_leaving_mark_incarnation (LcLeaving *leaving, const char *incarnation)
{
  add_leaving_mark (leaving, incarnation[0] ? hash_incarnation (incarnation) : leaving->current);
}

/* The platform's list names no incarnation and lags. If the list still marks the endpoint after a
 * new incarnation appeared, it may mean the previous incarnation. The endpoint is then treated as
 * leaving while the list marks it, but the new incarnation is not added to `marked`, since entries
 * of `marked` are never cleared. */
void
lc_leaving_set_marked_by_platform (LcLeaving *leaving, bool is_marked_by_platform)
{
  if (!is_marked_by_platform)
    {
      leaving->is_marked_by_platform = false;
      leaving->is_platform_mark_ambiguous = false;
      return;
    }
  if (!leaving->is_marked_by_platform)
    leaving->platform_marked_incarnation = leaving->current;
  leaving->is_marked_by_platform = true;
  if (leaving->platform_marked_incarnation == leaving->current && leaving->current != 0)
    add_leaving_mark (leaving, leaving->current);
  else
    leaving->is_platform_mark_ambiguous = true;
}

bool
lc_leaving_is_current_incarnation_leaving (const LcLeaving *leaving)
{
  if (leaving->is_platform_mark_ambiguous)
    return true;
  if (leaving->current == 0)
    return leaving->n_marked > 0;
  return has_leaving_mark (leaving, leaving->current);
}
