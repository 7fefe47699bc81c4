#include "tunnel/tunnel_server.h"

#include <unistd.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"
#include "http/listener.h"
#include "tunnel/tunnel.h"

struct TunnelServer
{
  TunnelServerOptions options;
  Listener *listener;
  List tunnels;
  Counter *opened;
  Counter *refused;
};

static int
status_for (const TunnelServer *s, const char *address)
{
  const TunnelServerOptions *o = &s->options;

  if (!o->is_server (o->data, address))
    return 403;
  if (tunnel_server_count (s) > o->max_tunnels)
    return 503;
  switch (o->help (o->data, address))
    {
    case TUNNEL_HELPS_NOBODY:
      return 503;
    case TUNNEL_CANNOT_CONNECT:
      return 502;
    case TUNNEL_CONNECTS:
      break;
    }
  return 200;
}

static int
check (void *data, const char *address)
{
  TunnelServer *s = data;
  int status = status_for (s, address);

  counter_add (status == 200 ? s->opened : s->refused, 1);
  return status;
}

static void
on_accept (void *data, int fd, const Address *peer)
{
  TunnelServer *s = data;
  TunnelOptions options = { .loop = s->options.loop, .check = check, .data = s };

  if (!s->options.is_host (s->options.data, peer))
    {
      counter_add (s->refused, 1);
      log_event (LOG_LEVEL_WARNING, "tunnel", "unknown_peer", "port=%u", address_port (peer));
      close (fd);
      return;
    }
  tunnel_new (s, &options, fd, &s->tunnels);
}

uint16_t
tunnel_server_port (const TunnelServer *s)
{
  return listener_port (s->listener);
}

size_t
tunnel_server_count (const TunnelServer *s)
{
  size_t n = 0;

  for (const ListNode *i = list_first (&s->tunnels); i; i = list_next (&s->tunnels, i))
    n++;
  return n;
}

size_t
tunnel_server_close_idle (TunnelServer *s, int64_t now_ms)
{
  ListNode *next;

  for (ListNode *n = list_first (&s->tunnels); n; n = next)
    {
      next = list_next (&s->tunnels, n);
      if (!tunnel_is_busy ((Tunnel *)n, now_ms))
        talloc_free (n); /* the first member of a tunnel */
    }
  return tunnel_server_count (s);
}

static int
tunnel_server_destroy (TunnelServer *s)
{
  ListNode *n;

  TALLOC_FREE (s->listener);
  while ((n = list_first (&s->tunnels)))
    talloc_free (n); /* the first member of a tunnel */
  return 0;
}

TunnelServer *
tunnel_server_new (const void *ctx, const TunnelServerOptions *options)
{
  TunnelServer *s = talloc_zero (ctx, TunnelServer);
  ListenerOptions listener
      = { .loop = options->loop, .listen = options->listen, .on_accept = on_accept, .data = s };

  s->options = *options;
  list_init (&s->tunnels);
  s->opened = counter_get ("pond_tunnels_total", "", "Connections opened for other hosts.");
  s->refused = counter_get ("pond_tunnels_refused_total", "",
                            "Requests of other hosts for a connection that were refused.");
  s->listener = listener_new (s, &listener);
  if (!s->listener)
    {
      talloc_free (s);
      return NULL;
    }
  talloc_set_destructor (s, tunnel_server_destroy);
  return s;
}
