#include "lb-json-keys.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct
{
  const char *name; /* points into the text, escapes included */
  UT_hash_handle hh;
} Key;

/* An object or array that is not closed yet. */
typedef struct Level
{
  struct Level *outer;
  bool is_object;
  Key *keys;
} Level;

typedef struct
{
  const char *text;
  size_t length;
  size_t position;
  Level *level; /* innermost; NULL: outside of any */
} Scan;

static void
open_level (Scan *scan, bool is_object)
{
  Level *level = LB_NEW (Level);

  level->outer = scan->level;
  level->is_object = is_object;
  scan->level = level;
}

static void
close_level (Scan *scan)
{
  Level *level = scan->level;
  Key *key, *next;

  if (!level)
    return;
  HASH_ITER (hh, level->keys, key, next)
  {
    HASH_DEL (level->keys, key);
    free (key);
  }
  scan->level = level->outer;
  free (level);
}

static bool
skip_past (Scan *scan, const char *end)
{
  const char *found
      = memmem (scan->text + scan->position, scan->length - scan->position, end, strlen (end));

  scan->position = found ? (size_t)(found - scan->text) + strlen (end) : scan->length;
  return true;
}

static bool
skip_comment (Scan *scan)
{
  if (scan->position + 1 >= scan->length || scan->text[scan->position] != '/')
    return false;
  return scan->text[scan->position + 1] == '/'   ? skip_past (scan, "\n")
         : scan->text[scan->position + 1] == '*' ? skip_past (scan, "*/")
                                                 : false;
}

/* Moves from after the opening quote to after the closing one; returns the length in between. */
static size_t
read_string (Scan *scan)
{
  size_t begin = scan->position;

  while (scan->position < scan->length && scan->text[scan->position] != '"')
    scan->position += scan->text[scan->position] == '\\' ? 2 : 1;
  size_t end = scan->position < scan->length ? scan->position : scan->length;
  scan->position = end + 1;
  return end - begin;
}

static bool
is_key (const Scan *scan)
{
  size_t position = scan->position;

  while (position < scan->length && strchr (" \t\r\n", scan->text[position]))
    position++;
  return scan->level && scan->level->is_object && position < scan->length
         && scan->text[position] == ':';
}

/* Returns true if the object already has the key. */
static bool
add_key (Scan *scan, const char *name, size_t length)
{
  Key *key = NULL;

  HASH_FIND (hh, scan->level->keys, name, length, key);
  if (key)
    return true;
  key = LB_NEW (Key);
  key->name = name;
  HASH_ADD_KEYPTR (hh, scan->level->keys, key->name, length, key);
  return false;
}

/* Returns true if the string is a duplicate key, which begins at *offset. */
static bool
scan_string (Scan *scan, size_t *offset)
{
  size_t begin = ++scan->position;
  size_t length = read_string (scan);

  *offset = begin - 1;
  return is_key (scan) && add_key (scan, scan->text + begin, length);
}

bool
lb_json_find_duplicate_key (const char *text, size_t length, size_t *offset)
{
  Scan scan = { .text = text, .length = length };
  bool found = false;

  while (!found && scan.position < length)
    switch (text[scan.position])
      {
      case '"':
        found = scan_string (&scan, offset);
        break;
      case '{':
      case '[':
        open_level (&scan, text[scan.position++] == '{');
        break;
      case '}':
      case ']':
        close_level (&scan);
        scan.position++;
        break;
      default:
        if (!skip_comment (&scan))
          scan.position++;
      }
  while (scan.level)
    close_level (&scan);
  return found;
}
