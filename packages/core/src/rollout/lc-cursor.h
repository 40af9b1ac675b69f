#ifndef LC_CURSOR_H
#define LC_CURSOR_H

#include "lb-error.h"

/* The set of a step's slots (one for each sample) whose samples the trainer has. It is all that a
 * new owner needs to continue the step without losing or repeating a sample, and is stored as text
 * by the trainer and in the ledger, the step's row in the store. */
typedef struct
{
  uint64_t session;     /* session number of the owner that issued the cursor */
  int64_t chunk_number; /* chunks delivered up to and including this cursor's */
  size_t n_slots;
  uint8_t *bitmap; /* one bit for each slot */
} LcCursor;

void lc_cursor_init (LcCursor *cursor, size_t n_slots);
void lc_cursor_clear (LcCursor *cursor);
void lc_cursor_copy (LcCursor *target, const LcCursor *source);

void lc_cursor_add_slot (LcCursor *cursor, size_t slot);
bool lc_cursor_has_slot (const LcCursor *cursor, size_t slot);
size_t lc_cursor_count_slots (const LcCursor *cursor);
/* Whether every slot of subset is in cursor. */
bool lc_cursor_contains (const LcCursor *cursor, const LcCursor *subset);

char *lc_cursor_encode (const LcCursor *cursor, uint64_t step_hash);
/* Initialises the cursor, also on failure; an empty text gives an empty cursor. A damaged cursor or
 * one of a step with another hash fails with LB_ERROR_BAD_CURSOR. */
bool lc_cursor_decode (
    LcCursor *cursor, const char *text, size_t n_slots, uint64_t step_hash, LbError *error);

#endif
