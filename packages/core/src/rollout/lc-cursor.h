#ifndef LC_CURSOR_H
#define LC_CURSOR_H

#include "lb-error.h"

/* The set of a step's slots (one for each sample) whose samples the trainer has received. From a
 * cursor, a new owner can continue the step without losing or repeating a sample. The trainer and
 * the ledger (the step's row in the store) both keep the cursor as text. */
typedef struct
{
  uint64_t session; /* session number of the owner that issued the cursor */
  /* number of chunks of the step sent so far, including the chunk that this cursor was sent with */
  int64_t chunk_number;
  size_t n_slots;
  uint8_t *bitmap; /* bit i is set if the trainer has received the sample of slot i */
} LcCursor;

void lc_cursor_init (LcCursor *cursor, size_t n_slots);
void lc_cursor_clear (LcCursor *cursor);
void lc_cursor_copy (LcCursor *target, const LcCursor *source);

void lc_cursor_add_slot (LcCursor *cursor, size_t slot);
bool lc_cursor_has_slot (const LcCursor *cursor, size_t slot);
size_t lc_cursor_count_slots (const LcCursor *cursor);
/* Whether every slot of subset is in cursor. */
bool lc_cursor_contains (const LcCursor *cursor, const LcCursor *subset);

/* Number of the cursor's chunk that is unique among all owners of the step and grows with each
 * chunk; 0: no chunk. */
int64_t lc_cursor_get_chunk_id (const LcCursor *cursor);
void lc_cursor_set_chunk_id (LcCursor *cursor, int64_t chunk_id);

char *lc_cursor_encode (const LcCursor *cursor, uint64_t step_hash);
/* Initialises the cursor, also on failure; an empty text gives an empty cursor. Fails with
 * LB_ERROR_BAD_CURSOR if the text is damaged or was encoded with another step_hash. */
bool lc_cursor_decode (
    LcCursor *cursor, const char *text, size_t n_slots, uint64_t step_hash, LbError *error);

#endif
