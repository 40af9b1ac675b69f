#include "lb-list.h"

void
lb_list_init (LbList *list)
{
  list->head.prev = &list->head;
  list->head.next = &list->head;
  list->length = 0;
}

bool
lb_list_is_empty (const LbList *list)
{
  return list->head.next == &list->head;
}

/* Inserts the link before position; if position is the list's head, at the end of the list. */
void
lb_list_insert_before (LbList *list, LbLink *position, LbLink *link)
{
  link->prev = position->prev;
  link->next = position;
  position->prev->next = link;
  position->prev = link;
  list->length++;
}

void
lb_list_append (LbList *list, LbLink *link)
{
  lb_list_insert_before (list, &list->head, link);
}

void
lb_list_prepend (LbList *list, LbLink *link)
{
  lb_list_insert_before (list, list->head.next, link);
}

void
lb_list_remove (LbList *list, LbLink *link)
{
  link->prev->next = link->next;
  link->next->prev = link->prev;
  link->prev = NULL;
  link->next = NULL;
  list->length--;
}

/* Removes and returns the first link; NULL if the list is empty. */
LbLink *
lb_list_pop (LbList *list)
{
  if (lb_list_is_empty (list))
    return NULL;

  LbLink *link = list->head.next;
  lb_list_remove (list, link);
  return link;
}

bool
lb_link_is_in_list (const LbLink *link)
{
  return link->next != NULL;
}
