#ifndef LN_UNREADABLE_ROWS_H
#define LN_UNREADABLE_ROWS_H

#include "lb-error.h"
#include "lb-types.h"

/* Rows of a list that name nothing to use. A list is read several times a second, and another
 * writer's row may lie there all day: each is told once, and again only when it has gone and come
 * back. */
typedef struct LnUnreadableRows LnUnreadableRows;

LnUnreadableRows *ln_unreadable_rows_new (void);
void ln_unreadable_rows_free (LnUnreadableRows *rows);

/* Between two calls of begin lies one list. */
void ln_unreadable_rows_begin_list (LnUnreadableRows *rows);
void ln_unreadable_rows_report (LnUnreadableRows *rows, const char *key, const LbError *reason);
/* Forgets what the list did not hold any more. */
void ln_unreadable_rows_end_list (LnUnreadableRows *rows);

#endif
