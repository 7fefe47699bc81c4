#include "http/connection_table.h"

#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>
#include <xxhash.h>

struct ConnectionTable
{
  GHashTable *fds;     /* by the hash of the ends */
  GHashTable *ends;    /* the hash of the ends, by fd */
  GHashTable *doubted; /* fds */
  GHashTable *proved;  /* fds */
  GHashTable *users;   /* by fd */
};

static int
table_destroy (ConnectionTable *t)
{
  g_hash_table_unref (t->fds);
  g_hash_table_unref (t->ends);
  g_hash_table_unref (t->doubted);
  g_hash_table_unref (t->proved);
  g_hash_table_unref (t->users);
  return 0;
}

ConnectionTable *
connection_table_new (const void *ctx)
{
  ConnectionTable *t = talloc_zero (ctx, ConnectionTable);

  t->fds = g_hash_table_new (g_direct_hash, g_direct_equal);
  t->ends = g_hash_table_new (g_direct_hash, g_direct_equal);
  t->doubted = g_hash_table_new (g_direct_hash, g_direct_equal);
  t->proved = g_hash_table_new (g_direct_hash, g_direct_equal);
  t->users = g_hash_table_new (g_direct_hash, g_direct_equal);
  talloc_set_destructor (t, table_destroy);
  return t;
}

static gpointer
hash_of (const ConnectionEnds *e)
{
  uint64_t ports = (uint64_t)(uint32_t)e->remote_port << 32 | (uint32_t)e->local_port;

  return (gpointer)(uintptr_t)XXH64 (e->remote_ip, strlen (e->remote_ip), ports);
}

void
connection_table_add (ConnectionTable *t, const ConnectionEnds *e, int fd)
{
  gpointer hash = hash_of (e);

  connection_table_remove (t, fd);
  g_hash_table_insert (t->fds, hash, GINT_TO_POINTER (fd));
  g_hash_table_insert (t->ends, GINT_TO_POINTER (fd), hash);
}

void
connection_table_remove (ConnectionTable *t, int fd)
{
  gpointer hash;

  if (!g_hash_table_lookup_extended (t->ends, GINT_TO_POINTER (fd), NULL, &hash))
    return;
  g_hash_table_remove (t->ends, GINT_TO_POINTER (fd));
  g_hash_table_remove (t->doubted, GINT_TO_POINTER (fd));
  g_hash_table_remove (t->proved, GINT_TO_POINTER (fd));
  g_hash_table_remove (t->users, GINT_TO_POINTER (fd));
  if (GPOINTER_TO_INT (g_hash_table_lookup (t->fds, hash)) == fd)
    g_hash_table_remove (t->fds, hash);
}

int
connection_table_find (const ConnectionTable *t, const ConnectionEnds *e)
{
  gpointer fd;

  return g_hash_table_lookup_extended (t->fds, hash_of (e), NULL, &fd) ? GPOINTER_TO_INT (fd) : -1;
}

void
connection_table_set_user (ConnectionTable *t, int fd, void *user)
{
  if (user)
    g_hash_table_insert (t->users, GINT_TO_POINTER (fd), user);
  else
    g_hash_table_remove (t->users, GINT_TO_POINTER (fd));
}

void *
connection_table_user (const ConnectionTable *t, int fd)
{
  return g_hash_table_lookup (t->users, GINT_TO_POINTER (fd));
}

size_t
connection_table_doubt_all (ConnectionTable *t)
{
  guint before = g_hash_table_size (t->doubted);
  GHashTableIter iter;
  gpointer fd;

  g_hash_table_iter_init (&iter, t->ends);
  while (g_hash_table_iter_next (&iter, &fd, NULL))
    g_hash_table_add (t->doubted, fd);
  return g_hash_table_size (t->doubted) - before;
}

void
connection_table_trust (ConnectionTable *t, int fd)
{
  g_hash_table_remove (t->doubted, GINT_TO_POINTER (fd));
}

bool
connection_table_is_doubted (const ConnectionTable *t, int fd)
{
  return g_hash_table_contains (t->doubted, GINT_TO_POINTER (fd));
}

void
connection_table_set_end_proved (ConnectionTable *t, int fd)
{
  g_hash_table_add (t->proved, GINT_TO_POINTER (fd));
}

bool
connection_table_is_end_proved (const ConnectionTable *t, int fd)
{
  return g_hash_table_contains (t->proved, GINT_TO_POINTER (fd));
}
