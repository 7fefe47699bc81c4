/** @file
 * Intrusive doubly linked list. An element embeds a ListNode; the list does not own its elements. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct ListNode ListNode;

struct ListNode
{
  ListNode *prev;
  ListNode *next;
};

typedef struct
{
  ListNode head;
} List;

/** @return the element of type @p Type that embeds @p node as @p member. */
#define LIST_ENTRY(node, Type, member) ((Type *)(void *)((char *)(node)-offsetof (Type, member)))

static inline void
list_init (List *list)
{
  list->head.prev = &list->head;
  list->head.next = &list->head;
}

static inline bool
list_is_empty (const List *list)
{
  return list->head.next == &list->head;
}

static inline void
list_insert_before (ListNode *next, ListNode *node)
{
  node->prev = next->prev;
  node->next = next;
  next->prev->next = node;
  next->prev = node;
}

static inline void
list_append (List *list, ListNode *node)
{
  list_insert_before (&list->head, node);
}

static inline void
list_prepend (List *list, ListNode *node)
{
  list_insert_before (list->head.next, node);
}

/** Unlinks a node. Has no effect on a zeroed node or on one that has been removed before. */
static inline void
list_remove (ListNode *node)
{
  if (!node->next)
    return;
  node->prev->next = node->next;
  node->next->prev = node->prev;
  node->prev = NULL;
  node->next = NULL;
}

/** @return the first node, or NULL if the list is empty. */
static inline ListNode *
list_first (const List *list)
{
  return list_is_empty (list) ? NULL : list->head.next;
}

/** @return the node after @p node, or NULL at the end. */
static inline ListNode *
list_next (const List *list, const ListNode *node)
{
  return node->next == &list->head ? NULL : node->next;
}
