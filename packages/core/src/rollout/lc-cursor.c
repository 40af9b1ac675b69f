#include "lc-cursor.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CURSOR_FORMAT 1
#define HEADER_BYTES (1 + 8 + 4 + 4)
#define CHECK_BYTES 8

static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

static size_t
bitmap_bytes (size_t n_slots)
{
  return (n_slots + 7) / 8;
}

void
lc_cursor_init (LcCursor *cursor, size_t n_slots)
{
  memset (cursor, 0, sizeof *cursor);
  cursor->n_slots = n_slots;
  cursor->have = lb_calloc (bitmap_bytes (n_slots), 1);
}

void
lc_cursor_clear (LcCursor *cursor)
{
  free (cursor->have);
  memset (cursor, 0, sizeof *cursor);
}

void
lc_cursor_copy (LcCursor *target, const LcCursor *source)
{
  uint8_t *have = lb_memdup (source->have, bitmap_bytes (source->n_slots));

  free (target->have);
  *target = *source;
  target->have = have;
}

void
lc_cursor_add (LcCursor *cursor, size_t slot)
{
  cursor->have[slot / 8] |= (uint8_t)(1u << slot % 8);
}

bool
lc_cursor_has (const LcCursor *cursor, size_t slot)
{
  return cursor->have[slot / 8] >> slot % 8 & 1;
}

size_t
lc_cursor_count (const LcCursor *cursor)
{
  size_t count = 0;

  for (size_t i = 0; i < bitmap_bytes (cursor->n_slots); i++)
    count += (size_t)__builtin_popcount (cursor->have[i]);
  return count;
}

bool
lc_cursor_includes (const LcCursor *larger, const LcCursor *smaller)
{
  for (size_t i = 0; i < bitmap_bytes (smaller->n_slots); i++)
    if (smaller->have[i] & ~larger->have[i])
      return false;
  return true;
}

static void
put_number (uint8_t **at, uint64_t value, int bytes)
{
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    *(*at)++ = (uint8_t)(value >> shift);
}

static uint64_t
get_number (const uint8_t **at, int bytes)
{
  uint64_t value = 0;

  while (bytes-- > 0)
    value = value << 8 | *(*at)++;
  return value;
}

static char *
base64url_encode (const uint8_t *bytes, size_t length)
{
  char *text = lb_malloc ((length + 2) / 3 * 4 + 1);
  size_t used = 0;
  uint32_t bits = 0;
  int n_bits = 0;

  for (size_t i = 0; i < length; i++)
    {
      bits = bits << 8 | bytes[i];
      for (n_bits += 8; n_bits >= 6; n_bits -= 6)
        text[used++] = alphabet[bits >> (n_bits - 6) & 63];
    }
  if (n_bits > 0)
    text[used++] = alphabet[bits << (6 - n_bits) & 63];
  text[used] = '\0';
  return text;
}

/* False unless the text is exactly length bytes in the alphabet. */
static bool
base64url_decode (const char *text, uint8_t *bytes, size_t length)
{
  uint32_t bits = 0;
  int n_bits = 0;
  size_t used = 0;

  if (strlen (text) != (length * 8 + 5) / 6)
    return false;
  for (; *text; text++)
    {
      const char *letter = strchr (alphabet, *text);
      if (!letter)
        return false;
      bits = bits << 6 | (uint32_t)(letter - alphabet);
      n_bits += 6;
      if (n_bits < 8)
        continue;
      n_bits -= 8;
      bytes[used++] = (uint8_t)(bits >> n_bits);
    }
  return used == length;
}

char *
lc_cursor_to_text (const LcCursor *cursor, uint64_t binding)
{
  size_t body = HEADER_BYTES + bitmap_bytes (cursor->n_slots);
  uint8_t *bytes = lb_malloc (body + CHECK_BYTES);
  uint8_t *at = bytes;

  put_number (&at, CURSOR_FORMAT, 1);
  put_number (&at, cursor->session, 8);
  put_number (&at, (uint64_t)cursor->chunk, 4);
  put_number (&at, cursor->n_slots, 4);
  memcpy (at, cursor->have, bitmap_bytes (cursor->n_slots));
  at = bytes + body;
  put_number (&at, XXH64 (bytes, body, binding), CHECK_BYTES);

  char *text = base64url_encode (bytes, body + CHECK_BYTES);
  free (bytes);
  return text;
}

bool
lc_cursor_from_text (
    LcCursor *cursor, const char *text, size_t n_slots, uint64_t binding, LbError *error)
{
  size_t body = HEADER_BYTES + bitmap_bytes (n_slots);
  uint8_t *bytes = NULL;
  bool ok = false;

  lc_cursor_init (cursor, n_slots);
  if (!text[0])
    return true;
  bytes = lb_malloc (body + CHECK_BYTES);
  if (!base64url_decode (text, bytes, body + CHECK_BYTES))
    goto out;

  const uint8_t *check = bytes + body;
  const uint8_t *at = bytes;
  if (get_number (&check, CHECK_BYTES) != XXH64 (bytes, body, binding))
    goto out;
  if (get_number (&at, 1) != CURSOR_FORMAT)
    goto out;
  cursor->session = get_number (&at, 8);
  cursor->chunk = (int64_t)get_number (&at, 4);
  if (get_number (&at, 4) != n_slots)
    goto out;
  memcpy (cursor->have, at, bitmap_bytes (n_slots));
  ok = true;
out:
  free (bytes);
  return ok
         || lb_error_set (error, LB_ERROR_BAD_CURSOR, "cursor",
                          "expected the cursor of this step's last reply, unchanged");
}
