#ifndef LN_UNWRITTEN_ROWS_H
#define LN_UNWRITTEN_ROWS_H

struct LpPlatform;

/* Writes rows to the platform's store, and keeps each until the store has accepted it. Writes are
 * unconditional: only for rows where the last write may win. */
typedef struct LnUnwrittenRows LnUnwrittenRows;

/* incarnation: of this process; borrowed, must outlive the object. */
LnUnwrittenRows *ln_unwritten_rows_new (struct LpPlatform *platform, const char *incarnation);
/* The platform must not call back after this. */
void ln_unwritten_rows_free (LnUnwrittenRows *rows);

/* Sends the write at once. Takes ownership of text; NULL deletes the row. */
void ln_unwritten_rows_write (LnUnwrittenRows *rows, const char *key, char *text);
/* Sends again the rows that the store did not accept. */
void ln_unwritten_rows_retry (LnUnwrittenRows *rows);

#endif
