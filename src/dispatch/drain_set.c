#include "dispatch/drain_set.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

/* Far longer than a drain: a draining server ends within seconds, and its record is removed. */
#define ENTRY_LIFETIME_MS (15 * 60 * 1000)

typedef struct
{
  char *id;
  char *address;
  int64_t started_ms;
  int64_t added_ms;
} DrainEntry;

struct DrainSet
{
  GHashTable *instances; /* DrainEntry by server id: the last draining instance */
};

static int
drain_set_destroy (DrainSet *d)
{
  g_hash_table_unref (d->instances);
  return 0;
}

DrainSet *
drain_set_new (const void *ctx)
{
  DrainSet *d = talloc_zero (ctx, DrainSet);

  d->instances = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (d, drain_set_destroy);
  return d;
}

bool
drain_set_contains (const DrainSet *d, const ServerInstance *instance)
{
  const DrainEntry *found = g_hash_table_lookup (d->instances, instance->id);

  return found && found->started_ms == instance->started_ms
         && !strcmp (found->address, instance->address);
}

bool
drain_set_add (DrainSet *d, const ServerInstance *instance, int64_t now_ms)
{
  DrainEntry *old = g_hash_table_lookup (d->instances, instance->id);
  DrainEntry *entry;

  if (drain_set_contains (d, instance))
    return false;
  if (old)
    g_hash_table_remove (d->instances, old->id);
  talloc_free (old);
  entry = talloc_zero (d, DrainEntry);
  entry->id = talloc_strdup (entry, instance->id);
  entry->address = talloc_strdup (entry, instance->address);
  entry->started_ms = instance->started_ms;
  entry->added_ms = now_ms;
  g_hash_table_insert (d->instances, entry->id, entry);
  return true;
}

void
drain_set_expire (DrainSet *d, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((DrainEntry *)value)->added_ms >= ENTRY_LIFETIME_MS)
      {
        g_hash_table_iter_remove (&iter);
        talloc_free (value);
      }
}
