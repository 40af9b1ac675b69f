#ifndef LN_UNWRITTEN_ROWS_H
#define LN_UNWRITTEN_ROWS_H

struct LpPlatform;

/* Rows on their way to the platform's store, each written until the store has taken it. There is no
 * condition: for rows of which any value that was written last will do. */
typedef struct LnUnwrittenRows LnUnwrittenRows;

/* incarnation: of this process; it stays the caller's. */
LnUnwrittenRows *ln_unwritten_rows_new (struct LpPlatform *platform, const char *incarnation);
/* The platform must not answer any more. */
void ln_unwritten_rows_free (LnUnwrittenRows *rows);

/* Writes it at once. Takes the text over; NULL: the row is removed. */
void ln_unwritten_rows_write (LnUnwrittenRows *rows, const char *key, char *text);
/* Those that the store did not take. */
void ln_unwritten_rows_retry (LnUnwrittenRows *rows);

#endif
