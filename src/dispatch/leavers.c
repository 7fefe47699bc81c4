#include "dispatch/leavers.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

/* A server that leaves ends within seconds, and its entry is removed. */
#define LIFETIME_MS (15 * 60 * 1000)

typedef struct
{
  char *id;
  char *address;
  int64_t born_ms;
  int64_t noted_ms;
} Leaver;

struct Leavers
{
  GHashTable *starts; /* by id: the last one that said so */
};

static int
leavers_destroy (Leavers *l)
{
  g_hash_table_unref (l->starts);
  return 0;
}

Leavers *
leavers_new (const void *ctx)
{
  Leavers *l = talloc_zero (ctx, Leavers);

  l->starts = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (l, leavers_destroy);
  return l;
}

bool
leavers_has (const Leavers *l, const ServerStart *start)
{
  const Leaver *found = g_hash_table_lookup (l->starts, start->id);

  return found && found->born_ms == start->born_ms && !strcmp (found->address, start->address);
}

bool
leavers_note (Leavers *l, const ServerStart *start, int64_t now_ms)
{
  Leaver *before = g_hash_table_lookup (l->starts, start->id);
  Leaver *leaver;

  if (leavers_has (l, start))
    return false;
  if (before)
    g_hash_table_remove (l->starts, before->id);
  talloc_free (before);
  leaver = talloc_zero (l, Leaver);
  leaver->id = talloc_strdup (leaver, start->id);
  leaver->address = talloc_strdup (leaver, start->address);
  leaver->born_ms = start->born_ms;
  leaver->noted_ms = now_ms;
  g_hash_table_insert (l->starts, leaver->id, leaver);
  return true;
}

void
leavers_expire (Leavers *l, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, l->starts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((Leaver *)value)->noted_ms >= LIFETIME_MS)
      {
        g_hash_table_iter_remove (&iter);
        talloc_free (value);
      }
}
