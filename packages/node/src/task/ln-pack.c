#include "ln-pack.h"

#include <string.h>

void
ln_pack_text (msgpack_packer *packer, const char *text)
{
  msgpack_pack_str (packer, strlen (text));
  msgpack_pack_str_body (packer, text, strlen (text));
}

bool
ln_unpack_text (const msgpack_object *object, char *text, size_t size)
{
  if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size)
    return false;
  memcpy (text, object->via.str.ptr, object->via.str.size);
  text[object->via.str.size] = '\0';
  return true;
}
