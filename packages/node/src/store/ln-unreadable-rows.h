#ifndef LN_UNREADABLE_ROWS_H
#define LN_UNREADABLE_ROWS_H

#include "lb-error.h"
#include "lb-types.h"

/* Logs malformed rows of a list once each. The list is read several times a second, and a malformed
 * row may stay in it all day; it is logged again only after it was absent from a list. */
typedef struct LnUnreadableRows LnUnreadableRows;

LnUnreadableRows *ln_unreadable_rows_new (void);
void ln_unreadable_rows_free (LnUnreadableRows *rows);

/* Each list of rows is enclosed in begin_list and end_list. */
void ln_unreadable_rows_begin_list (LnUnreadableRows *rows);
void ln_unreadable_rows_report (LnUnreadableRows *rows, const char *key, const LbError *reason);
/* Drops rows that were not in the list. */
void ln_unreadable_rows_end_list (LnUnreadableRows *rows);

#endif
