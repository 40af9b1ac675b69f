#ifndef LN_UNREADABLE_ROWS_H
#define LN_UNREADABLE_ROWS_H

#include "lb-error.h"
#include "lb-types.h"

/* Logs each malformed row of a repeatedly read list only once. The list is read several times a
 * second, and a malformed row may stay in the list all day. The row is logged again only after a
 * list without the row. */
typedef struct LnUnreadableRows LnUnreadableRows;

LnUnreadableRows *ln_unreadable_rows_new (void);
void ln_unreadable_rows_free (LnUnreadableRows *rows);

/* Call before reporting the malformed rows of a list; call ln_unreadable_rows_end_list after the
 * last row. */
void ln_unreadable_rows_begin_list (LnUnreadableRows *rows);
/* Logs the malformed row, unless the row was also reported for the previous list. */
void ln_unreadable_rows_log_once (LnUnreadableRows *rows, const char *key, const LbError *reason);
/* Forgets rows that were not reported since ln_unreadable_rows_begin_list. */
void ln_unreadable_rows_end_list (LnUnreadableRows *rows);

#endif
