#include "lc-cursor.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CURSOR_FORMAT_VERSION 1
#define CURSOR_HEADER_BYTES (1 + 8 + 4 + 4)
#define CURSOR_CHECKSUM_BYTES 8

static const char base64url_alphabet[]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

static size_t
bitmap_size_in_bytes (size_t n_slots)
{
  return (n_slots + 7) / 8;
}

void
lc_cursor_init (LcCursor *cursor, size_t n_slots)
{
  memset (cursor, 0, sizeof *cursor);
  cursor->n_slots = n_slots;
  cursor->bitmap = lb_calloc (bitmap_size_in_bytes (n_slots), 1);
}

void
lc_cursor_clear (LcCursor *cursor)
{
  free (cursor->bitmap);
  memset (cursor, 0, sizeof *cursor);
}

void
lc_cursor_copy (LcCursor *target, const LcCursor *source)
{
  uint8_t *bitmap_copy = lb_memdup (source->bitmap, bitmap_size_in_bytes (source->n_slots));

  free (target->bitmap);
  *target = *source;
  target->bitmap = bitmap_copy;
}

void
lc_cursor_add_slot (LcCursor *cursor, size_t slot)
{
  cursor->bitmap[slot / 8] |= (uint8_t)(1u << slot % 8);
}

bool
lc_cursor_has_slot (const LcCursor *cursor, size_t slot)
{
  return cursor->bitmap[slot / 8] >> slot % 8 & 1;
}

size_t
lc_cursor_count_slots (const LcCursor *cursor)
{
  size_t count = 0;

  for (size_t i = 0; i < bitmap_size_in_bytes (cursor->n_slots); i++)
    count += (size_t)__builtin_popcount (cursor->bitmap[i]);
  return count;
}

bool
lc_cursor_contains (const LcCursor *cursor, const LcCursor *subset)
{
  for (size_t i = 0; i < bitmap_size_in_bytes (subset->n_slots); i++)
    if (subset->bitmap[i] & ~cursor->bitmap[i])
      return false;
  return true;
}

#define CHUNK_NUMBER_BITS 20

int64_t
lc_cursor_get_chunk_id (const LcCursor *cursor)
{
  return cursor->chunk_number > 0
             ? (int64_t)(cursor->session << CHUNK_NUMBER_BITS) + cursor->chunk_number
             : 0;
}

void
lc_cursor_set_chunk_id (LcCursor *cursor, int64_t chunk_id)
{
  cursor->session = (uint64_t)chunk_id >> CHUNK_NUMBER_BITS;
  cursor->chunk_number = chunk_id & ((1 << CHUNK_NUMBER_BITS) - 1);
}

/* Writes value as a big-endian number of this many bytes and advances position. */
static void
write_big_endian (uint8_t **position, uint64_t value, int bytes)
{
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    *(*position)++ = (uint8_t)(value >> shift);
}

static uint64_t
read_big_endian (const uint8_t **position, int bytes)
{
  uint64_t value = 0;

  while (bytes-- > 0)
    value = value << 8 | *(*position)++;
  return value;
}

static char *
base64url_encode (const uint8_t *bytes, size_t length)
{
  char *text = lb_malloc ((length + 2) / 3 * 4 + 1);
  size_t n_written = 0;
  uint32_t bits = 0;
  int n_bits = 0;

  for (size_t i = 0; i < length; i++)
    {
      bits = bits << 8 | bytes[i];
      for (n_bits += 8; n_bits >= 6; n_bits -= 6)
        text[n_written++] = base64url_alphabet[bits >> (n_bits - 6) & 63];
    }
  if (n_bits > 0)
    text[n_written++] = base64url_alphabet[bits << (6 - n_bits) & 63];
  text[n_written] = '\0';
  return text;
}

/* Returns false unless the text is the base64url encoding of exactly length bytes. */
static bool
base64url_decode (const char *text, uint8_t *bytes, size_t length)
{
  uint32_t bits = 0;
  int n_bits = 0;
  size_t n_written = 0;

  if (strlen (text) != (length * 8 + 5) / 6)
    return false;
  for (; *text; text++)
    {
      const char *digit = strchr (base64url_alphabet, *text);
      if (!digit)
        return false;
      bits = bits << 6 | (uint32_t)(digit - base64url_alphabet);
      n_bits += 6;
      if (n_bits < 8)
        continue;
      n_bits -= 8;
      bytes[n_written++] = (uint8_t)(bits >> n_bits);
    }
  return n_written == length;
}

char *
lc_cursor_encode (const LcCursor *cursor, uint64_t step_hash)
{
  size_t body_size = CURSOR_HEADER_BYTES + bitmap_size_in_bytes (cursor->n_slots);
  uint8_t *bytes = lb_malloc (body_size + CURSOR_CHECKSUM_BYTES);
  uint8_t *position = bytes;

  write_big_endian (&position, CURSOR_FORMAT_VERSION, 1);
  write_big_endian (&position, cursor->session, 8);
  write_big_endian (&position, (uint64_t)cursor->chunk_number, 4);
  write_big_endian (&position, cursor->n_slots, 4);
  memcpy (position, cursor->bitmap, bitmap_size_in_bytes (cursor->n_slots));
  position = bytes + body_size;
  write_big_endian (&position, XXH64 (bytes, body_size, step_hash), CURSOR_CHECKSUM_BYTES);

  char *text = base64url_encode (bytes, body_size + CURSOR_CHECKSUM_BYTES);
  free (bytes);
  return text;
}

bool
lc_cursor_decode (
    LcCursor *cursor, const char *text, size_t n_slots, uint64_t step_hash, LbError *error)
{
  size_t body_size = CURSOR_HEADER_BYTES + bitmap_size_in_bytes (n_slots);
  uint8_t *bytes = NULL;
  bool ok = false;

  lc_cursor_init (cursor, n_slots);
  if (!text[0])
    return true;
  bytes = lb_malloc (body_size + CURSOR_CHECKSUM_BYTES);
  if (!base64url_decode (text, bytes, body_size + CURSOR_CHECKSUM_BYTES))
    goto out;

  const uint8_t *checksum = bytes + body_size;
  const uint8_t *position = bytes;
  if (read_big_endian (&checksum, CURSOR_CHECKSUM_BYTES) != XXH64 (bytes, body_size, step_hash))
    goto out;
  if (read_big_endian (&position, 1) != CURSOR_FORMAT_VERSION)
    goto out;
  cursor->session = read_big_endian (&position, 8);
  cursor->chunk_number = (int64_t)read_big_endian (&position, 4);
  if (read_big_endian (&position, 4) != n_slots)
    goto out;
  memcpy (cursor->bitmap, position, bitmap_size_in_bytes (n_slots));
  ok = true;
out:
  free (bytes);
  return ok
         || lb_error_set (error, LB_ERROR_BAD_CURSOR, "cursor",
                          "expected the unchanged cursor of this step's last reply");
}
