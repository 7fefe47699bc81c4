#include "dispatch/prefix_map.h"

#include <glib.h>
#include <talloc.h>

#include "core/list.h"

#define SERVERS_PER_PART 4 /* the most recent ones are kept */

typedef struct
{
  ListNode node; /* in the map's lru */
  uint64_t part;
  uint64_t servers[SERVERS_PER_PART];
  int64_t used_ms[SERVERS_PER_PART];
} PrefixEntry;

struct PrefixMap
{
  GHashTable *entries; /* by part */
  List lru;            /* least recently used first */
  size_t max_entries;
};

static int
map_destroy (PrefixMap *m)
{
  g_hash_table_unref (m->entries);
  return 0;
}

PrefixMap *
prefix_map_new (const void *ctx, size_t max_entries)
{
  PrefixMap *m = talloc_zero (ctx, PrefixMap);

  m->entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  m->max_entries = max_entries;
  list_init (&m->lru);
  talloc_set_destructor (m, map_destroy);
  return m;
}

static PrefixEntry *
add_entry (PrefixMap *m, uint64_t part)
{
  PrefixEntry *e;

  if (g_hash_table_size (m->entries) >= m->max_entries)
    {
      e = LIST_ENTRY (list_first (&m->lru), PrefixEntry, node);
      g_hash_table_remove (m->entries, &e->part);
      list_remove (&e->node);
      talloc_free (e);
    }
  e = talloc_zero (m, PrefixEntry);
  e->part = part;
  g_hash_table_insert (m->entries, &e->part, e);
  return e;
}

void
prefix_map_add (PrefixMap *m, uint64_t part, uint64_t server, int64_t now_ms)
{
  PrefixEntry *e = g_hash_table_lookup (m->entries, &part);
  int at = 0;

  if (!e)
    e = add_entry (m, part);
  list_remove (&e->node);
  list_append (&m->lru, &e->node);
  for (int i = 0; i < SERVERS_PER_PART; i++)
    {
      if (e->servers[i] == server)
        {
          at = i;
          break;
        }
      if (e->used_ms[i] < e->used_ms[at])
        at = i;
    }
  e->servers[at] = server;
  e->used_ms[at] = now_ms;
}

bool
prefix_map_has (const PrefixMap *m, uint64_t part, uint64_t server, int64_t since_ms)
{
  const PrefixEntry *e = g_hash_table_lookup (m->entries, &part);

  for (int i = 0; e && i < SERVERS_PER_PART; i++)
    if (e->servers[i] == server)
      return e->used_ms[i] >= since_ms;
  return false;
}
