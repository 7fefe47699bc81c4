#include "peer/peer_inlet.h"

#include <errno.h>
#include <netinet/in.h>
#include <unistd.h>

#include <talloc.h>

#include "core/list.h"
#include "core/log.h"
#include "core/address.h"
#include "peer/frame.h"

#define BACKLOG         256
/* One busy sender must not keep the loop from the others. */
#define READS_PER_EVENT 16

struct PeerInlet
{
  Loop *loop;
  const PeersTcpOptions *options;
  PeerStats *stats;
  PeerInletFn fn;
  void *data;
  int fd;
  List connections;
  size_t n_connections;
};

typedef struct
{
  ListNode node;
  PeerInlet *inlet;
  FrameReader *reader;
  int fd;
  int64_t heard_us;
} Connection;

static int
connection_destroy (Connection *c)
{
  list_remove (&c->node);
  c->inlet->n_connections--;
  /* The event goes first: tevent must not watch a closed number. */
  talloc_free_children (c);
  close (c->fd);
  return 0;
}

/* @return false if the connection has to end. */
static bool
take_frames (Connection *c)
{
  PeerInlet *inlet = c->inlet;
  const uint8_t *content;
  size_t len;
  FrameResult result;

  while ((result = frame_reader_next (c->reader, &content, &len)) == FRAME_READY)
    {
      Pond__Envelope *env = pond__envelope__unpack (NULL, len, content);

      if (!env)
        {
          peer_stats_bad_frame (inlet->stats);
          return false;
        }
      inlet->fn (inlet->data, env, len + FRAME_HEADER_BYTES);
      pond__envelope__free_unpacked (env, NULL);
    }
  if (result == FRAME_BAD)
    peer_stats_bad_frame (inlet->stats);
  return result != FRAME_BAD;
}

/* @return false if the connection has to end. */
static bool
read_some (Connection *c)
{
  for (int i = 0; i < READS_PER_EVENT; i++)
    {
      size_t room;
      uint8_t *at = frame_reader_room (c->reader, &room);
      ssize_t n = recv (c->fd, at, room, 0);

      if (n == 0)
        return false;
      if (n < 0)
        return errno == EAGAIN || errno == EINTR;
      c->heard_us = loop_monotonic_us ();
      frame_reader_filled (c->reader, (size_t)n);
      if (!take_frames (c))
        return false;
    }
  return true;
}

static void
on_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  if (!read_some (data))
    talloc_free (data);
}

static void
add_connection (PeerInlet *inlet, int fd)
{
  Connection *c = talloc_zero (inlet, Connection);

  c->inlet = inlet;
  c->fd = fd;
  c->reader = frame_reader_new (c, inlet->options->max_frame_bytes);
  c->heard_us = loop_monotonic_us ();
  list_append (&inlet->connections, &c->node);
  inlet->n_connections++;
  talloc_set_destructor (c, connection_destroy);
  tevent_add_fd (loop_tevent (inlet->loop), c, fd, TEVENT_FD_READ, on_ready, c);
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  PeerInlet *inlet = data;
  int fd = accept4 (inlet->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)ev;
  (void)fde;
  (void)flags;
  if (fd < 0)
    return;
  if (inlet->n_connections >= inlet->options->max_incoming)
    {
      inlet->stats->rejected_connections++;
      close (fd);
      return;
    }
  add_connection (inlet, fd);
}

static int
open_listener (const char *text)
{
  Address address;
  int one = 1;
  int fd;

  if (!address_parse (text, &address))
    return -1;
  fd = socket (address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address.storage, address.len) == 0 && listen (fd, BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

static int
inlet_destroy (PeerInlet *inlet)
{
  /* Connections refer to the inlet when they end. */
  talloc_free_children (inlet);
  if (inlet->fd >= 0)
    close (inlet->fd);
  return 0;
}

PeerInlet *
peer_inlet_new (const void *ctx, Loop *loop, const PeersTcpOptions *options, PeerStats *stats,
                PeerInletFn fn, void *data)
{
  PeerInlet *inlet = talloc_zero (ctx, PeerInlet);

  *inlet = (PeerInlet){ .loop = loop, .options = options, .stats = stats, .fn = fn, .data = data };
  list_init (&inlet->connections);
  talloc_set_destructor (inlet, inlet_destroy);
  inlet->fd = open_listener (options->listen);
  if (inlet->fd < 0)
    {
      log_event (LOG_LEVEL_ERR, "peer", "cannot_listen", "address=%s", options->listen);
      talloc_free (inlet);
      return NULL;
    }
  tevent_add_fd (loop_tevent (loop), inlet, inlet->fd, TEVENT_FD_READ, on_accept, inlet);
  return inlet;
}

uint16_t
peer_inlet_port (const PeerInlet *inlet)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } at = { .v6 = { 0 } };
  socklen_t len = sizeof at;

  if (getsockname (inlet->fd, &at.any, &len) < 0)
    return 0;
  return ntohs (at.any.sa_family == AF_INET6 ? at.v6.sin6_port : at.v4.sin_port);
}

void
peer_inlet_close_silent (PeerInlet *inlet, int64_t before_us)
{
  ListNode *next;

  for (ListNode *n = list_first (&inlet->connections); n; n = next)
    {
      Connection *c = LIST_ENTRY (n, Connection, node);

      next = list_next (&inlet->connections, n);
      if (c->heard_us < before_us)
        talloc_free (c);
    }
}
