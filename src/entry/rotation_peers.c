#include "entry/rotation_peers.h"

#include <glib.h>
#include <talloc.h>

/* A host that has told nothing for so long is in, or has ended. */
#define LIFETIME_MS (3 * ROTATION_REPEAT_MS)

typedef struct
{
  RotationState state;
  int64_t left_ms;
  int64_t heard_ms;
} Told;

struct RotationPeers
{
  GHashTable *told; /* by host */
};

static int
peers_destroy (RotationPeers *p)
{
  g_hash_table_unref (p->told);
  return 0;
}

RotationPeers *
rotation_peers_new (const void *ctx)
{
  RotationPeers *p = talloc_zero (ctx, RotationPeers);

  p->told = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (p, peers_destroy);
  return p;
}

void
rotation_peers_note (RotationPeers *p, const char *host, RotationState state, int64_t out_ms,
                     int64_t now_ms)
{
  Told told = { state, now_ms - out_ms, now_ms };

  if (state == ROTATION_IN)
    g_hash_table_remove (p->told, host);
  else
    g_hash_table_insert (p->told, g_strdup (host), g_memdup2 (&told, sizeof told));
}

RotationOthers
rotation_peers_view (const RotationPeers *p, int hosts, int64_t left_ms, int64_t now_ms)
{
  RotationOthers others = { .hosts = hosts, .oldest = true, .newest = true };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, p->told);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Told *told = value;

      if (now_ms - told->heard_ms >= LIFETIME_MS)
        continue;
      others.wanted |= told->state == ROTATION_WANTS;
      if (told->state != ROTATION_OUT)
        continue;
      others.out++;
      others.oldest &= left_ms <= told->left_ms;
      others.newest &= left_ms >= told->left_ms;
    }
  return others;
}

RotationState
rotation_state (const Rotation *r)
{
  if (!rotation_is_in (r))
    return ROTATION_OUT;
  return r->wants ? ROTATION_WANTS : ROTATION_IN;
}
