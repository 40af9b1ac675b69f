#ifndef LN_UNWRITTEN_ROWS_H
#define LN_UNWRITTEN_ROWS_H

struct LpPlatform;

/* Writes rows to the platform's store and keeps each row until the store has accepted the write.
 * Writes are unconditional, so use this only for rows where the last write may win. */
typedef struct LnUnwrittenRows LnUnwrittenRows;

/* incarnation: unique id of this process start; borrowed, must outlive the object. */
LnUnwrittenRows *ln_unwritten_rows_new (struct LpPlatform *platform, const char *incarnation);
/* The platform must not call back for a pending write after this call. */
void ln_unwritten_rows_free (LnUnwrittenRows *rows);

/* Writes the row, at once unless many writes are in flight, and takes ownership of text; NULL
 * deletes the row. Replaces an earlier text of the row that is not in flight. */
void ln_unwritten_rows_write (LnUnwrittenRows *rows, const char *key, char *text);
/* Resends writes that the store did not accept, and sends those that were not sent yet. */
void ln_unwritten_rows_retry_writes (LnUnwrittenRows *rows);

#endif
