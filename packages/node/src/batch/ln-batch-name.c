#include "ln-batch-name.h"

#include "lb-alloc.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* '~' and sixteen hexadecimal digits. */
#define HASH_LENGTH 17

/* Guards against an id that is another batch's whole name: without an organisation the id is the
 * name as it stands. */
static bool
ends_like_a_name (const char *id)
{
  size_t length = strlen (id);

  return length >= HASH_LENGTH && id[length - HASH_LENGTH] == '~'
         && strspn (id + length - HASH_LENGTH + 1, "0123456789abcdef") == HASH_LENGTH - 1;
}

bool
ln_batch_name (const char *organisation, const char *id, LbName name)
{
  size_t length = strlen (id);

  if (length == 0 || length + HASH_LENGTH >= LB_NAME_MAX || strchr (id, '/')
      || ends_like_a_name (id))
    return false;
  if (organisation[0] == '\0')
    lb_strlcpy (name, id, LB_NAME_MAX);
  else
    snprintf (name, LB_NAME_MAX, "%s~%016llx", id,
              (unsigned long long)XXH3_64bits (organisation, strlen (organisation)));
  return true;
}
