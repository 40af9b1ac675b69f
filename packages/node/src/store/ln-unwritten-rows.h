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

/* Sends a write of the row at once and takes ownership of text; NULL deletes the row. */
void ln_unwritten_rows_write (LnUnwrittenRows *rows, const char *key, char *text);
/* Resends the writes that the store did not accept. */
void ln_unwritten_rows_retry_writes (LnUnwrittenRows *rows);

#endif
