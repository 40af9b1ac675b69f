#include "ln-batch-name.h"

#include "lb-alloc.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Length of '~' and 16 hexadecimal digits. */
#define HASH_SUFFIX_LENGTH 17

/* Not allowed in an id: with an organisation, the name is the id plus this suffix, and without one
 * it is the id itself, so that two batches could have the same name. */
static bool
has_hash_suffix (const char *id)
{
  size_t length = strlen (id);

  return length >= HASH_SUFFIX_LENGTH && id[length - HASH_SUFFIX_LENGTH] == '~'
         && strspn (id + length - HASH_SUFFIX_LENGTH + 1, "0123456789abcdef")
                == HASH_SUFFIX_LENGTH - 1;
}

bool
ln_batch_build_name (const char *organisation, const char *id, LbName name)
{
  size_t length = strlen (id);

  if (length == 0 || length + HASH_SUFFIX_LENGTH >= LB_NAME_MAX || strchr (id, '/')
      || has_hash_suffix (id))
    return false;
  if (organisation[0] == '\0')
    lb_strlcpy (name, id, LB_NAME_MAX);
  else
    snprintf (name, LB_NAME_MAX, "%s~%016llx", id,
              (unsigned long long)XXH3_64bits (organisation, strlen (organisation)));
  return true;
}
