#ifndef LC_HEAP_H
#define LC_HEAP_H

#include "lb-types.h"

/* Intrusive binary heap: the node is embedded in the element, so any element can be removed in
 * O(log n) without a search. */
typedef struct
{
  size_t position; /* 1-based index in LcHeap.nodes; 0: the node is in no heap */
} LcHeapNode;

/* Strict weak order of the heap: true if a comes nearer to the top than b. */
typedef bool (*LcHeapBefore) (const LcHeapNode *a, const LcHeapNode *b);

typedef struct
{
  LcHeapNode **nodes;
  size_t length;
  size_t capacity;
  LcHeapBefore before;
} LcHeap;

#define LC_HEAP_ENTRY(node, type, member) ((type *)((char *)(node)-offsetof (type, member)))

void lc_heap_init (LcHeap *heap, LcHeapBefore before);
void lc_heap_clear (LcHeap *heap);
void lc_heap_push (LcHeap *heap, LcHeapNode *node);
/* Has no effect if the node is in no heap. */
void lc_heap_remove (LcHeap *heap, LcHeapNode *node);
/* Restores the heap order after the key of the node's element has changed. */
void lc_heap_reposition_node (LcHeap *heap, LcHeapNode *node);
/* Returns the first node of the heap's order; NULL if the heap is empty. */
LcHeapNode *lc_heap_top (const LcHeap *heap);

static inline bool
lc_heap_node_is_in_heap (const LcHeapNode *node)
{
  return node->position != 0;
}

#endif
