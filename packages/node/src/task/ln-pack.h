#ifndef LN_PACK_H
#define LN_PACK_H

#include <msgpack.h>
#include <stdbool.h>

/* Appends a string to the msgpack payload of a frame. */
void ln_pack_text (msgpack_packer *packer, const char *text);
/* Copies a msgpack string to text. Returns false when the object is not a string or does not fit
 * into size bytes with the terminating NUL. */
bool ln_unpack_text (const msgpack_object *object, char *text, size_t size);

#endif
