#ifndef LB_LIST_H
#define LB_LIST_H

#include "lb-types.h"

/* Link of an intrusive doubly linked list: a member of the element's own struct. */
typedef struct LbLink
{
  struct LbLink *prev;
  struct LbLink *next;
} LbLink;

typedef struct
{
  LbLink head;
  size_t length;
} LbList;

#define LB_CONTAINER(link, type, member) ((type *)((char *)(link)-offsetof (type, member)))

/* Iterates over the elements; the loop body may remove the current element, but no other. */
#define LB_LIST_FOREACH(list, type, member, item)                                                  \
  for (LbLink *item##_link = (list)->head.next, *item##_next = item##_link->next;                  \
       item##_link != &(list)->head; item##_link = item##_next, item##_next = item##_link->next)   \
    for (type *item = LB_CONTAINER (item##_link, type, member); item; item = NULL)

#define LB_LIST_FIRST(list, type, member)                                                          \
  (lb_list_is_empty (list) ? NULL : LB_CONTAINER ((list)->head.next, type, member))

void lb_list_init (LbList *list);
bool lb_list_is_empty (const LbList *list);
void lb_list_append (LbList *list, LbLink *link);
void lb_list_prepend (LbList *list, LbLink *link);
void lb_list_insert_before (LbList *list, LbLink *position, LbLink *link);
void lb_list_remove (LbList *list, LbLink *link);
LbLink *lb_list_pop (LbList *list);
bool lb_link_is_in_list (const LbLink *link);

#endif
