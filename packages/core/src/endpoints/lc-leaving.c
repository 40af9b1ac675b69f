#include "lc-leaving.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
hash_of (const char *incarnation)
{
  return incarnation[0] ? XXH3_64bits (incarnation, strlen (incarnation)) : 0;
}

static bool
is_in_ring (const LcLeaving *leaving, uint64_t incarnation)
{
  size_t n = leaving->n_left < LC_MAX_LEAVING_INCARNATIONS ? leaving->n_left
                                                           : LC_MAX_LEAVING_INCARNATIONS;

  for (size_t i = 0; i < n; i++)
    if (leaving->left[i] == incarnation)
      return true;
  return false;
}

static void
add_to_ring (LcLeaving *leaving, uint64_t incarnation)
{
  if (!is_in_ring (leaving, incarnation))
    leaving->left[leaving->n_left++ % LC_MAX_LEAVING_INCARNATIONS] = incarnation;
}

/* The endpoint stated its incarnation. One that was called leaving before it stated its name, or
 * that is seen again after another, is still leaving: without the ring an old report or a report of
 * the next process in between would bring it back. */
void
lc_leaving_set_incarnation (LcLeaving *leaving, const char *incarnation)
{
  uint64_t hash = hash_of (incarnation);

  if (hash == leaving->present)
    return;
  if (leaving->present == 0 && is_in_ring (leaving, 0))
    add_to_ring (leaving, hash);
  else if (leaving->present != 0)
    leaving->doubted = false;
  leaving->present = hash;
}

/* An empty incarnation means the present one. */
void
lc_leaving_mark (LcLeaving *leaving, const char *incarnation)
{
  add_to_ring (leaving, incarnation[0] ? hash_of (incarnation) : leaving->present);
}

/* The platform's list names no incarnation and lags. When it goes on saying "leaving" after a new
 * incarnation came, it may speak of the one before: the endpoint is kept out while the list says
 * so, but is not condemned, since nothing would ever bring this incarnation back. */
void
lc_leaving_set_platform_listed (LcLeaving *leaving, bool says_leaving)
{
  if (!says_leaving)
    {
      leaving->listed = false;
      leaving->doubted = false;
      return;
    }
  if (!leaving->listed)
    leaving->listed_for = leaving->present;
  leaving->listed = true;
  if (leaving->listed_for == leaving->present && leaving->present != 0)
    add_to_ring (leaving, leaving->present);
  else
    leaving->doubted = true;
}

bool
lc_leaving_is_current_leaving (const LcLeaving *leaving)
{
  if (leaving->doubted)
    return true;
  if (leaving->present == 0)
    return leaving->n_left > 0;
  return is_in_ring (leaving, leaving->present);
}
