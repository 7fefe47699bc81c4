#include "peer/peer_tcp.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/log.h"
#include "peer/frame.h"
#include "peer/message_check.h"
#include "peer/peer_listener.h"
#include "peer/peer_connection.h"

#define SWEEP_INTERVAL_MS 20000

struct PeerTcp
{
  PeerTransport base;
  PeerConnectionShared shared;
  char *host_name;
  GHashTable *connections; /* host name to PeerConnection */
  PeerListener *listener;
  PeerTcpHandler handler;
  void *data;
};

static uint8_t *
encode_frame (const void *ctx, const Pond__Envelope *env, size_t payload_len)
{
  uint8_t *frame = talloc_array (ctx, uint8_t, FRAME_HEADER_BYTES + payload_len);

  frame_write_header (frame, (uint32_t)payload_len);
  pond__envelope__pack (env, frame + FRAME_HEADER_BYTES);
  return frame;
}

static void
op_send (PeerTransport *transport, const char *host, Pond__Envelope *env)
{
  PeerTcp *p = (PeerTcp *)transport;
  PeerConnection *conn = g_hash_table_lookup (p->connections, host);
  size_t payload_len;

  env->from = p->host_name;
  env->from_incarnation = p->shared.options.incarnation;
  env->to = (char *)host;
  if (!conn)
    {
      peer_stats_dropped (&p->shared.stats, PEER_DROP_UNKNOWN_HOST);
      return;
    }
  payload_len = pond__envelope__get_packed_size (env);
  if (payload_len > p->shared.options.max_frame_bytes)
    {
      log_event (LOG_LEVEL_WARNING, "peer", "message_too_long", "kind=%s bytes=%zu",
                 peer_kind_name (env->body_case), payload_len);
      peer_stats_dropped (&p->shared.stats, PEER_DROP_TOO_LONG);
      return;
    }
  peer_connection_send (conn, encode_frame (p, env, payload_len), payload_len + FRAME_HEADER_BYTES,
                        env->body_case);
}

static const PeerTransportOps OPS = { op_send };

static void
on_envelope (void *data, const Pond__Envelope *env, size_t bytes)
{
  PeerTcp *p = data;
  PeerConnection *conn = g_hash_table_lookup (p->connections, env->from);

  if (conn)
    peer_connection_heard (conn);
  peer_stats_received (&p->shared.stats, env->body_case, bytes);
  if (strcmp (env->to, p->host_name) != 0)
    peer_stats_dropped (&p->shared.stats, PEER_DROP_MISDIRECTED);
  else if (!conn)
    peer_stats_dropped (&p->shared.stats, PEER_DROP_UNKNOWN_SENDER);
  else if (!peer_message_is_valid (env))
    peer_stats_dropped (&p->shared.stats, PEER_DROP_OUT_OF_RANGE);
  else
    p->handler (p->data, env);
}

static void
close_idle_connections (void *data)
{
  PeerTcp *p = data;
  int64_t now = loop_monotonic_us ();
  GHashTableIter iter;
  gpointer conn;

  g_hash_table_iter_init (&iter, p->connections);
  while (g_hash_table_iter_next (&iter, NULL, &conn))
    peer_connection_close_idle (conn, now - p->shared.options.outgoing_idle_timeout_ms * 1000);
  peer_listener_close_inactive (p->listener,
                                now - p->shared.options.incoming_idle_timeout_ms * 1000);
  timers_start (loop_timers (p->shared.loop), p, SWEEP_INTERVAL_MS, close_idle_connections, p);
}

static void
free_connection (gpointer conn)
{
  talloc_free (conn);
}

static int
destroy (PeerTcp *p)
{
  TALLOC_FREE (p->listener);
  g_hash_table_destroy (p->connections);
  return 0;
}

PeerTcp *
peer_tcp_new (const void *ctx, Loop *loop, const PeerTcpOptions *options, PeerTcpHandler handler,
              void *data)
{
  PeerTcp *p = talloc_zero (ctx, PeerTcp);

  p->base.ops = &OPS;
  p->shared.loop = loop;
  p->shared.options = *options;
  p->shared.quota = (SendQuota){ &p->shared.options, &p->shared.stats, 0 };
  p->host_name = talloc_strdup (p, options->name);
  p->handler = handler;
  p->data = data;
  p->connections = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_connection);
  rng_seed (&p->shared.rng, options->seed);
  talloc_set_destructor (p, destroy);
  p->listener = peer_listener_new (p, loop, &p->shared.options, &p->shared.stats, on_envelope, p);
  if (!p->listener)
    {
      talloc_free (p);
      return NULL;
    }
  timers_start (loop_timers (loop), p, SWEEP_INTERVAL_MS, close_idle_connections, p);
  return p;
}

PeerTransport *
peer_tcp_transport (PeerTcp *p)
{
  return &p->base;
}

uint16_t
peer_tcp_port (const PeerTcp *p)
{
  return peer_listener_port (p->listener);
}

bool
peer_tcp_set_address (PeerTcp *p, const char *host, const char *address_text)
{
  PeerConnection *conn = g_hash_table_lookup (p->connections, host);
  Address address;

  if (!address_parse (address_text, &address))
    return false;
  if (conn)
    peer_connection_set_address (conn, &address);
  else
    g_hash_table_insert (p->connections, g_strdup (host),
                         peer_connection_new (p, &p->shared, &address));
  return true;
}

void
peer_tcp_remove_host (PeerTcp *p, const char *host)
{
  g_hash_table_remove (p->connections, host);
}

const PeerStats *
peer_tcp_stats (const PeerTcp *p)
{
  return &p->shared.stats;
}
