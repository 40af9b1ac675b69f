#include "ln-batch-name.h"

#include "lb-alloc.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Length in bytes of the suffix of a name: '~' and 16 hexadecimal digits. */
#define HASH_SUFFIX_LENGTH 17

/* Whether the id ends like a name with an organisation's hash. Such an id is rejected: without an
 * organisation, the name of its batch could equal the name of an organisation's batch. */
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
