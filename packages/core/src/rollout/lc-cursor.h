#ifndef LC_CURSOR_H
#define LC_CURSOR_H

#include "lb-error.h"

/* Which samples of a step its trainer has: all that an owner needs to go on exactly where another
 * one stopped. It travels as text through the trainer and through the ledger. */
typedef struct
{
  uint64_t session; /* of the owner that gave it */
  int64_t chunk;    /* chunks given before and with it */
  size_t n_slots;
  uint8_t *have; /* one bit for each slot */
} LcCursor;

void lc_cursor_init (LcCursor *cursor, size_t n_slots);
void lc_cursor_clear (LcCursor *cursor);
void lc_cursor_copy (LcCursor *target, const LcCursor *source);

void lc_cursor_add (LcCursor *cursor, size_t slot);
bool lc_cursor_has (const LcCursor *cursor, size_t slot);
size_t lc_cursor_count (const LcCursor *cursor);
/* Every slot of the smaller is in the larger. */
bool lc_cursor_includes (const LcCursor *larger, const LcCursor *smaller);

char *lc_cursor_to_text (const LcCursor *cursor, uint64_t binding);
/* The cursor is initialised also on failure. binding is the hash of the step's content: a cursor of
 * another step or a damaged one is LB_ERROR_BAD_CURSOR. */
bool lc_cursor_from_text (
    LcCursor *cursor, const char *text, size_t n_slots, uint64_t binding, LbError *error);

#endif
