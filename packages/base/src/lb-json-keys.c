#include "lb-json-keys.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct
{
  const char *name; /* in the text, with its escapes */
  UT_hash_handle hh;
} Key;

/* An object or a list that is open. */
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
  size_t at;
  Level *level; /* innermost; NULL: none is open */
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
skip_to (Scan *scan, const char *end)
{
  const char *found = memmem (scan->text + scan->at, scan->length - scan->at, end, strlen (end));

  scan->at = found ? (size_t)(found - scan->text) + strlen (end) : scan->length;
  return true;
}

static bool
skip_comment (Scan *scan)
{
  if (scan->at + 1 >= scan->length || scan->text[scan->at] != '/')
    return false;
  return scan->text[scan->at + 1] == '/'   ? skip_to (scan, "\n")
         : scan->text[scan->at + 1] == '*' ? skip_to (scan, "*/")
                                           : false;
}

/* From behind the opening quote to behind the closing one; the text between is the result. */
static size_t
read_string (Scan *scan)
{
  size_t begin = scan->at;

  while (scan->at < scan->length && scan->text[scan->at] != '"')
    scan->at += scan->text[scan->at] == '\\' ? 2 : 1;
  size_t end = scan->at < scan->length ? scan->at : scan->length;
  scan->at = end + 1;
  return end - begin;
}

static bool
is_key (const Scan *scan)
{
  size_t at = scan->at;

  while (at < scan->length && strchr (" \t\r\n", scan->text[at]))
    at++;
  return scan->level && scan->level->is_object && at < scan->length && scan->text[at] == ':';
}

/* True: the object has the key already. */
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

static bool
scan_string (Scan *scan, size_t *offset)
{
  size_t begin = ++scan->at;
  size_t length = read_string (scan);

  *offset = begin - 1;
  return is_key (scan) && add_key (scan, scan->text + begin, length);
}

bool
lb_json_find_duplicate_key (const char *text, size_t length, size_t *offset)
{
  Scan scan = { .text = text, .length = length };
  bool found = false;

  while (!found && scan.at < length)
    switch (text[scan.at])
      {
      case '"':
        found = scan_string (&scan, offset);
        break;
      case '{':
      case '[':
        open_level (&scan, text[scan.at++] == '{');
        break;
      case '}':
      case ']':
        close_level (&scan);
        scan.at++;
        break;
      default:
        if (!skip_comment (&scan))
          scan.at++;
      }
  while (scan.level)
    close_level (&scan);
  return found;
}
