#include "lb-json-keys.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct
{
  const char *name; /* points into the scanned text; escape sequences are not decoded */
  UT_hash_handle hh;
} Key;

/* An object or array whose closing bracket has not been scanned yet. */
typedef struct Container
{
  struct Container *outer_container;
  bool is_object;
  Key *keys; /* hash table of the object's keys seen so far; NULL: none */
} Container;

typedef struct
{
  const char *text;
  size_t length;
  size_t position;
  Container *innermost; /* innermost open object or array; NULL: none is open */
} Scanner;

static void
push_container (Scanner *scanner, bool is_object)
{
  Container *container = LB_NEW (Container);

  container->outer_container = scanner->innermost;
  container->is_object = is_object;
  scanner->innermost = container;
}

static void
pop_innermost_container (Scanner *scanner)
{
  Container *innermost = scanner->innermost;
  Key *key, *next;

  if (!innermost)
    return;
  HASH_ITER (hh, innermost->keys, key, next)
  {
    HASH_DEL (innermost->keys, key);
    free (key);
  }
  scanner->innermost = innermost->outer_container;
  free (innermost);
}

static bool
skip_past_comment_terminator (Scanner *scanner, const char *terminator)
{
  const char *found = memmem (scanner->text + scanner->position,
                              scanner->length - scanner->position, terminator, strlen (terminator));

  scanner->position
      = found ? (size_t)(found - scanner->text) + strlen (terminator) : scanner->length;
  return true;
}

static bool
skip_comment (Scanner *scanner)
{
  if (scanner->position + 1 >= scanner->length || scanner->text[scanner->position] != '/')
    return false;
  return scanner->text[scanner->position + 1] == '/' ? skip_past_comment_terminator (scanner, "\n")
         : scanner->text[scanner->position + 1] == '*'
             ? skip_past_comment_terminator (scanner, "*/")
             : false;
}

/* Skips the rest of a string whose opening quote was consumed, closing quote included. Returns the
 * length of the string without quotes. */
static size_t
skip_string (Scanner *scanner)
{
  size_t begin = scanner->position;

  while (scanner->position < scanner->length && scanner->text[scanner->position] != '"')
    scanner->position += scanner->text[scanner->position] == '\\' ? 2 : 1;
  size_t end = scanner->position < scanner->length ? scanner->position : scanner->length;
  scanner->position = end + 1;
  return end - begin;
}

/* Whether the string that was just skipped is a key: in an object and followed by a colon. */
static bool
is_skipped_string_object_key (const Scanner *scanner)
{
  size_t position = scanner->position;

  while (position < scanner->length && strchr (" \t\r\n", scanner->text[position]))
    position++;
  return scanner->innermost && scanner->innermost->is_object && position < scanner->length
         && scanner->text[position] == ':';
}

/* Returns true if the innermost object already has the key; otherwise adds the key to it. */
static bool
find_or_add_key_of_innermost_object (Scanner *scanner, const char *name, size_t length)
{
  Key *key = NULL;

  HASH_FIND (hh, scanner->innermost->keys, name, length, key);
  if (key)
    return true;
  key = LB_NEW (Key);
  key->name = name;
  HASH_ADD_KEYPTR (hh, scanner->innermost->keys, key->name, length, key);
  return false;
}

/* Skips a string; returns true if it is a duplicate key. Sets *offset to its opening quote. */
static bool
scan_string_for_duplicate_key (Scanner *scanner, size_t *offset)
{
  size_t begin = ++scanner->position;
  size_t length = skip_string (scanner);

  *offset = begin - 1;
  return is_skipped_string_object_key (scanner)
         && find_or_add_key_of_innermost_object (scanner, scanner->text + begin, length);
}

bool
lb_json_find_duplicate_key (const char *text, size_t length, size_t *offset)
{
  Scanner scanner = { .text = text, .length = length };
  bool found = false;

  while (!found && scanner.position < length)
    switch (text[scanner.position])
      {
      case '"':
        found = scan_string_for_duplicate_key (&scanner, offset);
        break;
      case '{':
      case '[':
        push_container (&scanner, text[scanner.position++] == '{');
        break;
      case '}':
      case ']':
        pop_innermost_container (&scanner);
        scanner.position++;
        break;
      default:
        if (!skip_comment (&scanner))
          scanner.position++;
      }
  while (scanner.innermost)
    pop_innermost_container (&scanner);
  return found;
}
