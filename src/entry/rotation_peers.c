#include "entry/rotation_peers.h"

#include <glib.h>
#include <talloc.h>

/* A host that has sent no report for this long is regarded as in the rotation; it may also have stopped. */
#define REPORT_LIFETIME_MS (3 * ROTATION_REFRESH_MS)

typedef struct
{
  RotationState state;
  int64_t left_ms;
  int64_t received_ms;
} PeerReport;

struct RotationPeers
{
  GHashTable *reports; /* by host */
};

static int
peers_destroy (RotationPeers *p)
{
  g_hash_table_unref (p->reports);
  return 0;
}

RotationPeers *
rotation_peers_new (const void *ctx)
{
  RotationPeers *p = talloc_zero (ctx, RotationPeers);

  p->reports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (p, peers_destroy);
  return p;
}

void
rotation_peers_update (RotationPeers *p, const char *host, RotationState state, int64_t out_ms,
                       int64_t now_ms)
{
  PeerReport report = { state, now_ms - out_ms, now_ms };

  if (state == ROTATION_IN)
    g_hash_table_remove (p->reports, host);
  else
    g_hash_table_insert (p->reports, g_strdup (host), g_memdup2 (&report, sizeof report));
}

RotationPeersSummary
rotation_peers_summary (const RotationPeers *p, int hosts, int64_t left_ms, int64_t now_ms)
{
  RotationPeersSummary summary = { .hosts = hosts, .out_longest = true, .out_shortest = true };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, p->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PeerReport *report = value;

      if (now_ms - report->received_ms >= REPORT_LIFETIME_MS)
        continue;
      summary.peer_exit_blocked |= report->state == ROTATION_EXIT_BLOCKED;
      if (report->state != ROTATION_OUT)
        continue;
      summary.out++;
      summary.out_longest &= left_ms <= report->left_ms;
      summary.out_shortest &= left_ms >= report->left_ms;
    }
  return summary;
}

RotationState
rotation_state (const Rotation *r)
{
  if (!rotation_is_in (r))
    return ROTATION_OUT;
  return r->exit_blocked ? ROTATION_EXIT_BLOCKED : ROTATION_IN;
}
