#include "lc-heap.h"

#include "lb-alloc.h"

#include <stdlib.h>

#define FIRST_CAPACITY 4

void
lc_heap_init (LcHeap *heap, LcHeapBefore before)
{
  *heap = (LcHeap){ .before = before };
}

/* Frees the heap's own memory; the elements belong to the caller. */
void
lc_heap_clear (LcHeap *heap)
{
  free (heap->nodes);
  *heap = (LcHeap){ .before = heap->before };
}

static void
put (LcHeap *heap, size_t place, LcHeapNode *node)
{
  heap->nodes[place - 1] = node;
  node->place = place;
}

static void
sift_up (LcHeap *heap, LcHeapNode *node)
{
  size_t place = node->place;

  while (place > 1 && heap->before (node, heap->nodes[place / 2 - 1]))
    {
      put (heap, place, heap->nodes[place / 2 - 1]);
      place /= 2;
    }
  put (heap, place, node);
}

static void
sift_down (LcHeap *heap, LcHeapNode *node)
{
  size_t place = node->place;

  while (place * 2 <= heap->length)
    {
      size_t child = place * 2;

      if (child < heap->length && heap->before (heap->nodes[child], heap->nodes[child - 1]))
        child++;
      if (!heap->before (heap->nodes[child - 1], node))
        break;
      put (heap, place, heap->nodes[child - 1]);
      place = child;
    }
  put (heap, place, node);
}

void
lc_heap_push (LcHeap *heap, LcHeapNode *node)
{
  if (heap->length == heap->capacity)
    {
      heap->capacity = heap->capacity ? heap->capacity * 2 : FIRST_CAPACITY;
      heap->nodes = lb_realloc (heap->nodes, heap->capacity * sizeof *heap->nodes);
    }
  heap->length++;
  put (heap, heap->length, node);
  sift_up (heap, node);
}

/* Restores the order after the key of this element has changed. */
void
lc_heap_moved (LcHeap *heap, LcHeapNode *node)
{
  sift_up (heap, node);
  sift_down (heap, node);
}

/* Takes the element out, wherever it is; nothing when it is in no heap. */
void
lc_heap_remove (LcHeap *heap, LcHeapNode *node)
{
  size_t place = node->place;

  if (place == 0)
    return;

  LcHeapNode *last = heap->nodes[heap->length - 1];

  heap->length--;
  node->place = 0;
  if (last == node)
    return;
  put (heap, place, last);
  lc_heap_moved (heap, last);
}

/* The element that comes out next; NULL when the heap is empty. */
LcHeapNode *
lc_heap_first (const LcHeap *heap)
{
  return heap->length ? heap->nodes[0] : NULL;
}
