#include "lc-heap.h"

#include "lb-alloc.h"

#include <stdlib.h>

#define INITIAL_NODE_CAPACITY 4

void
lc_heap_init (LcHeap *heap, LcHeapBefore before)
{
  *heap = (LcHeap){ .before = before };
}

/* Frees the array of node pointers; the elements belong to the caller. */
void
lc_heap_clear (LcHeap *heap)
{
  free (heap->nodes);
  *heap = (LcHeap){ .before = heap->before };
}

static void
set_node_at_position (LcHeap *heap, size_t position, LcHeapNode *node)
{
  heap->nodes[position - 1] = node;
  node->position = position;
}

static void
sift_up (LcHeap *heap, LcHeapNode *node)
{
  size_t position = node->position;

  while (position > 1 && heap->before (node, heap->nodes[position / 2 - 1]))
    {
      set_node_at_position (heap, position, heap->nodes[position / 2 - 1]);
      position /= 2;
    }
  set_node_at_position (heap, position, node);
}

static void
sift_down (LcHeap *heap, LcHeapNode *node)
{
  size_t position = node->position;

  while (position * 2 <= heap->length)
    {
      size_t child = position * 2;

      if (child < heap->length && heap->before (heap->nodes[child], heap->nodes[child - 1]))
        child++;
      if (!heap->before (heap->nodes[child - 1], node))
        break;
      set_node_at_position (heap, position, heap->nodes[child - 1]);
      position = child;
    }
  set_node_at_position (heap, position, node);
}

void
lc_heap_push (LcHeap *heap, LcHeapNode *node)
{
  if (heap->length == heap->capacity)
    {
      heap->capacity = heap->capacity ? heap->capacity * 2 : INITIAL_NODE_CAPACITY;
      heap->nodes = lb_realloc (heap->nodes, heap->capacity * sizeof *heap->nodes);
    }
  heap->length++;
  set_node_at_position (heap, heap->length, node);
  sift_up (heap, node);
}

void
lc_heap_reposition_node (LcHeap *heap, LcHeapNode *node)
{
  sift_up (heap, node);
  sift_down (heap, node);
}

void
lc_heap_remove (LcHeap *heap, LcHeapNode *node)
{
  size_t position = node->position;

  if (position == 0)
    return;

  LcHeapNode *last = heap->nodes[heap->length - 1];

  heap->length--;
  node->position = 0;
  if (last == node)
    return;
  set_node_at_position (heap, position, last);
  lc_heap_reposition_node (heap, last);
}

LcHeapNode *
lc_heap_top (const LcHeap *heap)
{
  return heap->length ? heap->nodes[0] : NULL;
}
