#include "peer/peers_tcp.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/log.h"
#include "peer/frame.h"
#include "peer/peer_inlet.h"
#include "peer/peer_link.h"

#define SWEEP_MS 20000

struct PeersTcp
{
  Peers peers;
  PeerLinks links;
  char *name;
  GHashTable *by_host; /* name to PeerLink */
  PeerInlet *inlet;
  PeersTcpHandler handler;
  void *data;
};

static uint8_t *
pack (const void *ctx, const Pond__Envelope *env, size_t content)
{
  uint8_t *frame = talloc_array (ctx, uint8_t, FRAME_HEADER_BYTES + content);

  frame_write_header (frame, (uint32_t)content);
  pond__envelope__pack (env, frame + FRAME_HEADER_BYTES);
  return frame;
}

static void
op_send (Peers *adapter, const char *host, Pond__Envelope *env)
{
  PeersTcp *p = (PeersTcp *)adapter;
  PeerLink *link = g_hash_table_lookup (p->by_host, host);
  size_t content;

  env->from = p->name;
  env->from_incarnation = p->links.options.incarnation;
  env->to = (char *)host;
  if (!link)
    {
      peer_stats_dropped (&p->links.stats, PEER_DROP_UNKNOWN_HOST);
      return;
    }
  content = pond__envelope__get_packed_size (env);
  if (content > p->links.options.max_frame_bytes)
    {
      log_event (LOG_LEVEL_WARNING, "peer", "message_too_long", "kind=%s bytes=%zu",
                 peer_kind_name (env->body_case), content);
      peer_stats_dropped (&p->links.stats, PEER_DROP_TOO_LONG);
      return;
    }
  peer_link_send (link, pack (p, env, content), content + FRAME_HEADER_BYTES, env->body_case);
}

static const PeersOps OPS = { op_send };

static void
on_envelope (void *data, const Pond__Envelope *env, size_t bytes)
{
  PeersTcp *p = data;

  peer_stats_received (&p->links.stats, env->body_case, bytes);
  if (strcmp (env->to, p->name) != 0)
    peer_stats_dropped (&p->links.stats, PEER_DROP_MISDIRECTED);
  else if (!g_hash_table_contains (p->by_host, env->from))
    peer_stats_dropped (&p->links.stats, PEER_DROP_UNKNOWN_SENDER);
  else
    p->handler (p->data, env);
}

static void
sweep (void *data)
{
  PeersTcp *p = data;
  int64_t now = loop_monotonic_us ();
  GHashTableIter iter;
  gpointer link;

  g_hash_table_iter_init (&iter, p->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &link))
    peer_link_close_idle (link, now - p->links.options.idle_close_ms * 1000);
  peer_inlet_close_silent (p->inlet, now - p->links.options.silent_drop_ms * 1000);
  timers_start (loop_timers (p->links.loop), p, SWEEP_MS, sweep, p);
}

static void
free_link (gpointer link)
{
  talloc_free (link);
}

static int
destroy (PeersTcp *p)
{
  TALLOC_FREE (p->inlet);
  g_hash_table_destroy (p->by_host);
  return 0;
}

PeersTcp *
peers_tcp_new (const void *ctx, Loop *loop, const PeersTcpOptions *options, PeersTcpHandler handler,
               void *data)
{
  PeersTcp *p = talloc_zero (ctx, PeersTcp);

  p->peers.ops = &OPS;
  p->links.loop = loop;
  p->links.options = *options;
  p->links.budget = (SendBudget){ &p->links.options, &p->links.stats, 0 };
  p->name = talloc_strdup (p, options->name);
  p->handler = handler;
  p->data = data;
  p->by_host = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_link);
  rng_seed (&p->links.rng, options->seed);
  talloc_set_destructor (p, destroy);
  p->inlet = peer_inlet_new (p, loop, &p->links.options, &p->links.stats, on_envelope, p);
  if (!p->inlet)
    {
      talloc_free (p);
      return NULL;
    }
  timers_start (loop_timers (loop), p, SWEEP_MS, sweep, p);
  return p;
}

Peers *
peers_tcp_adapter (PeersTcp *peers)
{
  return &peers->peers;
}

uint16_t
peers_tcp_port (const PeersTcp *peers)
{
  return peer_inlet_port (peers->inlet);
}

bool
peers_tcp_set_address (PeersTcp *p, const char *host, const char *text)
{
  PeerLink *link = g_hash_table_lookup (p->by_host, host);
  Address address;

  if (!address_parse (text, &address))
    return false;
  if (link)
    peer_link_set_address (link, &address);
  else
    g_hash_table_insert (p->by_host, g_strdup (host), peer_link_new (p, &p->links, &address));
  return true;
}

void
peers_tcp_forget (PeersTcp *p, const char *host)
{
  g_hash_table_remove (p->by_host, host);
}

const PeerStats *
peers_tcp_stats (const PeersTcp *peers)
{
  return &peers->links.stats;
}
